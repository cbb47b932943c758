/** Probes the targets of the failure domain that this daemon is a prober of. */
import {
  FAILURES_TO_EXCLUDE,
  MembershipTiming,
  proberRank,
  quantise,
  type Opinion,
  type TargetItem,
  type VmRecord,
} from '@marjoramcart/core';
import type { Logger, Task } from '@marjoramcart/platform';
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
}

/** The first prober publishes the load; the second only speaks when a prober sees a fault. */
const PUBLISHING_RANK = 0;
/** Finer ages would only make the messages longer. */
const AGE_STEP_MS = 100;
/** Time between the second prober's probes of a target that no prober sees failing. */
const SECOND_PROBER_INTERVAL_MS = 3000;
/** A timer that fires a little early does not put a probe off to the next round. */
const TIMER_TOLERANCE_MS = 100;

export class ProbeTask implements Task {
  readonly name = 'probes';

  private readonly inFlight = new Set<string>();

  /** Start of the last probe of each target, in ms. */
  private readonly probedAt = new Map<string, number>();

  /** Latest report of each target that this daemon probes. */
  readonly reports = new Map<string, LoadReport>();

  private unsubscribe = (): void => {};

  constructor(private readonly options: ProbeTaskOptions) {}

  start(): Promise<void> {
    const { state } = this.options;
    this.unsubscribe = state.timers.every(MembershipTiming.ProbeIntervalMs, () => {
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
    const before = this.marks();
    const targets = state.targets.targets.filter(({ vm }) => !only || only.includes(vm));
    await Promise.all(
      targets.map(async (record) => {
        const rank = proberRank(record.vm, state.self.bootId, live);
        if (rank < 0) {
          this.reports.delete(record.vm);
          this.probedAt.delete(record.vm);
          state.members.withdrawTarget(record.vm);
        } else if (this.due(record.vm, rank)) {
          await this.probe(record, rank);
        }
      }),
    );
    if (this.marks() !== before) this.options.onTransition();
  }

  /** Own opinions on health and leaving, in a form to compare. */
  private marks(): string {
    const { targets, self } = this.options.state;
    return targets.targets
      .map(({ vm }) => {
        const opinion = targets.opinionOf(vm, self.bootId);
        const excluded = (opinion?.failures ?? 0) >= FAILURES_TO_EXCLUDE;
        return `${vm} ${excluded} ${opinion?.report.leaving}`;
      })
      .join();
  }

  /** The second prober probes seldom while all is well, and as often as the first otherwise. */
  private due(vm: string, rank: number): boolean {
    const { state } = this.options;
    const nowMs = state.timers.now();
    if (!state.targets.mayProbe(vm, nowMs)) return false;
    if (rank === PUBLISHING_RANK || state.targets.doubted(vm, nowMs)) return true;
    const sinceMs = nowMs - (this.probedAt.get(vm) ?? -Infinity);
    return sinceMs >= SECOND_PROBER_INTERVAL_MS - TIMER_TOLERANCE_MS;
  }

  private async probe(record: VmRecord, rank: number): Promise<void> {
    const { vm, address } = record;
    if (this.inFlight.has(vm)) return;
    this.inFlight.add(vm);
    const { state, client, metrics, log } = this.options;
    this.probedAt.set(vm, state.timers.now());
    const result = await client.load(address);
    const nowMs = state.timers.now();
    if (result.kind === 'ok') {
      metrics.probes.inc({ result: 'ok' });
      this.reports.set(vm, result.value);
      const report = targetReport(result.value, record, state.cfg?.services ?? {});
      state.targets.recordReport(vm, report, nowMs);
    } else {
      metrics.probes.inc({ result: 'failed' });
      this.reports.delete(vm);
      state.targets.recordFailure(vm, nowMs);
      log.debug('[probes] probe failed', { vm, kind: result.kind });
    }
    this.inFlight.delete(vm);
    this.publish(vm, rank, nowMs);
  }

  private publish(vm: string, rank: number, nowMs: number): void {
    const { state } = this.options;
    const opinion = state.targets.opinionOf(vm, state.self.bootId);
    if (!opinion) return;
    if (rank !== PUBLISHING_RANK && !state.targets.isInDoubt(vm)) {
      state.members.withdrawTarget(vm);
      return;
    }
    state.members.publishTarget(itemOf(vm, opinion, rank), nowMs);
  }
}

/** What is gossiped of an opinion; the second prober's load figures are left out. */
function itemOf(vm: string, { report, failures }: Opinion, rank: number): TargetItem {
  const load = rank === PUBLISHING_RANK;
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
