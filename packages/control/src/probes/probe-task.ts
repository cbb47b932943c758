/**
 * Probes the targets that are assigned to this daemon. Each target has two probers: the first one
 * publishes the load, the second one confirms failures.
 */
import {
  FAILURES_TO_EXCLUDE,
  MembershipTiming,
  otherProber,
  proberRank,
  quantise,
  type ProbeResult,
  type GossipedTarget,
  type VmRecord,
} from '@marjoramcart/core';
import type { Logger, Task } from '@marjoramcart/runtime';
import type { ControlMetrics } from '../control-metrics.js';
import type { ControlState } from '../control-state.js';
import { targetReport, type LoadReport } from './load-report.js';
import type { TargetClient } from './target-client.js';

export interface ProbeTaskOptions {
  readonly state: ControlState;
  readonly client: TargetClient;
  readonly metrics: ControlMetrics;
  readonly log: Logger;
  /** Called after a round that changed a target's health or leaving mark. */
  readonly onTransition: () => void;
  /** Called after a round with the other probers of targets that failed for the first time in it. */
  readonly onFirstFailure: (probers: ReadonlySet<string>) => void;
}

/** The first prober publishes the load; the second publishes only while a failure is suspected. */
const FIRST_PROBER_RANK = 0;
/** Report ages are rounded to this step to keep the messages short. */
const AGE_STEP_MS = 100;
/** Interval between the starts of a daemon's probes of one target, in ms. */
const ProbeIntervalMs = {
  /** A probe failed or is pending: the third failure comes 3 s after the last success. */
  Failing: 500,
  /** A prober reports a failure or a leaving mark, or the load figures change. */
  Fast: 1000,
  /** First prober, while the report stays close to the published one. */
  Steady: 2000,
  /** Second prober, while no prober reports a failure or a leaving mark. */
  Second: 6000,
} as const;
/** Tolerance for a timer that fires early, so that a probe is not delayed to the next round. */
const TIMER_TOLERANCE_MS = 100;

export class ProbeTask implements Task {
  readonly name = 'probes';

  /** Number of pending probes by target. */
  private readonly inFlight = new Map<string, number>();

  /** Start time of the last probe by target, in ms. */
  private readonly probedAt = new Map<string, number>();

  /** Start time of the newest probe with a result by target, in ms. */
  private readonly newestResultStartedAt = new Map<string, number>();

  /** Targets whose last report was close to the published one. */
  private readonly steady = new Set<string>();

  /** Latest report by target, for targets that this daemon probes. */
  readonly reports = new Map<string, LoadReport>();

  /** Other probers of targets that failed for the first time, to be notified after the round. */
  private probersToNotify = new Set<string>();

  private unsubscribe = (): void => {};

  constructor(private readonly options: ProbeTaskOptions) {}

  start(): Promise<void> {
    const { state } = this.options;
    this.unsubscribe = state.timers.every(MembershipTiming.ProbeTickMs, () => {
      void this.probeAll();
    });
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.unsubscribe();
    this.options.client.close();
    return Promise.resolve();
  }

  /** Probes each target that is due, or those in `only`; resolves when all probes have ended. */
  async probeAll(only?: readonly string[]): Promise<void> {
    const { state } = this.options;
    const live = state.liveControlIds();
    const before = this.healthMarks();
    const targets = state.targets.targets.filter(({ vm }) => !only || only.includes(vm));
    await Promise.all(
      targets.map(async (record) => {
        const rank = proberRank(record.vm, state.self.bootId, live);
        if (rank < 0) {
          this.forget(record.vm);
          state.members.withdrawTarget(record.vm, state.timers.now());
        } else if (this.isDue(record.vm, rank, only !== undefined)) {
          await this.probe(record, rank);
        }
      }),
    );
    const probers = this.probersToNotify;
    this.probersToNotify = new Set();
    if (this.healthMarks() !== before) this.options.onTransition();
    else if (probers.size > 0) this.options.onFirstFailure(probers);
  }

  private forget(vm: string): void {
    this.reports.delete(vm);
    this.probedAt.delete(vm);
    this.newestResultStartedAt.delete(vm);
    this.steady.delete(vm);
  }

  /** Health and leaving marks by the local probe results, as a string to compare. */
  private healthMarks(): string {
    const { targets, self } = this.options.state;
    return targets.targets
      .map(({ vm }) => {
        const probeResult = targets.probeResultOf(vm, self.bootId);
        const excluded = (probeResult?.failures ?? 0) >= FAILURES_TO_EXCLUDE;
        return `${vm} ${excluded} ${probeResult?.report.leaving}`;
      })
      .join();
  }

