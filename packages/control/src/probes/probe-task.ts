/** Probes the targets of the failure domain that this daemon is a prober of. */
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
  /** Called after a round in which a target's health or leaving mark changed. */
  readonly onTransition: () => void;
  /** Called after a round with the other probers of targets whose first probe failed in it. */
  readonly onFirstFailure: (probers: ReadonlySet<string>) => void;
}

/** The first prober publishes the load; the second only speaks when a prober sees a fault. */
const FIRST_PROBER_RANK = 0;
/** Finer ages would only make the messages longer. */
const AGE_STEP_MS = 100;
/** Times between the starts of a daemon's probes of one target, in ms. */
const ProbeIntervalMs = {
  /** A probe failed or has no answer yet: the third failure comes 3 s after the last success. */
  Failing: 500,
  /** A prober sees a failure or a leaving mark, or the load figures change. */
  Fast: 1000,
  /** First prober, while the report stays near the one published. */
  Steady: 2000,
  /** Second prober, while all is well. */
  Second: 6000,
} as const;
/** A timer that fires a little early does not put a probe off to the next round. */
const TIMER_TOLERANCE_MS = 100;

export class ProbeTask implements Task {
  readonly name = 'probes';

  /** Probes of each target that have no result yet. */
  private readonly inFlight = new Map<string, number>();

  /** Start of the last probe of each target, in ms. */
  private readonly probedAt = new Map<string, number>();

  /** Start of the newest probe of each target that has a result, in ms. */
  private readonly newestResultStartedAt = new Map<string, number>();

  /** Targets whose last report was near the published one. */
  private readonly steady = new Set<string>();

  /** Latest report of each target that this daemon probes. */
  readonly reports = new Map<string, LoadReport>();

  /** Other probers of targets that failed once; not yet told. */
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

  /** Probes each target that is due, or those of `only`; resolves when all answered or failed. */
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
    const told = this.probersToNotify;
    this.probersToNotify = new Set();
    if (this.healthMarks() !== before) this.options.onTransition();
    else if (told.size > 0) this.options.onFirstFailure(told);
  }

  private forget(vm: string): void {
    this.reports.delete(vm);
    this.probedAt.delete(vm);
    this.newestResultStartedAt.delete(vm);
    this.steady.delete(vm);
  }

  /** Own opinions on health and leaving, in a form to compare. */
  private healthMarks(): string {
    const { targets, self } = this.options.state;
    return targets.targets
      .map(({ vm }) => {
        const opinion = targets.probeResultOf(vm, self.bootId);
        const excluded = (opinion?.failures ?? 0) >= FAILURES_TO_EXCLUDE;
        return `${vm} ${excluded} ${opinion?.report.leaving}`;
      })
      .join();
  }

  /** Whether the next probe is due; an entry that saw a failure does not wait for the interval. */
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
    const result = await client.load(address);
    this.probeEnded(vm);
    const nowMs = state.timers.now();
    metrics.probes.inc({ result: result.kind === 'ok' ? 'ok' : 'failed' });
    // The result of a later probe is the newer one, although its answer came first.
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
    const left = (this.inFlight.get(vm) ?? 1) - 1;
    if (left > 0) this.inFlight.set(vm, left);
    else this.inFlight.delete(vm);
  }

  private publish(vm: string, rank: number, nowMs: number): void {
    const { state } = this.options;
    const opinion = state.targets.probeResultOf(vm, state.self.bootId);
    if (!opinion) return;
    if (rank !== FIRST_PROBER_RANK && !state.targets.hasFailureOrLeavingReport(vm)) {
      state.members.withdrawTarget(vm, nowMs);
      return;
    }
    const changed = state.members.publishTarget(toTargetItem(vm, opinion, rank), nowMs);
    if (changed) this.steady.delete(vm);
    else this.steady.add(vm);
  }
}

/** What is gossiped of an opinion; the second prober's load figures are left out. */
function toTargetItem(vm: string, { report, failures }: ProbeResult, rank: number): GossipedTarget {
  const load = rank === FIRST_PROBER_RANK;
  return {
    vm,
    services: report.services,
    leaving: report.leaving,
    failures,
    running: load ? quantise(report.running) : 0,
    queued: load ? quantise(report.queued) : 0,
    waitMs: load ? quantise(report.waitMs) : 0,
    concurrency: report.concurrency,
    sequence: load ? report.sequence : 0,
    ageMs: roundTo(report.ageMs, AGE_STEP_MS),
    ...(report.models && { models: report.models }),
  };
}

function roundTo(value: number, step: number): number {
  return Math.round(value / step) * step;
}
