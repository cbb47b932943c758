/**
 * Simulates the view that a region's gateway has of its targets: load reports that arrive late and
 * cache events of which some are lost.
 */
import type { RandomSource, TargetState } from '@marjoramcart/core';
import type { FakeTarget } from './fake-target.js';
import type { VirtualClock } from './virtual-clock.js';

/** A load report and the time at which it was taken, in ms. */
export interface ReceivedReport {
  readonly state: TargetState;
  readonly takenAt: number;
}

/** Aggregate state of the healthy model targets of a region. */
export interface ModelTargetSummary {
  readonly readyTargets: number;
  readonly meanWaitMs: number;
  readonly freeSlots: number;
}

export interface LoadReportOptions {
  readonly lagMs: number;
  /** Share of cache events that are lost. */
  readonly eventLoss: number;
}

const REPORT_INTERVAL_MS = 500;
/** A dead target is marked unhealthy after three failed probes, one per second. */
const FAILURE_DETECTION_MS = 3000;

export class FakeReports {
  readonly byVm = new Map<string, ReceivedReport>();

  private readonly cachedPrefixesByVm = new Map<string, Set<string>>();

  private sequence = 0;

  private summary: ModelTargetSummary | undefined;

  constructor(
    private readonly clock: VirtualClock,
    targets: readonly FakeTarget[],
    private readonly options: LoadReportOptions,
    private readonly random: RandomSource,
    private readonly onReport: (vm: string) => void,
  ) {
    targets.forEach((target, index) => {
      this.cachedPrefixesByVm.set(target.vm, new Set());
      this.byVm.set(target.vm, { state: target.report(0), takenAt: 0 });
      const firstMs = (REPORT_INTERVAL_MS * index) / targets.length;
      clock.every(REPORT_INTERVAL_MS, firstMs, () => this.collectReport(target));
    });
  }

  /** Whether the reported cache events say that a target of the region caches the prefix. */
  isCached(prefix: string): boolean {
    return [...this.cachedPrefixesByVm.values()].some((prefixes) => prefixes.has(prefix));
  }

  /** Aggregate of the latest reports; cached until the next report arrives. */
  modelTargets(): ModelTargetSummary {
    this.summary ??= this.summarize();
    return this.summary;
  }

  private summarize(): ModelTargetSummary {
    const states = [...this.byVm.values()]
      .map(({ state }) => state)
      .filter(({ kind, healthy }) => kind === 'engine' && healthy);
    return {
      readyTargets: states.length,
      meanWaitMs: meanOf(states.map(({ waitMs }) => waitMs)),
      freeSlots: states.reduce(
        (sum, { concurrency, running, queued }) =>
          sum + Math.max(0, concurrency - running - queued),
        0,
      ),
    };
  }

  private collectReport(target: FakeTarget): void {
    if (!target.alive && this.clock.now - target.diedAt < FAILURE_DETECTION_MS) return;
    this.sequence += 1;
    const { sequence } = this;
    const state = target.report(sequence);
    const takenAt = this.clock.now;
    const { events } = target;
    Object.assign(target, { events: [] });
    this.clock.after(this.options.lagMs, () => {
      const prefixes = this.cachedPrefixesByVm.get(target.vm) ?? new Set<string>();
      events.forEach(({ kind, prefix }) => {
        if (this.random.next() < this.options.eventLoss) return;
        if (kind === 'stored') prefixes.add(prefix);
        else prefixes.delete(prefix);
      });
      this.byVm.set(target.vm, { state: { ...state, cachedPrefixes: [...prefixes] }, takenAt });
      this.summary = undefined;
      this.onReport(target.vm);
    });
  }
}

/** Arithmetic mean; 0 for an empty list. */
export function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
