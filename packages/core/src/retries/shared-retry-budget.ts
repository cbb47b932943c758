/**
 * Load pattern: many gateways retry at once after a fault. The budget of a service is a share of
 * its requests plus a fixed slack over a sliding window. Each gateway uses the share of its own
 * requests and a static part of the slack, so the sum holds without agreement.
 */
import { SlidingWindowCounter } from './sliding-count.js';

export interface SharedBudgetLimits {
  readonly windowMs: number;
  /** Retries per request. */
  readonly ratio: number;
  /** Retries in a window beyond that, over all gateways. */
  readonly slack: number;
}

/** Part of the ratio that is used; the rest covers requests that are counted late. */
const USED_PART = 0.8;

export class SharedRetryBudget {
  private readonly requests: SlidingWindowCounter;

  private readonly retries: SlidingWindowCounter;

  private gateways = 1;

  constructor(private readonly limits: SharedBudgetLimits) {
    this.requests = new SlidingWindowCounter(limits.windowMs);
    this.retries = new SlidingWindowCounter(limits.windowMs);
  }

  /** The largest number of gateways seen, so that a partition doesn't raise the shares. */
  setGateways(count: number): void {
    this.gateways = Math.max(this.gateways, count);
  }

  /** Counts a request of a client. `now` is monotonic ms. */
  onRequest(now: number): void {
    this.requests.add(now);
  }

  /** Whether a retry would be allowed now. */
  allows(now: number): boolean {
    const { ratio, slack } = this.limits;
    const allowed =
      this.requests.count(now) * ratio * USED_PART + (slack * USED_PART) / this.gateways;
    return this.retries.count(now) + 1 <= allowed;
  }

  /** Takes one retry; false when the budget is spent. */
  tryTake(now: number): boolean {
    if (!this.allows(now)) return false;
    this.retries.add(now);
    return true;
  }
}
