/**
 * Detects that the response of an attempt has stalled, so that the attempt can move to another
 * target. A broken connection may carry no traffic without ever being reset. Without another target
 * the attempt continues, since a response may still come.
 */
import { mayRepeat, type Candidate, type RequestFacts } from '@marjoramcart/core';
import type { TimerService, Unsubscribe } from '@marjoramcart/runtime';

/** Multiple of the expected time after which a first byte is overdue. */
const OVERDUE_FACTOR = 3;
const OVERDUE_SLACK_MS = 700;
/** Longest pause between bytes of a stream while its target sends nothing on any connection. */
const MAX_PAUSE_MS = 1500;
/** Share of the caller's patience to wait while the target still serves other requests. */
const PATIENCE_SHARE = 0.6;
/** Interval of checks for an alternative after the response has stalled. */
const CHECK_INTERVAL_MS = 100;

export class StallDetector {
  private lastByteAt: number | undefined;

  private readonly startedAt: number;

  private unsubscribe: Unsubscribe = () => undefined;

  constructor(
    private readonly facts: RequestFacts,
    private readonly candidate: Candidate,
    private readonly timers: TimerService,
    /** Whether this process received anything from the target recently. */
    private readonly targetIsAlive: () => boolean = () => false,
  ) {
    this.startedAt = timers.now();
  }

  /**
   * Calls `onStall` once when the response stalls; never for requests that run at most once.
   *
   * @param hasAlternative whether another attempt could start now
   */
  start(hasAlternative: () => boolean, onStall: () => void): void {
    if (!mayRepeat(this.facts)) return;
    const check = (): void => {
      const leftMs = this.stalledAt() - this.timers.now();
      if (leftMs <= 0 && hasAlternative()) onStall();
      else
        this.unsubscribe = this.timers.after(clamp(leftMs, CHECK_INTERVAL_MS, MAX_PAUSE_MS), check);
    };
    check();
  }

  onBytes(): void {
    this.lastByteAt = this.timers.now();
  }

  stop(): void {
    this.unsubscribe();
  }

  /** Time at which the response counts as stalled if no byte is received before, monotonic ms. */
  private stalledAt(): number {
    if (this.lastByteAt === undefined) {
      const overdueMs = this.candidate.expectedFirstByteMs * OVERDUE_FACTOR + OVERDUE_SLACK_MS;
      return this.startedAt + this.stallTimeoutMs(overdueMs);
    }
    return this.lastByteAt + this.stallTimeoutMs(MAX_PAUSE_MS);
  }

  /**
   * Waits longer for a target that serves other requests. Its queue may be longer than expected, or
   * it may have preempted the stream because of low KV memory. The stream then resumes later, whereas
   * another target would have to prefill the prompt again.
   */
  private stallTimeoutMs(usualMs: number): number {
    return this.targetIsAlive()
      ? Math.max(usualMs, this.facts.patienceMs * PATIENCE_SHARE)
      : usualMs;
  }
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(Math.max(value, min), max);
}
