/** Limits of customers in the configuration, divided over the live entries of allowed regions. */
import { ResultCodes, type CustomerConfig, type ResultCode } from '@marjoramcart/core';

/** Rates may be used up to this long ahead in one burst, seconds. */
const BURST_S = 1;
const MS_PER_S = 1000;

interface Usage {
  requests: number;
  tokens: number;
  streams: number;
  at: number;
}

export class CustomerLimits {
  private readonly usage = new Map<string, Usage>();

  /** Takes a request's share; a code when a limit is reached. `share` is 1 / entries. */
  take(
    customer: CustomerConfig,
    tokens: number,
    stream: boolean,
    share: number,
    now: number,
  ): ResultCode | undefined {
    const { limits } = customer;
    if (!limits) return undefined;
    const requestRate = (limits.requests_per_s ?? Number.POSITIVE_INFINITY) * share;
    const tokenRate = (limits.tokens_per_s ?? Number.POSITIVE_INFINITY) * share;
    const usage = this.refilled(customer.id, requestRate, tokenRate, now);
    const maxStreams = Math.max(1, Math.ceil((limits.streams ?? Number.POSITIVE_INFINITY) * share));
    if (stream && usage.streams >= maxStreams) return ResultCodes.StreamsLimited;
    // A request larger than the burst is let through at a full bucket and paid off afterwards.
    const enoughTokens = usage.tokens >= Math.min(tokens, tokenRate * BURST_S);
    if (usage.requests < 1 || !enoughTokens) return ResultCodes.RateLimited;
    usage.requests -= 1;
    usage.tokens -= tokens;
    if (stream) usage.streams += 1;
    return undefined;
  }

  streamEnded(customer: CustomerConfig): void {
    const usage = this.usage.get(customer.id);
    if (usage) usage.streams = Math.max(0, usage.streams - 1);
  }

  private refilled(id: string, requestRate: number, tokenRate: number, now: number): Usage {
    const maxRequests = Math.max(1, requestRate * BURST_S);
    const maxTokens = tokenRate * BURST_S;
    const known = this.usage.get(id);
    if (!known) {
      const created = { requests: maxRequests, tokens: maxTokens, streams: 0, at: now };
      this.usage.set(id, created);
      return created;
    }
    const seconds = (now - known.at) / MS_PER_S;
    known.at = now;
    known.requests = refill(known.requests, requestRate, seconds, maxRequests);
    known.tokens = refill(known.tokens, tokenRate, seconds, maxTokens);
    return known;
  }
}

function refill(held: number, rate: number, seconds: number, max: number): number {
  if (rate === Number.POSITIVE_INFINITY) return max;
  return Math.min(max, held + rate * seconds);
}
