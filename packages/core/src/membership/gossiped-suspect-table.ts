/** Requests suspected of crashing targets, exchanged by gossip between control daemons. */
import type { ConfigView } from '../config/snapshot.js';
import type { SuspectRecord } from '../messages/messages.js';
import { allowedRegionsById } from '../residency/allowed-regions.js';

/** Limits memory use and message size if a fault reports an unlimited number of suspects. */
const MAX_SUSPECTS = 1000;
/**
 * Refused requests are sent first, since they protect targets; the rest waits for later messages.
 */
const MAX_SUSPECTS_PER_MESSAGE = 32;

interface StoredSuspect {
  readonly record: SuspectRecord;
  readonly expiresAt: number;
}

/**
 * Whether a suspected request may be disclosed to a region. Requests of customers or services that
 * are not in the configuration are disclosed to no region.
 */
export function isSuspectVisible(
  view: Pick<ConfigView, 'regions' | 'services' | 'customersById'>,
  record: Pick<SuspectRecord, 'customer' | 'service'>,
  region: string,
): boolean {
  return allowedRegionsById(view, record).includes(region);
}

export class GossipedSuspectTable {
  private readonly byDigest = new Map<string, StoredSuspect>();

  /**
   * Stores records; returns whether any of them changed the table. The merged record of a request
   * has the highest number of deaths, and it is refused if one of its records is.
   */
  merge(records: readonly SuspectRecord[], nowMs: number): boolean {
    return records.filter((record) => this.mergeOne(record, nowMs)).length > 0;
  }

  /** Records that may be disclosed to `region`, with the remaining time to expiry. */
  recordsVisibleTo(region: string, view: ConfigView | undefined, nowMs: number): SuspectRecord[] {
    this.expire(nowMs);
    return [...this.byDigest.values()]
      .filter(({ record }) => view && isSuspectVisible(view, record, region))
      .map(({ record, expiresAt }) => ({
        ...record,
        expiresInMs: Math.round(expiresAt - nowMs),
      }));
  }

  /** The most important records that may be disclosed to `region`, limited to one message. */
  recordsForMessage(region: string, view: ConfigView | undefined, nowMs: number): SuspectRecord[] {
    return this.recordsVisibleTo(region, view, nowMs)
      .sort((a, b) => Number(b.refused) - Number(a.refused) || b.expiresInMs - a.expiresInMs)
      .slice(0, MAX_SUSPECTS_PER_MESSAGE);
  }

  private mergeOne(record: SuspectRecord, nowMs: number): boolean {
    const before = this.byDigest.get(record.digest);
    const newer =
      !before || record.deaths > before.record.deaths || (record.refused && !before.record.refused);
    if (!newer || record.expiresInMs <= 0) return false;
    if (!before && this.byDigest.size >= MAX_SUSPECTS) return false;
    const refused = record.refused || (before?.record.refused ?? false);
    const deaths = Math.max(record.deaths, before?.record.deaths ?? 0);
    this.byDigest.set(record.digest, {
      record: { ...record, refused, deaths },
      expiresAt: nowMs + record.expiresInMs,
    });
    return true;
  }

  private expire(nowMs: number): void {
    [...this.byDigest]
      .filter(([, { expiresAt }]) => expiresAt <= nowMs)
      .forEach(([digest]) => this.byDigest.delete(digest));
  }
}
