/**
 * Summaries of all failure domains, by version. One control daemon of each failure domain publishes
 * its summary; the others only pass it on. Services and entries have versions of their own, so that
 * a summary that only shows that its failure domain is alive is short.
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

/** Least time between two summaries of a failure domain; a third of the time to expiry. */
const PUBLISH_INTERVAL_MS = 3000;
/** Versions count seconds from here, so that a restarted failure domain goes on with higher ones. */
const VERSION_EPOCH_MS = 1_780_000_000_000;

const UNSOLICITED_LISTS_MAX_AGE_S = 5;

interface StoredSummary {
  readonly summary: DomainSummary;
  readonly servicesVersion: number;
  readonly entriesVersion: number;
  readonly createdAt: number;
}

/** Time on both clocks: `nowMs` monotonic, `wallMs` since the Unix epoch. */
export interface SummaryClock {
  readonly nowMs: number;
  readonly wallMs: number;
}

export class SummaryTable {
  private readonly stored = new Map<string, StoredSummary>();

  /** Failure domains whose entries began to drain since the last `takeDraining`. */
  private readonly newlyDraining = new Set<string>();

  constructor(
    private readonly failureDomain: string,
    private readonly region: string,
  ) {}

  /**
   * Publishes the summary of the own failure domain; false while the last one is too recent. An
   * entry that begins to drain ends its notice sooner than that and is published at once.
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

  /** Failure domains whose summaries are held, in order. */
  failureDomains(): string[] {
    return [...this.stored.keys()].sort();
  }

  /** Region of a failure domain whose summary is held. */
  regionOf(failureDomain: string): string {
    return this.stored.get(failureDomain)?.summary.region ?? '';
  }

  /** Versions of the summaries and of their parts. */
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

  /** What a holder of `held` lacks. */
  updatesSince(held: SummaryVersions, nowMs: number): SummaryUpdate[] {
    return [...this.stored.values()]
      .map((stored) => ({ stored, parts: heldVersions(held, stored.summary.failureDomain) }))
      .filter(({ stored, parts }) => stored.summary.version > parts[0])
      .map(({ stored: { summary, servicesVersion, entriesVersion, createdAt: madeAt }, parts }) => ({
        failureDomain: summary.failureDomain,
        region: summary.region,
        version: summary.version,
        servicesVersion,
        entriesVersion,
        ageMs: Math.round(nowMs - madeAt),
        ...(servicesVersion !== parts[1] && {
          services: summary.services.map(
            (s) => [s.service, s.readyTargets, s.waitMs, s.freeSlots] as const,
          ),
        }),
        ...(entriesVersion !== parts[2] && { entries: summary.entries }),
      }));
  }

  /**
   * The own failure domain's summary, to be sent unasked. Parts that changed a while ago are left
   * out, since the receiver most likely holds them.
   */
  localUpdate({ nowMs, wallMs }: SummaryClock): SummaryUpdate[] {
    const own = this.stored.get(this.failureDomain);
    if (!own) return [];
    const since = versionAt(wallMs) - UNSOLICITED_LISTS_MAX_AGE_S;
    const parts = [own.servicesVersion, own.entriesVersion].map((version) =>
      version > since ? 0 : version,
    );
    const held = { [this.failureDomain]: [0, -(parts[0] ?? 0), -(parts[1] ?? 0)] as const };
    return this.updatesSince(held, nowMs).filter(
      ({ failureDomain }) => failureDomain === this.failureDomain,
    );
  }

  /** Takes newer summaries. One without a part is taken only if that part is held. */
  merge(updates: readonly SummaryUpdate[], nowMs: number): boolean {
    return updates.filter((update) => this.mergeOne(update, nowMs)).length > 0;
  }

  /** Failure domains whose entries began to drain since the last call. */
  takeNewlyDraining(): string[] {
    const domains = [...this.newlyDraining];
    this.newlyDraining.clear();
    return domains;
  }

  /** The whole summaries of some failure domains. */
  fullUpdatesOf(domains: readonly string[], nowMs: number): SummaryUpdate[] {
    return this.updatesSince({}, nowMs).filter(({ failureDomain }) =>
      domains.includes(failureDomain),
    );
  }

  /** Age of what is known of a failure domain, in ms; Infinity when nothing is. */
  ageOf(failureDomain: string, nowMs: number): number {
    return nowMs - (this.stored.get(failureDomain)?.createdAt ?? -Infinity);
  }

  /** Summaries that are not expired, with their present age. */
  unexpired(nowMs: number): DomainSummary[] {
    return [...this.stored.values()]
      .map(({ summary, createdAt: madeAt }) => ({ ...summary, ageMs: Math.round(nowMs - madeAt) }))
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
    if (beginsToDrain(before?.summary.entries, entries)) this.newlyDraining.add(update.failureDomain);
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

/** Whether an entry drains that was known not to. */
function beginsToDrain(
  before: readonly EntrySummary[] | undefined,
  present: readonly EntrySummary[],
): boolean {
  const serving = new Set(before?.filter(({ draining }) => !draining).map(({ bootId }) => bootId));
  return present.some(({ bootId, draining }) => draining && serving.has(bootId));
}

/** The figures published before, if the present ones are near them. */
function keepIfMinorChange(present: ServiceSummary, before: readonly ServiceSummary[] = []): ServiceSummary {
  const last = before.find(({ service }) => service === present.service);
  const same =
    last?.readyTargets === present.readyTargets &&
    isMinorChange(last.waitMs, present.waitMs) &&
    isMinorChange(last.freeSlots, present.freeSlots);
  return same ? last : present;
}

/** Versions of a summary and its parts from a digest; 0 for what is not held. */
function heldVersions(held: SummaryVersions, domain: string): [number, number, number] {
  const [version, servicesBehind, entriesBehind] = held[domain] ?? [0, 0, 0];
  return [version, version - servicesBehind, version - entriesBehind];
}

/** Version of a summary made at a time. */
function versionAt(wallMs: number): number {
  return Math.floor((wallMs - VERSION_EPOCH_MS) / 1000);
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

/** Powers of four: the list of entries is large, so few changes of load are worth sending it. */
function roundToPowerOfFour(value: number): number {
  return value < 4 ? 0 : 4 ** Math.floor(Math.log2(value) / 2);
}
