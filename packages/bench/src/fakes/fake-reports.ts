/** What a region's gateway knows of its targets: lagging load reports and lossy cache events. */
import type { RandomSource, TargetState } from '@marjoramcart/core';
import type { FakeTarget } from './fake-target.js';
import type { VirtualClock } from './virtual-clock.js';

/** A report with the time that its figures are from. */
export interface SeenReport {
  readonly state: TargetState;
  readonly takenAt: number;
}

export interface ReportOptions {
  readonly lagMs: number;
  /** Share of cache events that are lost. */
  readonly eventLoss: number;
}

const REPORT_INTERVAL_MS = 500;
/** A dead target is excluded after three probes, one a second. */
const DEATH_NOTICE_MS = 3000;

export class FakeReports {
  readonly byVm = new Map<string, SeenReport>();

  private readonly cached = new Map<string, Set<string>>();

  private sequence = 0;

  constructor(
    private readonly clock: VirtualClock,
    targets: readonly FakeTarget[],
    private readonly options: ReportOptions,
    private readonly random: RandomSource,
    private readonly onReport: (vm: string) => void,
  ) {
    targets.forEach((target, at) => {
      this.cached.set(target.vm, new Set());
      this.byVm.set(target.vm, { state: target.report(0), takenAt: 0 });
      const phase = (REPORT_INTERVAL_MS * at) / targets.length;
      clock.every(REPORT_INTERVAL_MS, phase, () => this.take(target));
    });
  }

  /** Whether some target of the region is thought to cache the prefix. */
  caches(prefix: string): boolean {
    return [...this.cached.values()].some((prefixes) => prefixes.has(prefix));
  }

  private take(target: FakeTarget): void {
    if (!target.alive && this.clock.now - target.diedAt < DEATH_NOTICE_MS) return;
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
      this.onReport(target.vm);
    });
  }
}
