/** Requests suspected of crashing targets, as gossiped by control daemons. */
import type { ConfigView } from '../config/snapshot.js';
import type { SuspectRecord } from '../messages/messages.js';
import { allowedRegions } from '../residency/allowed-regions.js';

/** Bounds memory and messages when a fault reports suspects without end. */
const MAX_SUSPECTS = 1000;
/** Refusals go first, since each protects targets; the rest waits for a later exchange. */
const MAX_SUSPECTS_PER_MESSAGE = 32;

interface StoredSuspect {
  readonly record: SuspectRecord;
  readonly expiresAt: number;
}

/**
 * Whether a region may know of a request. A customer or service that is not in the configuration
 * is known to no other region.
 */
export function isSuspectVisible(
  view: Pick<ConfigView, 'regions' | 'services' | 'customersById'>,
  record: Pick<SuspectRecord, 'customer' | 'service'>,
  region: string,
): boolean {
  const customer = view.customersById.get(record.customer);
  const service = view.services[record.service];
  return Boolean(customer && service && allowedRegions(view, customer, service).includes(region));
}

export class GossipedSuspectTable {
  private readonly byDigest = new Map<string, StoredSuspect>();

  /** Takes records; of two records of a request, the one with more deaths or a refusal counts. */
  merge(records: readonly SuspectRecord[], nowMs: number): boolean {
    return records.filter((record) => this.mergeOne(record, nowMs)).length > 0;
  }

  /** Records that `region` may know of, with the time they have left. */
  recordsVisibleTo(region: string, view: ConfigView | undefined, nowMs: number): SuspectRecord[] {
    this.expire(nowMs);
    return [...this.byDigest.values()]
      .filter(({ record }) => view && isSuspectVisible(view, record, region))
      .map(({ record, expiresAt }) => ({
        ...record,
        expiresInMs: Math.round(expiresAt - nowMs),
      }));
  }

  /** The most important records that `region` may know of, for one message. */
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