  /** Whether the next probe is due; after a failure seen by an entry it is due at once. */
  private isDue(vm: string, rank: number, urgent: boolean): boolean {
    const { state } = this.options;
    const nowMs = state.timers.now();
    if (!state.targets.mayProbe(vm, nowMs)) return false;
    if (urgent && rank === FIRST_PROBER_RANK && !this.inFlight.has(vm)) return true;
    const sinceMs = nowMs - (this.probedAt.get(vm) ?? -Infinity);
    return sinceMs >= this.intervalMs(vm, rank, nowMs) - TIMER_TOLERANCE_MS;
  }

  private intervalMs(vm: string, rank: number, nowMs: number): number {
    const { targets, self } = this.options.state;
    const failures = targets.probeResultOf(vm, self.bootId)?.failures ?? 0;
    if (failures > 0 || this.inFlight.has(vm)) return ProbeIntervalMs.Failing;
    if (targets.needsFastProbes(vm, nowMs)) return ProbeIntervalMs.Fast;
    if (rank !== FIRST_PROBER_RANK) return ProbeIntervalMs.Second;
    return this.steady.has(vm) ? ProbeIntervalMs.Steady : ProbeIntervalMs.Fast;
  }

  private async probe(record: VmRecord, rank: number): Promise<void> {
    const { vm, address } = record;
    const { state, client, metrics, log } = this.options;
    const startedAt = state.timers.now();
    this.probedAt.set(vm, startedAt);
    this.inFlight.set(vm, (this.inFlight.get(vm) ?? 0) + 1);
    const result = await client.readLoadReport(address);
    this.probeEnded(vm);
    const nowMs = state.timers.now();
    metrics.probes.inc({ result: result.kind === 'ok' ? 'ok' : 'failed' });
    // Ignores this result if a probe that started later has already ended.
    if (startedAt < (this.newestResultStartedAt.get(vm) ?? -Infinity)) return;
    this.newestResultStartedAt.set(vm, startedAt);
    if (result.kind === 'ok') {
      this.reports.set(vm, result.value);
      const report = targetReport(result.value, record, state.cfg?.services ?? {});
      state.targets.recordReport(vm, report, nowMs);
    } else {
      this.reports.delete(vm);
      state.targets.recordFailure(vm, nowMs);
      this.noteFirstFailure(vm);
      log.debug('[probes] probe failed', { vm, kind: result.kind });
    }
    this.publish(vm, rank, nowMs);
  }

  private noteFirstFailure(vm: string): void {
    const { targets, self } = this.options.state;
    if (targets.probeResultOf(vm, self.bootId)?.failures !== 1) return;
    const other = otherProber(vm, self.bootId, this.options.state.liveControlIds());
    if (other) this.probersToNotify.add(other);
  }

  private probeEnded(vm: string): void {
    const remaining = (this.inFlight.get(vm) ?? 1) - 1;
    if (remaining > 0) this.inFlight.set(vm, remaining);
    else this.inFlight.delete(vm);
  }

  private publish(vm: string, rank: number, nowMs: number): void {
    const { state } = this.options;
    const probeResult = state.targets.probeResultOf(vm, state.self.bootId);
    if (!probeResult) return;
    if (rank !== FIRST_PROBER_RANK && !state.targets.hasFailureOrLeavingReport(vm)) {
      state.members.withdrawTarget(vm, nowMs);
      return;
    }
    const changed = state.members.publishTarget(toTargetItem(vm, probeResult, rank), nowMs);
    if (changed) this.steady.delete(vm);
    else this.steady.add(vm);
  }
}

/** Converts a probe result to its gossiped form; leaves out the second prober's load figures. */
function toTargetItem(vm: string, { report, failures }: ProbeResult, rank: number): GossipedTarget {
  const withLoad = rank === FIRST_PROBER_RANK;
  return {
    vm,
    services: report.services,
    leaving: report.leaving,
    failures,
    running: withLoad ? quantise(report.running) : 0,
    queued: withLoad ? quantise(report.queued) : 0,
    waitMs: withLoad ? quantise(report.waitMs) : 0,
    concurrency: report.concurrency,
    sequence: withLoad ? report.sequence : 0,
    ageMs: roundTo(report.ageMs, AGE_STEP_MS),
    ...(report.models && { models: report.models }),
  };
}

function roundTo(value: number, step: number): number {
  return Math.round(value / step) * step;
}
