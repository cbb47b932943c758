/** Timer service on the process's monotonic clock. */
import type { Pause, TimerService, Unsubscribe } from './timer-service.js';
import { TimerTable } from './timer-table.js';

const TICK_MS = 10;
const PAUSE_THRESHOLD_MS = 1500;

/** Timer service on the process's monotonic clock. */
export class SystemTimerService implements TimerService {
  private readonly table = new TimerTable();

  private readonly anchorWallMs = Date.now() - performance.now();

  private lastTickAt = performance.now();

  private readonly handle: NodeJS.Timeout;

  constructor() {
    this.handle = setInterval(() => this.tick(), TICK_MS);
  }

  now(): number {
    return performance.now();
  }

  wall(): number {
    return this.anchorWallMs + performance.now();
  }

  every(intervalMs: number, fn: () => void): Unsubscribe {
    return this.table.add({ dueAt: this.now() + intervalMs, intervalMs, fn });
  }

  after(delayMs: number, fn: () => void): Unsubscribe {
    return this.table.add({ dueAt: this.now() + delayMs, intervalMs: undefined, fn });
  }

  onPause(fn: (pause: Pause) => void): Unsubscribe {
    return this.table.addPauseListener(fn);
  }

  /** Checks for a pause without waiting for the next tick, for example before a dispatch. */
  checkPause(): void {
    const now = performance.now();
    const gapMs = now - this.lastTickAt - TICK_MS;
    this.lastTickAt = now;
    if (gapMs > PAUSE_THRESHOLD_MS) this.table.announcePause(gapMs);
  }

  close(): void {
    clearInterval(this.handle);
  }

  private tick(): void {
    this.checkPause();
    this.table.runDue(performance.now());
  }
}
