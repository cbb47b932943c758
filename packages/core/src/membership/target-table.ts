/** What the probers of a failure domain know of its targets. */
import type { TargetState, VmRecord } from '../messages/messages.js';

/** Load and readiness of a target as one prober saw it. */
export type TargetReport = Pick<
  TargetState,
  'services' | 'leaving' | 'running' | 'queued' | 'waitMs' | 'concurrency' | 'sequence'
> & {
  readonly ageMs: number;
  /** Engines: models as `model@version:state`. */
  readonly models?: readonly string[];
};

/** One prober's last knowledge of a target. */
export interface ProbeResult {
  readonly report: TargetReport;
  readonly failures: number;
  /** Time of the report on this process's clock, in ms. */
  readonly reportedAt: number;
  /** Time at which this process learnt of the opinion, in ms. */
  readonly heardAt: number;
  readonly firstFailureAt?: number;
  readonly retryAt?: number;
}

/** Consecutive failures after which a target is excluded. */
export const FAILURES_TO_EXCLUDE = 3;

const BACK_OFF_START_MS = 2000;
const BACK_OFF_MAX_MS = 30_000;
/** Failures that begin within this time count as one event. */
const MASS_FAILURE_WINDOW_MS = 10_000;
/** A prober's opinion is confirmed with its heartbeat; a few missed ones are not enough to drop it. */
const PROBE_RESULT_EXPIRY_MS = 8000;

/** Mean age of a probe of a target with steady figures. */
const CONFIRMED_REPORT_AGE_MS = 1000;

const NO_REPORT: TargetReport = {
  services: [],
  leaving: false,
  running: 0,
  queued: 0,
  waitMs: 0,
  concurrency: 0,
  sequence: 0,
  ageMs: 0,
};

/** Collects the opinions of all probers of a failure domain, by prober. */
export class TargetTable {
  private records: readonly VmRecord[] = [];

  private readonly probeResults = new Map<string, Map<string, ProbeResult>>();

  private massFailure = false;

  /** @param self boot id of this process, whose own probes are opinions too */
  constructor(private readonly self: string) {}

  /** Takes the targets of the failure domain from the list of VMs. */
  setRecords(records: readonly VmRecord[]): void {
    this.records = records;
    const known = new Set(records.map(({ vm }) => vm));
    [...this.probeResults.keys()]
      .filter((vm) => !known.has(vm))
      .forEach((vm) => this.probeResults.delete(vm));
  }

  get targets(): readonly VmRecord[] {
    return this.records;
  }

  /** Whether each target was probed at least once, here or by another prober. */
  get allProbed(): boolean {
    return this.records.every(({ vm }) => this.probeResults.has(vm));
  }

  /** Notes a successful probe of this process. */
  recordReport(vm: string, report: TargetReport, nowMs: number): void {
    this.setProbeResult(vm, this.self, {
      report,
      failures: 0,
      reportedAt: nowMs - report.ageMs,
      heardAt: nowMs,
    });
  }

  /** Notes a failed probe of this process. */
  recordFailure(vm: string, nowMs: number): void {
    const before = this.probeResultOf(vm, this.self);
    const failures = (before?.failures ?? 0) + 1;
    const excess = Math.max(0, failures - FAILURES_TO_EXCLUDE);
    const backOffMs = Math.min(BACK_OFF_START_MS * 2 ** excess, BACK_OFF_MAX_MS);
    this.setProbeResult(vm, this.self, {
      report: before?.report ?? NO_REPORT,
      reportedAt: before?.reportedAt ?? nowMs,
      heardAt: nowMs,
      failures,
      firstFailureAt: before?.firstFailureAt ?? nowMs,
      retryAt: failures >= FAILURES_TO_EXCLUDE ? nowMs + backOffMs : undefined,
    });
  }

  /** Takes another prober's opinion. */
  setProbeResult(vm: string, prober: string, opinion: ProbeResult): void {
    const byProber = this.probeResults.get(vm) ?? new Map<string, ProbeResult>();
    this.probeResults.set(vm, byProber);
    const before = byProber.get(prober);
    const firstFailureAt =
      opinion.failures >= 1 ? (before?.firstFailureAt ?? opinion.heardAt) : undefined;
    byProber.set(prober, { ...opinion, firstFailureAt: opinion.firstFailureAt ?? firstFailureAt });
  }

  /** Another prober still holds its opinion to be true; false when it is not known here. */
  confirm(vm: string, prober: string, nowMs: number): boolean {
    const before = this.probeResultOf(vm, prober);
    if (!before) return false;
    const probedAt = nowMs - before.report.ageMs - CONFIRMED_REPORT_AGE_MS;
    const reportedAt = Math.max(before.reportedAt, probedAt);
    this.setProbeResult(vm, prober, { ...before, heardAt: nowMs, reportedAt });
    return true;
  }

