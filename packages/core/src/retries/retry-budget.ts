/** Retry budget as a share of the requests, which prevents retry storms after a failure. */

const MIN_RETRIES_PER_S = 1;
const MAX_UNUSED_RETRIES = 50;

export class RetryBudget {
  private availableRetries = MAX_UNUSED_RETRIES / 5;

  private refilledAt: number;

  /**
   * @param ratio retries per request, for example 0.1
   * @param now monotonic ms
   */
  constructor(
    private ratio: number,
    now: number,
  ) {
    this.refilledAt = now;
  }

  /** Applies a configuration change; unused retries are kept. */
  setRatio(ratio: number): void {
    this.ratio = ratio;
  }

  /** Adds the share of one request to the budget. */
  onRequest(): void {
    this.availableRetries = Math.min(MAX_UNUSED_RETRIES, this.availableRetries + this.ratio);
  }

  /** Takes one retry from the budget; false when it is spent. */
  tryTake(now: number): boolean {
    const refill = ((now - this.refilledAt) / 1000) * MIN_RETRIES_PER_S;
    this.availableRetries = Math.min(
      MAX_UNUSED_RETRIES,
      this.availableRetries + Math.max(0, refill),
    );
    this.refilledAt = now;
    if (this.availableRetries < 1) return false;
    this.availableRetries -= 1;
    return true;
  }
}
