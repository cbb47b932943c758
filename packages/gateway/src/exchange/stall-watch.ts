/**
 * Gives up an attempt whose answer stalls, when another target can take the request. A connection
 * may be silent for good without a reset. Without another target silence is waited out, since an
 * answer may still come.
 */
import { mayRepeat, type Candidate, type RequestFacts } from '@marjoramcart/core';
import type { TimerService, Unsubscribe } from '@marjoramcart/runtime';

/** Multiple of the expected time after which a first byte is overdue. */
const OVERDUE_FACTOR = 3;
const OVERDUE_SLACK_MS = 700;
/** Longest pause between bytes of a stream while its target sends nothing at all. */
const MAX_PAUSE_MS = 1500;
/** Part of the caller's patience for an answer that stalls while its target serves others. */
const PATIENCE_PART = 0.6;
/** Time between two looks at an answer that has stalled. */
const CHECK_MS = 100;

export class StallDetector {
  private lastByteAt: number | undefined;

  private readonly startedAt: number;

  private unsubscribe: Unsubscribe = () => undefined;

  constructor(
    private readonly facts: RequestFacts,
    private readonly candidate: Candidate,
    private readonly timers: TimerService,
    /** Whether the target sends anything to this process. */
    private readonly targetIsAlive: () => boolean = () => false,
  ) {
    this.startedAt = timers.now();
  }

  /**
   * Calls `onStall` once when the answer stalls; never for requests that run at most once.
   *
   * @param hasAlternative whether another attempt would be made now
   */
  start(hasAlternative: () => boolean, onStall: () => void): void {
    if (!mayRepeat(this.facts)) return;
    const check = (): void => {
      const leftMs = this.stalledAt() - this.timers.now();
      if (leftMs <= 0 && hasAlternative()) onStall();
      else this.unsubscribe = this.timers.after(clamp(leftMs, CHECK_MS, MAX_PAUSE_MS), check);
    };
    check();
  }

  onBytes(): void {
    this.lastByteAt = this.timers.now();
  }

  stop(): void {
    this.unsubscribe();
  }

  /** When the answer counts as stalled if no byte comes until then, monotonic ms. */
  private stalledAt(): number {
    if (this.lastByteAt === undefined) {
      const overdueMs = this.candidate.expectedFirstByteMs * OVERDUE_FACTOR + OVERDUE_SLACK_MS;
      return this.startedAt + this.waitedMs(overdueMs);
    }
    return this.lastByteAt + this.waitedMs(MAX_PAUSE_MS);
  }

  /**
   * A target that serves others has a longer queue than expected, or is short of memory and put the
   * stream back; it goes on later, while another target would read the prompt again.
   */
  private waitedMs(usualMs: number): number {
    return this.targetIsAlive()
      ? Math.max(usualMs, this.facts.patienceMs * PATIENCE_PART)
      : usualMs;
  }
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(Math.max(value, min), max);
}
