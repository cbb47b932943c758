/**
 * Time during which the platform answers. What waits for the platform to tell of something again waits
 * by this clock, as nothing can be told while the platform is away.
 */

/** An answer after a longer gap; it counts a little, so that a wait ends although each answer is slow. */
const SINGLE_ANSWER_MS = 500;

export class ContactClock {
  private elapsedMs = 0;

  /**
   * @param lastContactAt time from which the first gap counts, monotonic ms
   * @param maxGapMs longest gap between two answers of a platform that is there all the while
   */
  constructor(
    private lastContactAt: number,
    private readonly maxGapMs: number,
  ) {}

  /** Time with contact up to the latest answer, ms. */
  get now(): number {
    return this.elapsedMs;
  }

  /** Time of the latest answer, monotonic ms. */
  get contactAt(): number {
    return this.lastContactAt;
  }

  /**
   * Notes an answer of the platform.
   *
   * @param at when it came, monotonic ms
   * @returns whether the platform may have been away before
   * @example if (clock.onContact(timers.now())) listAgain()
   */
  onContact(at: number): boolean {
    const gapMs = at - this.lastContactAt;
    if (gapMs <= 0) return false;
    const wasAway = gapMs > this.maxGapMs;
    this.lastContactAt = at;
    this.elapsedMs += wasAway ? SINGLE_ANSWER_MS : gapMs;
    return wasAway;
  }
}
