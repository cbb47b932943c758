/** Timer service with simulated time. */
import type { Pause, TimerService, Unsubscribe } from './timer-service.js';
import { TimerTable } from './timer-table.js';

/** Timer service for tests and benchmarks. Its time changes only by `advance` and `pause`. */
export class ManualTimerService implements TimerService {
  private readonly table = new TimerTable();

  private nowMs = 0;

  constructor(private readonly epochMs = 1_800_000_000_000) {}

  now(): number {
    return this.nowMs;
  }

  wall(): number {
    return this.epochMs + this.nowMs;
  }

  every(intervalMs: number, fn: () => void): Unsubscribe {
    return this.table.add({ dueAt: this.nowMs + intervalMs, intervalMs, fn });
  }

  after(delayMs: number, fn: () => void): Unsubscribe {
    return this.table.add({ dueAt: this.nowMs + delayMs, intervalMs: undefined, fn });
  }

  onPause(fn: (pause: Pause) => void): Unsubscribe {
    return this.table.addPauseListener(fn);
  }

  /** Advances the time by `byMs` and runs each timer at its due time. */
  advance(byMs: number): void {
    const endMs = this.nowMs + byMs;
    let dueAt = this.table.nextDue();
    while (dueAt !== undefined && dueAt <= endMs) {
      this.nowMs = Math.max(this.nowMs, dueAt);
      this.table.runDue(this.nowMs);
      dueAt = this.table.nextDue();
    }
    this.nowMs = endMs;
  }

  /** Advances the time in one step, as a suspended process observes it. */
  pause(durationMs: number): void {
    this.nowMs += durationMs;
    this.table.announcePause(durationMs);
    this.table.runDue(this.nowMs);
  }
}
