/** Health and load of a failure domain's targets, combined from the results of all probers. */
import type { TargetState, VmRecord } from '../messages/messages.js';

/** Load and readiness that a target reported to one prober. */
export type TargetReport = Pick<
  TargetState,
  'services' | 'leaving' | 'running' | 'queued' | 'waitMs' | 'concurrency' | 'sequence'
> & {
  readonly ageMs: number;
  /** Engines: models as `model@version:state`. */
  readonly models?: readonly string[];
};

/** Latest result of one prober for a target. */
export interface ProbeResult {
  readonly report: TargetReport;
  /** Consecutive failed probes. */
  readonly failures: number;
  /** Time of the target's report on this process's clock, in ms. */
  readonly reportedAt: number;
  /** Time at which this process received or confirmed the result, in ms. */
  readonly receivedAt: number;
  /** Start of the current series of failed probes, in ms. */
  readonly firstFailureAt?: number;
  /** Time from which an excluded target may be probed again, in ms. */
  readonly retryAt?: number;
}

/** Consecutive failures after which a target is excluded. */
export const FAILURES_TO_EXCLUDE = 3;

const BACK_OFF_START_MS = 2000;
const BACK_OFF_MAX_MS = 30_000;
/** Failures of several targets that start within this time count as one mass failure. */
const MASS_FAILURE_WINDOW_MS = 10_000;
/** Results are confirmed by the prober's heartbeat; this outlasts a few missed heartbeats. */
const PROBE_RESULT_EXPIRY_MS = 8000;

/** Assumed age of the last probe when a prober confirms an unchanged result; the mean age. */
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

/** Collects the results of all probers of a failure domain. */
export class TargetTable {
  private records: readonly VmRecord[] = [];

  private readonly probeResults = new Map<string, Map<string, ProbeResult>>();

  private massFailure = false;

  /** @param self boot id of this process, which stores the results of its own probes as well */
  constructor(private readonly self: string) {}

  /** Replaces the targets of the failure domain and drops the results of removed ones. */
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

  /** Whether each target was probed at least once, by this process or another one. */
  get allProbed(): boolean {
    return this.records.every(({ vm }) => this.probeResults.has(vm));
  }

  /** Records a successful probe by this process. */
  recordReport(vm: string, report: TargetReport, nowMs: number): void {
    this.setProbeResult(vm, this.self, {
      report,
      failures: 0,
      reportedAt: nowMs - report.ageMs,
      receivedAt: nowMs,
    });
  }

  /** Records a failed probe by this process. */
  recordFailure(vm: string, nowMs: number): void {
    const before = this.probeResultOf(vm, this.self);
    const failures = (before?.failures ?? 0) + 1;
    const excess = Math.max(0, failures - FAILURES_TO_EXCLUDE);
    const backOffMs = Math.min(BACK_OFF_START_MS * 2 ** excess, BACK_OFF_MAX_MS);
    this.setProbeResult(vm, this.self, {
      report: before?.report ?? NO_REPORT,
      reportedAt: before?.reportedAt ?? nowMs,
      receivedAt: nowMs,
      failures,
      firstFailureAt: before?.firstFailureAt ?? nowMs,
      retryAt: failures >= FAILURES_TO_EXCLUDE ? nowMs + backOffMs : undefined,
    });
  }

  /** Stores the result of a prober. */
  setProbeResult(vm: string, prober: string, result: ProbeResult): void {
    const byProber = this.probeResults.get(vm) ?? new Map<string, ProbeResult>();
    this.probeResults.set(vm, byProber);
    const before = byProber.get(prober);
    const firstFailureAt =
      result.failures >= 1 ? (before?.firstFailureAt ?? result.receivedAt) : undefined;
    byProber.set(prober, { ...result, firstFailureAt: result.firstFailureAt ?? firstFailureAt });
  }

