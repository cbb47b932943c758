/** Timers and pause listeners of a timer service. */
import type { Pause, Unsubscribe } from './timer-service.js';

/** A timer. `dueAt` is in monotonic ms; `intervalMs` is undefined for a timer that runs once. */
export interface Timer {
  dueAt: number;
  readonly intervalMs: number | undefined;
  readonly fn: () => void;
}

/** Logic shared by `SystemTimerService` and `ManualTimerService`. */
export class TimerTable {
  private readonly timers = new Set<Timer>();

  private readonly pauseListeners = new Set<(pause: Pause) => void>();

  add(timer: Timer): Unsubscribe {
    this.timers.add(timer);
    return () => this.timers.delete(timer);
  }

  addPauseListener(fn: (pause: Pause) => void): Unsubscribe {
    this.pauseListeners.add(fn);
    return () => this.pauseListeners.delete(fn);
  }

  announcePause(durationMs: number): void {
    [...this.pauseListeners].forEach((fn) => fn({ durationMs }));
  }

  /** Earliest due time in monotonic ms; undefined if there is no timer. */
  nextDue(): number | undefined {
    return [...this.timers].reduce<number | undefined>(
      (earliest, { dueAt }) => (earliest === undefined || dueAt < earliest ? dueAt : earliest),
      undefined,
    );
  }

  /** Runs the timers that are due, in order of their due time. */
  runDue(now: number): void {
    [...this.timers]
      .filter(({ dueAt }) => dueAt <= now)
      .sort((a, b) => a.dueAt - b.dueAt)
      .forEach((timer) => {
        if (!this.timers.has(timer)) return;
        if (timer.intervalMs === undefined) this.timers.delete(timer);
        else Object.assign(timer, { dueAt: now + timer.intervalMs });
        timer.fn();
      });
  }
}
