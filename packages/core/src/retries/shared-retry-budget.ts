/**
 * Limits the retries of a service over all gateways to a ratio of its requests plus a fixed slack in
 * any window. Each gateway applies the ratio to the requests it receives and gets an equal part
 * of the slack, so the limit holds without coordination even when all gateways retry at once, and
 * when they restart again and again.
 */
import { SlidingWindowCounter } from './sliding-window-counter.js';

export interface SharedBudgetLimits {
  readonly windowMs: number;
  /** Retries per request. */
  readonly ratio: number;
  /** Additional retries per window, over all gateways. */
  readonly slack: number;
}

/** What a budget decides by, for logs. */
export interface RetryBudgetState {
  /** Requests of callers by which the retries in the window are limited. */
  readonly requests: number;
  /** Retries in the window. */
  readonly retries: number;
  /** Retries that the window allows, with the part of the slack. */
  readonly allowed: number;
  /** Retries of the slack that this gateway may take. */
  readonly slackShare: number;
  /** Gateways that share the slack; undefined while that is not known. */
  readonly gateways: number | undefined;
}

/** Share of the limits that is used; the rest covers requests that are counted late. */
const USED_SHARE = 0.8;
const BUCKETS_PER_WINDOW = 20;
/** Retries of the slack in a window while the number of gateways is unknown, half of them at once. */
const UNKNOWN_SLACK_SHARE = 2;
/** Retries of the slack that a process may take from its start on. */
const SMALLEST_SLACK_SHARE = 1;

export class SharedRetryBudget {
  private readonly requests: SlidingWindowCounter;

  private readonly retries: SlidingWindowCounter;

  private readonly bucketMs: number;

  /** Undefined until the number of gateways is known. */
  private gateways: number | undefined;

  /**
   * @param startedAt start of the process, monotonic ms. Its part of the slack grows until two windows
   *   have passed, from one retry on, since the process before it on this VM may have used its own
   *   shortly before.
   */
  constructor(
    private readonly limits: SharedBudgetLimits,
    private readonly startedAt = -Infinity,
  ) {
    this.bucketMs = limits.windowMs / BUCKETS_PER_WINDOW;
    // The window that began a window ago, and the one before it.
    const kept = 2 * BUCKETS_PER_WINDOW;
    this.requests = new SlidingWindowCounter(this.bucketMs, kept);
    this.retries = new SlidingWindowCounter(this.bucketMs, kept);
  }

  /**
   * Sets the number of gateways that share the slack. Keeps the largest number seen, so that a partition
   * doesn't raise the shares.
   */
  setGateways(count: number): void {
    this.gateways = Math.max(this.gateways ?? 1, count);
  }

  /** Counts a request from a client. `now` is monotonic ms. */
  onRequest(now: number): void {
    this.requests.add(now);
  }

  /** Whether a retry is allowed now; takes none from the budget. */
  allows(now: number): boolean {
    const { retries, allowed } = this.state(now);
    return retries + 1 <= allowed;
  }

  /**
   * What the next decision is based on: the counts of the window that leaves the fewest retries, of
   * all windows that contain `now`. The limit counts the requests of the window or of the one before
   * it, whichever are more, over all gateways. Half of the requests in both is never more than that,
   * however the requests are spread over time, gateways and restarts. In the same way, half of the
   * slack for the time that this process has run in both windows is never more than its part; the
   * retry that each process may take at once is covered by the share of the limits that is kept back.
   *
   * @example budget.state(timers.now()).allowed // 23.4
   */
  state(now: number): RetryBudgetState {
    const requestSums = this.requests.sums(now);
    const retrySums = this.retries.sums(now);
    return Array.from({ length: BUCKETS_PER_WINDOW + 1 }, (_, age): RetryBudgetState => {
      const requests = (requestSums[age + BUCKETS_PER_WINDOW] ?? 0) / 2;
      const windowAgeMs = Math.max(0, (age - 1) * this.bucketMs + (now % this.bucketMs));
      const slackShare = this.slackShare(this.limits.windowMs + windowAgeMs, now);
      return {
        requests,
        retries: retrySums[age + 1] ?? 0,
        allowed: requests * this.limits.ratio * USED_SHARE + slackShare,
        slackShare,
        gateways: this.gateways,
      };
    }).reduce((tightest, window) => (left(window) < left(tightest) ? window : tightest));
  }

  /** Takes one retry; false when the budget is spent. */
  tryTake(now: number): boolean {
    if (!this.allows(now)) return false;
    this.retries.add(now);
    return true;
  }

  /** Retries of the slack for the time that this process has run within the last `spanMs`. */
  private slackShare(spanMs: number, now: number): number {
    const usableSlack = this.limits.slack * USED_SHARE;
    const share =
      this.gateways === undefined
        ? Math.min(UNKNOWN_SLACK_SHARE, usableSlack)
        : usableSlack / this.gateways;
    const earned = (share * Math.min(now - this.startedAt, spanMs)) / (2 * this.limits.windowMs);
    return Math.max(earned, Math.min(SMALLEST_SLACK_SHARE, share));
  }
}

function left({ allowed, retries }: RetryBudgetState): number {
  return allowed - retries;
}
