/** Measures the pace of an engine's streams from two successive lists of its runs. */

/** One run of an engine, as its report lists it. */
export interface RunEvents {
  readonly id: string;
  /** Number of events that it has generated. */
  readonly events: number;
}

interface ListedRuns {
  readonly at: number;
  readonly events: ReadonlyMap<string, number>;
}

/** Runs that generate nothing between two lists count with this time between events at most. */
const MAX_PACE_MS = 3000;

export class RunProgress {
  private before: ListedRuns | undefined;

  /**
   * Compares the runs with those of the previous list.
   *
   * @param now monotonic ms
   * @returns mean time between two events of a run, ms; undefined when no run that generates is in both
   * @example progress.onRuns([{ id: 'r1', events: 12 }], timers.now()) // 85
   */
  onRuns(runs: readonly RunEvents[], now: number): number | undefined {
    const { before } = this;
    this.before = { at: now, events: new Map(runs.map(({ id, events }) => [id, events])) };
    if (!before || now <= before.at) return undefined;
    const generated = runs
      .map(({ id, events }) => ({ events, earlier: before.events.get(id) ?? 0 }))
      .filter(({ events, earlier }) => earlier > 0 && events >= earlier)
      .map(({ events, earlier }) => events - earlier);
    if (generated.length === 0) return undefined;
    const total = generated.reduce((sum, events) => sum + events, 0);
    const runMs = (now - before.at) * generated.length;
    return Math.min(MAX_PACE_MS, runMs / Math.max(1, total));
  }
}