  /** Renews another prober's unchanged result; returns false if there is none. */
  confirm(vm: string, prober: string, nowMs: number): boolean {
    const before = this.probeResultOf(vm, prober);
    if (!before) return false;
    const probedAt = nowMs - before.report.ageMs - CONFIRMED_REPORT_AGE_MS;
    const reportedAt = Math.max(before.reportedAt, probedAt);
    this.setProbeResult(vm, prober, { ...before, receivedAt: nowMs, reportedAt });
    return true;
  }

  /** Extends the expiry of all results by the duration of a pause of this process. */
  afterPause(durationMs: number): void {
    this.probeResults.forEach((byProber) =>
      byProber.forEach((result, prober) =>
        byProber.set(prober, { ...result, receivedAt: result.receivedAt + durationMs }),
      ),
    );
  }

  probeResultOf(vm: string, prober: string): ProbeResult | undefined {
    return this.probeResults.get(vm)?.get(prober);
  }

  /**
   * Whether this process may probe the target now; excluded targets are probed after a back-off.
   */
  mayProbe(vm: string, nowMs: number): boolean {
    const retryAt = this.probeResultOf(vm, this.self)?.retryAt;
    return retryAt === undefined || nowMs >= retryAt;
  }

  /**
   * Whether a recent result shows a failure or that the target leaves, or there is no recent one.
   */
  needsFastProbes(vm: string, nowMs: number): boolean {
    const live = this.unexpiredResults(vm, nowMs);
    return live.length === 0 || live.some(({ failures, report }) => failures > 0 || report.leaving);
  }

  /**
   * Whether more than half of the targets failed at about the same time. The process then assumes
   * that it is isolated itself and keeps using all targets until at most half of them are failed. A
   * process that receives gossip from other failure domains (`inContact`) is not isolated: its
   * targets have failed.
   */
  isolated(nowMs: number, inContact = false): boolean {
    const candidates = this.records.filter(({ state }) => state !== 'leaving');
    const failed = candidates.filter(({ vm }) => this.excluded(vm, nowMs));
    const starts = failed.map(({ vm }) => this.failingSince(vm, nowMs)).sort((a, b) => a - b);
    const half = Math.floor(candidates.length / 2);
    const failedTogether = starts.some(
      (start, index) => (starts[index + half] ?? Infinity) - start <= MASS_FAILURE_WINDOW_MS,
    );
    this.massFailure =
      failed.length > candidates.length / 2 && (this.massFailure || failedTogether);
    return this.massFailure && !inContact;
  }

  /**
   * Whether a prober reports that the target fails or leaves, so that all probers have to publish
   * their results.
   */
  hasFailureOrLeavingReport(vm: string): boolean {
    return [...(this.probeResults.get(vm)?.values() ?? [])].some(
      ({ failures, report }) => failures > 0 || report.leaving,
    );
  }

  /** Models of an engine in the latest successful probe; empty if there is none. */
  modelsOf(vm: string): readonly string[] {
    const newest = [...(this.probeResults.get(vm)?.values() ?? [])]
      .filter(({ failures }) => failures === 0)
      .sort((a, b) => b.receivedAt - a.receivedAt)[0];
    return newest?.report.models ?? [];
  }

  /** State of each target, as it is sent to entries. */
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
      // An isolated process also uses targets of which it has only an expired result.
      const leaves = report.leaving || live.some((result) => result.report.leaving);
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
        leaving: record.state === 'leaving' || leaves,
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
      .filter(([prober, { receivedAt, retryAt }]) => {
        const inBackOff = prober === this.self && retryAt !== undefined;
        const expiryMs = inBackOff
          ? BACK_OFF_MAX_MS + PROBE_RESULT_EXPIRY_MS
          : PROBE_RESULT_EXPIRY_MS;
        return nowMs - receivedAt <= expiryMs;
      })
      .map(([, result]) => result);
  }

  private latestResult(vm: string): ProbeResult | undefined {
    return [...(this.probeResults.get(vm)?.values() ?? [])].sort(
      (a, b) => b.receivedAt - a.receivedAt,
    )[0];
  }
}
