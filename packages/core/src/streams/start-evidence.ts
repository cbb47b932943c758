/**
 * What proves that a known start of a target answers on a connection. A single process at a time accepts
 * connections at the address of a target, and the one that answers on a connection has run since that was
 * opened. So a later start can't answer if the known one ran after that, and an earlier one can't either to
 * a request that was sent since the known one has been.
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
