/** Timer service based on the monotonic clock of the process. */
import type { Pause, TimerService, Unsubscribe } from './timer-service.js';
import { TimerTable } from './timer-table.js';

/** Shortest time between two ticks; timers that come due within it run together. */
const MIN_TICK_MS = 10;
/**
 * Longest time between two ticks, which limits the delay in detecting a pause. A tick every 10 ms
 * would take a large part of the CPU time of an idle daemon.
 */
const MAX_TICK_MS = 100;
const PAUSE_THRESHOLD_MS = 1500;

/** Runs timers on the monotonic clock and detects pauses of the process between two ticks. */
export class SystemTimerService implements TimerService {
  private readonly table = new TimerTable();

  private readonly anchorWallMs = Date.now() - performance.now();

  /** Monotonic time in ms at which the next tick is due. */
  private tickDueAt = 0;

  private handle: NodeJS.Timeout | undefined;

  private closed = false;

  constructor() {
    this.schedule();
  }

  now(): number {
    return performance.now();
  }

  wall(): number {
    return this.anchorWallMs + performance.now();
  }

  every(intervalMs: number, fn: () => void): Unsubscribe {
    return this.add(this.now() + intervalMs, intervalMs, fn);
  }

  after(delayMs: number, fn: () => void): Unsubscribe {
    return this.add(this.now() + delayMs, undefined, fn);
  }

  onPause(fn: (pause: Pause) => void): Unsubscribe {
    return this.table.addPauseListener(fn);
  }

  /** Checks for a pause at once instead of at the next tick, for example before a dispatch. */
  checkPause(): void {
    const now = performance.now();
    const gapMs = now - this.tickDueAt;
    if (gapMs <= PAUSE_THRESHOLD_MS) return;
    this.tickDueAt = now;
    this.table.announcePause(gapMs);
  }

  close(): void {
    this.closed = true;
    clearTimeout(this.handle);
  }

  private add(dueAt: number, intervalMs: number | undefined, fn: () => void): Unsubscribe {
    const unsubscribe = this.table.add({ dueAt, intervalMs, fn });
    if (dueAt < this.tickDueAt) this.schedule();
    return unsubscribe;
  }

  private tick(): void {
    this.checkPause();
    try {
      this.table.runDue(performance.now());
    } finally {
      this.schedule();
    }
  }

  private schedule(): void {
    if (this.closed) return;
    clearTimeout(this.handle);
    const now = performance.now();
    const dueAt = this.table.nextDue() ?? Infinity;
    const delayMs = Math.min(Math.max(dueAt - now, MIN_TICK_MS), MAX_TICK_MS);
    this.tickDueAt = now + delayMs;
    this.handle = setTimeout(() => this.tick(), delayMs);
  }
}
