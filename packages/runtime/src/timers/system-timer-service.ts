/** Timer service on the process's monotonic clock. */
import type { Pause, TimerService, Unsubscribe } from './timer-service.js';
import { TimerTable } from './timer-table.js';

/** Least time between two ticks; timers that are due within it run together. */
const TICK_MS = 10;
/**
 * Longest time between two ticks, which bounds how late a pause is seen. A tick each 10 ms cost an
 * idle daemon a large part of its CPU.
 */
const MAX_TICK_MS = 100;
const PAUSE_THRESHOLD_MS = 1500;

/** Timer service on the process's monotonic clock. */
export class SystemTimerService implements TimerService {
  private readonly table = new TimerTable();

  private readonly anchorWallMs = Date.now() - performance.now();

  /** Time at which the next tick is due. */
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

  /** Checks for a pause without waiting for the next tick, for example before a dispatch. */
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
    const delayMs = Math.min(Math.max(dueAt - now, TICK_MS), MAX_TICK_MS);
    this.tickDueAt = now + delayMs;
    this.handle = setTimeout(() => this.tick(), delayMs);
  }
}
