/** Subscriptions of a timer service. */
import type { Pause, Unsubscribe } from './timer-service.js';

/** A subscription with the time it is due. */
export interface Timer {
  dueAt: number;
  readonly intervalMs: number | undefined;
  readonly fn: () => void;
}

/** Logic shared by the real and the manual timer service. */
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

  nextDue(): number | undefined {
    return [...this.timers].reduce<number | undefined>(
      (first, { dueAt }) => (first === undefined || dueAt < first ? dueAt : first),
      undefined,
    );
  }

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
