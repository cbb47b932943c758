/**
 * Summaries of all failure domains, by version. One control daemon of each failure domain publishes
 * its summary; the others only pass it on. The list of entries has a version of its own, since it
 * is large and seldom changes.
 */
import type {
  DomainSummary,
  EntrySummary,
  ProcessEntry,
  ServiceSummary,
  SummaryUpdate,
  SummaryVersions,
  TargetState,
} from '../messages/messages.js';
import { MembershipTiming } from './membership-timing.js';
import { quantise } from './quantise.js';

/** Least time between two summaries of a failure domain; a third of the time to expiry. */
const PUBLISH_INTERVAL_MS = 3000;
/** Versions count seconds from here, so that a restarted failure domain goes on with higher ones. */
const VERSION_EPOCH_MS = 1_780_000_000_000;

interface StoredSummary {
  readonly summary: DomainSummary;
  readonly entriesVersion: number;
  readonly madeAt: number;
}

/** Time on both clocks: `nowMs` monotonic, `wallMs` since the Unix epoch. */
export interface SummaryClock {
  readonly nowMs: number;
  readonly wallMs: number;
}

export class SummaryTable {
  private readonly stored = new Map<string, StoredSummary>();

  constructor(
    private readonly failureDomain: string,
    private readonly region: string,
  ) {}

  /** Publishes the summary of the own failure domain; false while the last one is too recent. */
  publish(
    services: readonly ServiceSummary[],
    entries: readonly EntrySummary[],
    { nowMs, wallMs }: SummaryClock,
  ): boolean {
    const before = this.stored.get(this.failureDomain);
    if (before && nowMs - before.madeAt < PUBLISH_INTERVAL_MS) return false;
    const wallVersion = Math.floor((wallMs - VERSION_EPOCH_MS) / 1000);
    const version = Math.max((before?.summary.version ?? 0) + 1, wallVersion);
    const sameEntries =
      before && JSON.stringify(before.summary.entries) === JSON.stringify(entries);
    this.stored.set(this.failureDomain, {
      summary: {
        failureDomain: this.failureDomain,
        region: this.region,
        version,
        ageMs: 0,
        services,
        entries,
      },
      entriesVersion: sameEntries ? before.entriesVersion : version,
      madeAt: nowMs,
    });
    return true;
  }

  /** Versions of the summaries and of their entry lists. */
  versions(): SummaryVersions {
    return Object.fromEntries(
      [...this.stored].map(([domain, { summary, entriesVersion }]) => [
        domain,
        [summary.version, entriesVersion] as const,
      ]),
    );
  }

  /** What a holder of `held` lacks. */
  updatesSince(held: SummaryVersions, nowMs: number): SummaryUpdate[] {
    return [...this.stored.values()]
      .filter(({ summary }) => summary.version > (held[summary.failureDomain]?.[0] ?? 0))
      .map(({ summary, entriesVersion, madeAt }) => ({
        failureDomain: summary.failureDomain,
        region: summary.region,
        version: summary.version,
        entriesVersion,
        ageMs: Math.round(nowMs - madeAt),
        services: summary.services.map(
          (s) => [s.service, s.readyTargets, s.waitMs, s.freeSlots] as const,
        ),
        ...(entriesVersion !== held[summary.failureDomain]?.[1] && { entries: summary.entries }),
      }));
  }

  /** Takes newer summaries. One without its entry list is taken only if the list is held. */
  merge(updates: readonly SummaryUpdate[], nowMs: number): boolean {
    return updates.filter((update) => this.mergeOne(update, nowMs)).length > 0;
  }

  /** Summaries that are not expired, with their present age. */
  fresh(nowMs: number): DomainSummary[] {
    return [...this.stored.values()]
      .map(({ summary, madeAt }) => ({ ...summary, ageMs: Math.round(nowMs - madeAt) }))
      .filter(({ ageMs }) => ageMs <= MembershipTiming.SummaryExpiryMs);
  }

  private mergeOne(update: SummaryUpdate, nowMs: number): boolean {
    const before = this.stored.get(update.failureDomain);
    if (before && before.summary.version >= update.version) return false;
    const held = before?.entriesVersion === update.entriesVersion && before.summary.entries;
    const entries = update.entries ?? held;
    if (!entries) return false;
    const { failureDomain, region, version, entriesVersion, ageMs } = update;
    const services = update.services.map(([service, readyTargets, waitMs, freeSlots]) => ({
      service,
      readyTargets,
      waitMs,
      freeSlots,
    }));
    this.stored.set(failureDomain, {
      summary: { failureDomain, region, version, ageMs, services, entries },
      entriesVersion,
      madeAt: nowMs - ageMs,
    });
    return true;
  }
}

/**
 * Sums up the targets of a failure domain by service, rounded.
 *
 * @example summarizeServices(['crane-booking'], states)[0]?.readyTargets
 */
export function summarizeServices(
  services: readonly string[],
  states: readonly TargetState[],
): ServiceSummary[] {
  return services.map((service) => {
    const ready = states.filter(
      (state) => state.healthy && !state.leaving && state.services.includes(service),
    );
    const waits = ready.map(({ waitMs }) => waitMs);
    const free = ready.reduce(
      (sum, { concurrency, running, queued }) => sum + Math.max(0, concurrency - running - queued),
      0,
    );
    return {
      service,
      readyTargets: ready.length,
      waitMs: quantise(waits.reduce((sum, wait) => sum + wait, 0) / Math.max(1, waits.length)),
      freeSlots: quantise(free),
    };
  });
}

/** Entry daemons as other failure domains know them. */
export function summarizeEntries(entries: readonly ProcessEntry[]): EntrySummary[] {
  return entries
    .map(({ process, load }) => ({
      bootId: process.bootId,
      peerAddress: process.peerAddress,
      callerAddress: process.callerAddress ?? '',
      draining: load?.draining ?? false,
      openRequests: coarse(load?.openRequests ?? 0),
    }))
    .sort((a, b) => (a.bootId < b.bootId ? -1 : 1));
}

/** Powers of four: the list of entries is large, so few changes of load are worth sending it. */
function coarse(value: number): number {
  return value < 4 ? 0 : 4 ** Math.floor(Math.log2(value) / 2);
}
