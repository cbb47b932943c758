/** Rate limits of customers at one entry: its fixed share of requests/s, tokens/s and streams. */
import type { CustomerConfig } from '../config/config-schema.js';

type CustomerLimitsConfig = NonNullable<CustomerConfig['limits']>;

const MS_PER_S = 1000;
/** Bucket capacity, in seconds of the rate. */
const BURST_S = 1;
/** Above this number of customers, those with full buckets are removed. */
const EVICTION_MIN_CUSTOMERS = 10_000;

/** Decision on one request. */
export type LimitDecision =
  | { readonly kind: 'allowed' }
  | {
      readonly kind: 'limited';
      readonly limit: 'requests' | 'tokens' | 'streams';
      /** Earliest time at which the request could be allowed. */
      readonly retryAfterMs: number;
    };

interface CustomerUsage {
  requests: number;
  tokens: number;
  streams: number;
  refilledAt: number;
}

/**
 * Token buckets and a count of open streams for each customer. The share is 1 divided by the live
 * entry processes of the customer's regions. Monotonic ms.
 *
 * @example new CustomerLimits().tryStart('c1', { requests_per_s: 10 }, { share: 0.5, tokens: 100, stream: true }, 0)
 */
export class CustomerLimits {
  private readonly usages = new Map<string, CustomerUsage>();

  /** Charges a request to the customer's limits; a limited request is not charged. */
  tryStart(
    customer: string,
    limits: CustomerLimitsConfig,
    call: { readonly share: number; readonly tokens: number; readonly stream: boolean },
    now: number,
  ): LimitDecision {
    const requestRate = (limits.requests_per_s ?? Infinity) * call.share;
    const tokenRate = (limits.tokens_per_s ?? Infinity) * call.share;
    // At least one stream; otherwise a customer with fewer streams than entries could open none.
    const streams = Math.max(1, Math.floor((limits.streams ?? Infinity) * call.share));
    const usage = this.refill(customer, requestRate, tokenRate, now);
    if (call.stream && usage.streams >= streams) return limited('streams', MS_PER_S);
    if (usage.requests < 1) {
      return limited('requests', ((1 - usage.requests) / requestRate) * MS_PER_S);
    }
    // A request larger than the bucket passes when the bucket is full; the debt is repaid by refills.
    const needed = Math.min(call.tokens, tokenCapacity(tokenRate));
    if (usage.tokens < needed) {
      return limited('tokens', ((needed - usage.tokens) / tokenRate) * MS_PER_S);
    }
    usage.requests -= 1;
    usage.tokens -= call.tokens;
    usage.streams += call.stream ? 1 : 0;
    return { kind: 'allowed' };
  }

  /** Releases an open stream. */
  endStream(customer: string): void {
    const usage = this.usages.get(customer);
    if (usage) usage.streams = Math.max(0, usage.streams - 1);
  }

  /** Charges the difference between the actual and the expected tokens of a request that ended. */
  correctTokens(customer: string, difference: number): void {
    const usage = this.usages.get(customer);
    if (usage) usage.tokens -= difference;
  }

  private refill(
    customer: string,
    requestRate: number,
    tokenRate: number,
    now: number,
  ): CustomerUsage {
    const known = this.usages.get(customer);
    const requestCapacity = Math.max(1, requestRate * BURST_S);
    if (!known) {
      const usage: CustomerUsage = {
        requests: requestCapacity,
        tokens: tokenCapacity(tokenRate),
        streams: 0,
        refilledAt: now,
      };
      this.evictIdleCustomer(now);
      this.usages.set(customer, usage);
      return usage;
    }
    const seconds = Math.max(0, now - known.refilledAt) / MS_PER_S;
    known.requests = refilled(known.requests, seconds, requestRate, requestCapacity);
    known.tokens = refilled(known.tokens, seconds, tokenRate, tokenCapacity(tokenRate));
    known.refilledAt = now;
    return known;
  }

  private evictIdleCustomer(now: number): void {
    if (this.usages.size < EVICTION_MIN_CUSTOMERS) return;
    const oldest = [...this.usages].find(
      ([, usage]) =>
        usage.streams === 0 && usage.tokens >= 0 && now - usage.refilledAt > BURST_S * MS_PER_S,
    );
    if (oldest) this.usages.delete(oldest[0]);
  }
}

function tokenCapacity(tokenRate: number): number {
  return Math.max(1, tokenRate * BURST_S);
}

/** Refills a bucket; with an infinite rate it is always full, even after zero seconds. */
function refilled(level: number, seconds: number, rate: number, capacity: number): number {
  return rate === Infinity ? Infinity : Math.min(capacity, level + seconds * rate);
}

function limited(limit: 'requests' | 'tokens' | 'streams', retryAfterMs: number): LimitDecision {
  return { kind: 'limited', limit, retryAfterMs: Math.ceil(retryAfterMs) };
}
