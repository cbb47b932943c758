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
/** Part of the caller's patience for a stream that pauses while its target serves others. */
const PATIENCE_PART = 0.6;
const CHECK_MS = 100;

export class StallWatch {
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
    this.unsubscribe = this.timers.every(CHECK_MS, () => {
      if (!this.isStalled() || !hasAlternative()) return;
      this.stop();
      onStall();
    });
  }

  onBytes(): void {
    this.lastByteAt = this.timers.now();
  }

  stop(): void {
    this.unsubscribe();
  }

  private isStalled(): boolean {
    const now = this.timers.now();
    // An engine that is short of memory puts a stream back and goes on with it later.
    const pauseMs = this.targetIsAlive()
      ? Math.max(MAX_PAUSE_MS, this.facts.patienceMs * PATIENCE_PART)
      : MAX_PAUSE_MS;
    if (this.lastByteAt !== undefined) return now - this.lastByteAt > pauseMs;
    const overdueMs = this.candidate.expectedFirstByteMs * OVERDUE_FACTOR + OVERDUE_SLACK_MS;
    return now - this.startedAt > overdueMs;
  }
}
