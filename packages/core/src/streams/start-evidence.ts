/**
 * What proves that a known start of a target answers on a connection. Whoever answers there has run since
 * the connection was opened, so that it is the known start if that one ran then or later.
 */
export class StartEvidence {
  private lastRanAt = -Infinity;

  /** The start is known to have run at this time or later, monotonic ms. */
  get ranAt(): number {
    return this.lastRanAt;
  }

  /**
   * Notes that the start ran at a time or later.
   *
   * @param at monotonic ms; for an answer, the time before the request was sent
   * @example evidence.onRan(askedAt)
   */
  onRan(at: number): void {
    this.lastRanAt = Math.max(this.lastRanAt, at);
  }

  /**
   * Whether the start answers on a connection, to requests that were sent since it has been known.
   *
   * @param openedAt when the connection was established, monotonic ms
   */
  proves(openedAt: number): boolean {
    return openedAt <= this.lastRanAt;
  }
}
