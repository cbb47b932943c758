/**
 * Versioned summaries of all failure domains. One control daemon per failure domain publishes its
 * summary and the others relay it. The lists of services and of entries have versions of their own,
 * so that unchanged lists are left out of an update.
 */
import type {
  DomainSummary,
  EntrySummary,
  ProcessRecord,
  ServiceSummary,
  SummaryUpdate,
  SummaryVersions,
  TargetState,
} from '../messages/messages.js';
import { MembershipTiming } from './membership-timing.js';
import { isMinorChange, quantise } from './quantise.js';

/**
 * Minimum time between two summaries of a failure domain; less than a third of their expiry time.
 */
const PUBLISH_INTERVAL_MS = 3000;
/**
 * Versions are seconds since this epoch, so that they also increase after all daemons restarted.
 */
const VERSION_EPOCH_MS = 1_780_000_000_000;

/** Lists that changed less than this time ago are included in unsolicited updates. */
const UNSOLICITED_LISTS_MAX_AGE_S = 5;

interface StoredSummary {
  readonly summary: DomainSummary;
  readonly servicesVersion: number;
  readonly entriesVersion: number;
  readonly createdAt: number;
}

/** Current time on two clocks: `nowMs` is monotonic, `wallMs` is Unix time. */
export interface SummaryClock {
  readonly nowMs: number;
  readonly wallMs: number;
}

export class SummaryTable {
  private readonly stored = new Map<string, StoredSummary>();

  /** Failure domains with entries that started to drain since the last `takeNewlyDraining`. */
  private readonly newlyDraining = new Set<string>();

  constructor(
    private readonly failureDomain: string,
    private readonly region: string,
  ) {}

  /**
   * Publishes the summary of the local failure domain; returns false while the last one is too
   * recent. An entry that starts to drain is published immediately, since its drain period can end
   * before the next regular summary.
   */
  publish(
    latest: readonly ServiceSummary[],
    entries: readonly EntrySummary[],
    { nowMs, wallMs }: SummaryClock,
  ): boolean {
    const before = this.stored.get(this.failureDomain);
    const urgent = beginsToDrain(before?.summary.entries, entries);
    if (before && !urgent && nowMs - before.createdAt < PUBLISH_INTERVAL_MS) return false;
    if (urgent) this.newlyDraining.add(this.failureDomain);
    const version = Math.max((before?.summary.version ?? 0) + 1, versionAt(wallMs));
    const services = latest.map((service) => keepIfMinorChange(service, before?.summary.services));
    const same = (part: 'services' | 'entries', value: unknown): boolean =>
      JSON.stringify(before?.summary[part]) === JSON.stringify(value);
    this.stored.set(this.failureDomain, {
      summary: {
        failureDomain: this.failureDomain,
        region: this.region,
        version,
        ageMs: 0,
        services,
        entries,
      },
      servicesVersion: before && same('services', services) ? before.servicesVersion : version,
      entriesVersion: before && same('entries', entries) ? before.entriesVersion : version,
      createdAt: nowMs,
    });
    return true;
  }

  /** Names of the failure domains with a stored summary, sorted. */
  failureDomains(): string[] {
    return [...this.stored.keys()].sort();
  }

  /** Region of a failure domain with a stored summary; empty for an unknown one. */
  regionOf(failureDomain: string): string {
    return this.stored.get(failureDomain)?.summary.region ?? '';
  }

  /** Versions of the summaries and of their lists of services and entries. */
  versions(): SummaryVersions {
    return Object.fromEntries(
      [...this.stored].map(([domain, { summary, servicesVersion, entriesVersion }]) => [
        domain,
        [
          summary.version,
          summary.version - servicesVersion,
          summary.version - entriesVersion,
        ] as const,
      ]),
    );
  }

  /** Updates that a peer needs that has the versions `held`. */
  updatesSince(held: SummaryVersions, nowMs: number): SummaryUpdate[] {
    return [...this.stored.values()]
      .map((stored) => ({ stored, versions: heldVersions(held, stored.summary.failureDomain) }))
      .filter(({ stored, versions }) => stored.summary.version > versions[0])
      .map(({ stored: { summary, servicesVersion, entriesVersion, createdAt }, versions }) => ({
        failureDomain: summary.failureDomain,
        region: summary.region,
        version: summary.version,
        servicesVersion,
        entriesVersion,
        ageMs: Math.round(nowMs - createdAt),
        ...(servicesVersion !== versions[1] && {
          services: summary.services.map(
            (s) => [s.service, s.readyTargets, s.waitMs, s.freeSlots] as const,
          ),
        }),
        ...(entriesVersion !== versions[2] && { entries: summary.entries }),
      }));
  }

