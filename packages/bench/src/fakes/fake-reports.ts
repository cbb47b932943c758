/** What a region's gateway knows of its targets: lagging load reports and lossy cache events. */
import type { RandomSource, TargetState } from '@marjoramcart/core';
import type { FakeTarget } from './fake-target.js';
import type { VirtualClock } from './virtual-clock.js';

/** A report with the time that its figures are from. */
export interface ReceivedReport {
  readonly state: TargetState;
  readonly takenAt: number;
}

/** Figures of the healthy model targets of a region. */
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
/** A dead target is excluded after three probes, one a second. */
const FAILURE_DETECTION_MS = 3000;

export class FakeReports {
  readonly byVm = new Map<string, ReceivedReport>();

  private readonly cached = new Map<string, Set<string>>();

  private sequence = 0;

  private summary: ModelTargetSummary | undefined;

  constructor(
    private readonly clock: VirtualClock,
    targets: readonly FakeTarget[],
    private readonly options: LoadReportOptions,
    private readonly random: RandomSource,
    private readonly onReport: (vm: string) => void,
  ) {
    targets.forEach((target, at) => {
      this.cached.set(target.vm, new Set());
      this.byVm.set(target.vm, { state: target.report(0), takenAt: 0 });
      const phase = (REPORT_INTERVAL_MS * at) / targets.length;
      clock.every(REPORT_INTERVAL_MS, phase, () => this.collectReport(target));
    });
  }

  /** Whether some target of the region is thought to cache the prefix. */
  isCached(prefix: string): boolean {
    return [...this.cached.values()].some((prefixes) => prefixes.has(prefix));
  }

  /** Figures of the last reports; computed once for each change of them. */
  modelTargets(): ModelTargetSummary {
    this.summary ??= this.summarise();
    return this.summary;
  }

  private summarise(): ModelTargetSummary {
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
      const prefixes = this.cached.get(target.vm) ?? new Set<string>();
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

/** Mean of some values; 0 without any. */
export function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