  /** Keeps the silence of a pause of this process from counting against the targets. */
  afterPause(durationMs: number): void {
    this.probeResults.forEach((byProber) =>
      byProber.forEach((opinion, prober) =>
        byProber.set(prober, { ...opinion, heardAt: opinion.heardAt + durationMs }),
      ),
    );
  }

  probeResultOf(vm: string, prober: string): ProbeResult | undefined {
    return this.probeResults.get(vm)?.get(prober);
  }

  /** Whether this process may probe the target now; excluded targets wait out their back-off. */
  mayProbe(vm: string, nowMs: number): boolean {
    const retryAt = this.probeResultOf(vm, this.self)?.retryAt;
    return retryAt === undefined || nowMs >= retryAt;
  }

  /** Whether a prober saw the last probe fail or a leaving mark, or none has probed it lately. */
  needsFastProbes(vm: string, nowMs: number): boolean {
    const live = this.unexpiredResults(vm, nowMs);
    return live.length === 0 || live.some(({ failures, report }) => failures > 0 || report.leaving);
  }

  /**
   * Whether more than half of the targets failed at once. The process then assumes that it is cut
   * off itself and goes on using all of them, until at most half are failed. A process that hears
   * other failure domains (`inContact`) is not cut off: its targets are lost.
   */
  isolated(nowMs: number, inContact = false): boolean {
    const candidates = this.records.filter(({ state }) => state !== 'leaving');
    const failed = candidates.filter(({ vm }) => this.excluded(vm, nowMs));
    const starts = failed.map(({ vm }) => this.failingSince(vm, nowMs)).sort((a, b) => a - b);
    const half = Math.floor(candidates.length / 2);
    const together = starts.some(
      (start, index) => (starts[index + half] ?? Infinity) - start <= MASS_FAILURE_WINDOW_MS,
    );
    this.massFailure = failed.length > candidates.length / 2 && (this.massFailure || together);
    return this.massFailure && !inContact;
  }

  /** Whether any prober reports failures or leaving, so that the others must speak as well. */
  hasFailureOrLeavingReport(vm: string): boolean {
    return [...(this.probeResults.get(vm)?.values() ?? [])].some(
      ({ failures, report }) => failures > 0 || report.leaving,
    );
  }

  /** Models of an engine as its probers last saw them; empty when it is not known. */
  modelsOf(vm: string): readonly string[] {
    const newest = [...(this.probeResults.get(vm)?.values() ?? [])]
      .filter(({ failures }) => failures === 0)
      .sort((a, b) => b.heardAt - a.heardAt)[0];
    return newest?.report.models ?? [];
  }

  /** State of each target, as entries use it. */
  states(nowMs: number, inContact = false): TargetState[] {
    const isolated = this.isolated(nowMs, inContact);
    return this.records.map((record) => {
      const live = this.unexpiredResults(record.vm, nowMs);
      const best = live
        .filter(({ failures }) => failures < FAILURES_TO_EXCLUDE)
        .reduce<ProbeResult | undefined>(
          (a, b) => (a && a.report.sequence >= b.report.sequence ? a : b),
          undefined,
        );
      const shown = best ?? live[0] ?? this.latestResult(record.vm);
      const report = shown?.report ?? NO_REPORT;
      return {
        vm: record.vm,
        address: record.address,
        kind: record.target?.kind ?? 'engine',
        services: report.services,
        running: report.running,
        queued: report.queued,
        waitMs: report.waitMs,
        concurrency: report.concurrency,
        sequence: report.sequence,
        leaving: record.state === 'leaving' || live.some((o) => o.report.leaving),
        healthy: best !== undefined || (isolated && shown !== undefined),
        reportAgeMs: shown ? Math.round(nowMs - shown.reportedAt) : 0,
      };
    });
  }

  private excluded(vm: string, nowMs: number): boolean {
    const live = this.unexpiredResults(vm, nowMs);
    return live.length > 0 && live.every(({ failures }) => failures >= FAILURES_TO_EXCLUDE);
  }

  private failingSince(vm: string, nowMs: number): number {
    return Math.min(
      ...this.unexpiredResults(vm, nowMs).map(({ firstFailureAt }) => firstFailureAt ?? nowMs),
    );
  }

  private unexpiredResults(vm: string, nowMs: number): ProbeResult[] {
    const all = [...(this.probeResults.get(vm) ?? [])];
    return all
      .filter(([prober, { heardAt, retryAt }]) => {
        const waiting = prober === this.self && retryAt !== undefined;
        const expiryMs = waiting ? BACK_OFF_MAX_MS + PROBE_RESULT_EXPIRY_MS : PROBE_RESULT_EXPIRY_MS;
        return nowMs - heardAt <= expiryMs;
      })
      .map(([, opinion]) => opinion);
  }

  private latestResult(vm: string): ProbeResult | undefined {
    return [...(this.probeResults.get(vm)?.values() ?? [])].sort((a, b) => b.heardAt - a.heardAt)[0];
  }
}
