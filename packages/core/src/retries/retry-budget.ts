/** Budget of retries: a share of the requests, so that a failure causes no storm of retries. */

const MIN_RETRIES_PER_S = 1;
const MAX_SAVED_RETRIES = 50;

export class RetryBudget {
  private tokens = MAX_SAVED_RETRIES / 5;

  private refilledAt: number;

  /**
   * @param share retries per request, for example 0.1
   * @param now monotonic ms
   */
  constructor(
    private share: number,
    now: number,
  ) {
    this.refilledAt = now;
  }

  /** Follows the configuration; retries that are saved stay. */
  setShare(share: number): void {
    this.share = share;
  }

  /** Counts a request, which adds its share of a retry. */
  onRequest(): void {
    this.tokens = Math.min(MAX_SAVED_RETRIES, this.tokens + this.share);
  }

  /** Takes one retry from the budget; false when it is spent. */
  tryTake(now: number): boolean {
    const refill = ((now - this.refilledAt) / 1000) * MIN_RETRIES_PER_S;
    this.tokens = Math.min(MAX_SAVED_RETRIES, this.tokens + Math.max(0, refill));
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
