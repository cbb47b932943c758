/** Clock for the silence of clients: it counts only time in which the process could read what they sent. */

export const ReadingClockLimits = {
  /** Interval at which the time is advanced, ms. */
  IntervalMs: 50,
  /** Longest time that counts between two polls of the connections, ms. */
  MaxStepMs: 100,
  /** The clock stops when it was not read for this time, ms; a longer silence counts as this one. */
  IdleMs: 2000,
} as const;

export class ReadingClock {
  private elapsedMs = 0;

  private polledAt: number;

  private usedMs = 0;

  private interval: NodeJS.Timeout | undefined;

  /** @param monotonicNow monotonic clock, ms */
  constructor(private readonly monotonicNow: () => number = () => performance.now()) {
    this.polledAt = monotonicNow();
  }

  /**
   * Time in ms. It goes on by at most `MaxStepMs` until the connections are polled again, so that bytes
   * which arrive during a long turn of the event loop are read before their client counts as silent.
   *
   * @example const silentMs = clock.now() - progressAt
   */
  now(): number {
    this.start();
    this.usedMs = this.elapsedMs + this.stepMs();
    return this.usedMs;
  }

  /** Called after the connections were polled. */
  onPoll(): void {
    this.elapsedMs += this.stepMs();
    this.polledAt = this.monotonicNow();
    if (this.elapsedMs - this.usedMs >= ReadingClockLimits.IdleMs) this.stop();
  }

  private stepMs(): number {
    const passedMs = Math.max(0, this.monotonicNow() - this.polledAt);
    return Math.min(passedMs, ReadingClockLimits.MaxStepMs);
  }

  private start(): void {
    if (this.interval) return;
    // An immediate runs after the poll that follows the timers.
    const onInterval = (): unknown => setImmediate(() => this.onPoll());
    this.interval = setInterval(onInterval, ReadingClockLimits.IntervalMs).unref();
  }

  private stop(): void {
    clearInterval(this.interval);
    this.interval = undefined;
  }
}

/** Shared by all bodies of the process, as they share its event loop. */
export const readingClock = new ReadingClock();
