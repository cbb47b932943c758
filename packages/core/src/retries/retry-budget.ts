/** Retry budget as a share of the requests, which prevents retry storms after a failure. */

const MIN_RETRIES_PER_S = 1;
const MAX_UNUSED_RETRIES = 50;

export class RetryBudget {
  private tokens = MAX_UNUSED_RETRIES / 5;

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

  /** Applies a configuration change; unused retries are kept. */
  setShare(share: number): void {
    this.share = share;
  }

  /** Adds the share of one request to the budget. */
  onRequest(): void {
    this.tokens = Math.min(MAX_UNUSED_RETRIES, this.tokens + this.share);
  }

  /** Takes one retry from the budget; false when it is spent. */
  tryTake(now: number): boolean {
    const refill = ((now - this.refilledAt) / 1000) * MIN_RETRIES_PER_S;
    this.tokens = Math.min(MAX_UNUSED_RETRIES, this.tokens + Math.max(0, refill));
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
