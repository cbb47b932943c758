/** Byte budget of a link between two regions, for requests forwarded to a remote region. */

const BYTES_PER_MBIT = 125_000;
const MS_PER_S = 1000;
/** Bucket capacity, in seconds of the allowed rate. */
const BURST_S = 1;
const PERCENT = 100;

/**
 * Token bucket filled with a share of the link's rate. Monotonic ms.
 *
 * @example new LinkBudget(100, 50, 0).available(0) // 6250000
 */
export class LinkBudget {
  private readonly bytesPerMs: number;

  private readonly capacity: number;

  private bytes: number;

  /**
   * @param mbitPerS rate of the link
   * @param sharePercent share of the rate for forwarded requests, divided by the number of processes
   *   that share the link
   */
  constructor(
    mbitPerS: number,
    sharePercent: number,
    private refilledAt: number,
  ) {
    const bytesPerS = (mbitPerS * BYTES_PER_MBIT * sharePercent) / PERCENT;
    this.bytesPerMs = bytesPerS / MS_PER_S;
    this.capacity = bytesPerS * BURST_S;
    this.bytes = this.capacity;
  }

  /** Bytes that may be sent now; 0 while the budget is overdrawn. */
  available(now: number): number {
    this.refill(now);
    return Math.max(0, this.bytes);
  }

  /** Charges bytes that were sent; responses may overdraw the budget until it is refilled. */
  spend(bytes: number, now: number): void {
    this.refill(now);
    this.bytes -= bytes;
  }

  private refill(now: number): void {
    const elapsed = Math.max(0, now - this.refilledAt);
    this.bytes = Math.min(this.capacity, this.bytes + elapsed * this.bytesPerMs);
    this.refilledAt = Math.max(this.refilledAt, now);
  }
}