  /**
   * Unsolicited update with the local failure domain's summary. Lists that changed a while ago are
   * left out, since the receiver most likely has them.
   */
  localUpdate({ nowMs, wallMs }: SummaryClock): SummaryUpdate[] {
    const own = this.stored.get(this.failureDomain);
    if (!own) return [];
    const since = versionAt(wallMs) - UNSOLICITED_LISTS_MAX_AGE_S;
    const assumedHeld = [own.servicesVersion, own.entriesVersion].map((version) =>
      version > since ? 0 : version,
    );
    const held = {
      [this.failureDomain]: [0, -(assumedHeld[0] ?? 0), -(assumedHeld[1] ?? 0)] as const,
    };
    return this.updatesSince(held, nowMs).filter(
      ({ failureDomain }) => failureDomain === this.failureDomain,
    );
  }

  /**
   * Stores newer summaries; returns whether there were any. An update that leaves out a list is
   * ignored unless the list is stored in that version.
   */
  merge(updates: readonly SummaryUpdate[], nowMs: number): boolean {
    return updates.filter((update) => this.mergeOne(update, nowMs)).length > 0;
  }

  /** Failure domains with entries that started to drain since the last call. */
  takeNewlyDraining(): string[] {
    const domains = [...this.newlyDraining];
    this.newlyDraining.clear();
    return domains;
  }

  /** Complete summaries of the given failure domains. */
  fullUpdatesOf(domains: readonly string[], nowMs: number): SummaryUpdate[] {
    return this.updatesSince({}, nowMs).filter(({ failureDomain }) =>
      domains.includes(failureDomain),
    );
  }

  /** Age of a failure domain's summary in ms; Infinity if there is none. */
  ageOf(failureDomain: string, nowMs: number): number {
    return nowMs - (this.stored.get(failureDomain)?.createdAt ?? -Infinity);
  }

  /** Summaries that have not expired, with their current age. */
  unexpired(nowMs: number): DomainSummary[] {
    return [...this.stored.values()]
      .map(({ summary, createdAt }) => ({ ...summary, ageMs: Math.round(nowMs - createdAt) }))
      .filter(({ ageMs }) => ageMs <= MembershipTiming.SummaryExpiryMs);
  }

  private mergeOne(update: SummaryUpdate, nowMs: number): boolean {
    const before = this.stored.get(update.failureDomain);
    if (before && before.summary.version >= update.version) return false;
    const heldEntries =
      before?.entriesVersion === update.entriesVersion ? before.summary.entries : undefined;
    const heldServices =
      before?.servicesVersion === update.servicesVersion ? before.summary.services : undefined;
    const entries = update.entries ?? heldEntries;
    const services =
      update.services?.map(([service, readyTargets, waitMs, freeSlots]) => ({
        service,
        readyTargets,
        waitMs,
        freeSlots,
      })) ?? heldServices;
    if (!entries || !services) return false;
    if (beginsToDrain(before?.summary.entries, entries))
      this.newlyDraining.add(update.failureDomain);
    const { failureDomain, region, version, servicesVersion, entriesVersion, ageMs } = update;
    this.stored.set(failureDomain, {
      summary: { failureDomain, region, version, ageMs, services, entries },
      servicesVersion,
      entriesVersion,
      createdAt: nowMs - ageMs,
    });
    return true;
  }
}

/** Whether an entry drains that did not drain in the previous summary. */
function beginsToDrain(
  before: readonly EntrySummary[] | undefined,
  current: readonly EntrySummary[],
): boolean {
  const serving = new Set(before?.filter(({ draining }) => !draining).map(({ bootId }) => bootId));
  return current.some(({ bootId, draining }) => draining && serving.has(bootId));
}

/** Returns the previously published figures if the present ones are only a minor change. */
function keepIfMinorChange(
  current: ServiceSummary,
  before: readonly ServiceSummary[] = [],
): ServiceSummary {
  const last = before.find(({ service }) => service === current.service);
  const same =
    last?.readyTargets === current.readyTargets &&
    isMinorChange(last.waitMs, current.waitMs) &&
    isMinorChange(last.freeSlots, current.freeSlots);
  return same ? last : current;
}

/** Versions of a summary, its services and its entries in a digest; 0 for what is not there. */
function heldVersions(held: SummaryVersions, domain: string): [number, number, number] {
  const [version, servicesBehind, entriesBehind] = held[domain] ?? [0, 0, 0];
  return [version, version - servicesBehind, version - entriesBehind];
}

/** Lowest version of a summary published at the given Unix time. */
function versionAt(wallMs: number): number {
  return Math.floor((wallMs - VERSION_EPOCH_MS) / 1000);
}

/**
 * Aggregates the targets of a failure domain by service and rounds the figures.
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

/** Entry daemons as they are published to other failure domains. */
export function summarizeEntries(entries: readonly ProcessRecord[]): EntrySummary[] {
  return entries
    .map(({ process, load }) => ({
      bootId: process.bootId,
      peerAddress: process.peerAddress,
      callerAddress: process.callerAddress ?? '',
      draining: load?.draining ?? false,
      openRequests: roundToPowerOfFour(load?.openRequests ?? 0),
    }))
    .sort((a, b) => (a.bootId < b.bootId ? -1 : 1));
}

/**
 * Rounds down to a power of four: the list of entries is large, so few changes should resend it.
 */
function roundToPowerOfFour(value: number): number {
  return value < 4 ? 0 : 4 ** Math.floor(Math.log2(value) / 2);
}
