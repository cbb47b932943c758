/**
 * Limits the rate of requests to cold targets, for example after the restart of a failure domain. A
 * cold target can serve only a few requests per second from all gateways together. Each gateway has a
 * fixed share of that rate, so the limit holds without coordination and also during partitions.
 */
import { rendezvousOrder } from '../rendezvous.js';

/** Longer than one second, since network delays can bunch requests together. */
const RATE_WINDOW_MS = 1300;
/** Share of the rate that is assigned when there is less than one request for each gateway. */
const ASSIGNED_SHARE = 0.7;

/** Rate limit of a cold target and the gateways that share it. */
export interface ColdRateLimit {
  /** Requests that a cold target can serve per second, from all gateways together. */
  readonly requestsPerS: number;
  /** Names of all gateways that can reach the target, this one included. */
  readonly gateways: readonly string[];
  /** Reserve for gateways that have started but are not known here yet. */
  readonly spareGateways: number;
}

/**
 * Requests per second that one gateway may send to a cold target. If the rate is too low for all
 * gateways, the first ones in the target's rendezvous order get one request each.
 *
 * @example coldAllowance('t1', 'vm-2', { requestsPerS: 7, gateways: ['vm-1', 'vm-2'], spareGateways: 1 }) // 2
 */
export function coldAllowance(target: string, self: string, limit: ColdRateLimit): number {
  const requestsEach = Math.floor(
    limit.requestsPerS / (limit.gateways.length + limit.spareGateways),
  );
  if (requestsEach >= 1) return requestsEach;
  const allowedGateways = Math.floor(limit.requestsPerS * ASSIGNED_SHARE);
  return rendezvousOrder(target, limit.gateways).slice(0, allowedGateways).includes(self) ? 1 : 0;
}

/** Counts the requests that were sent to cold targets within the window. */
export class ColdRateLimiter {
  private readonly sentAt = new Map<string, number[]>();

  /** @param startedAt start of the process, monotonic ms; an earlier process may have just sent requests */
  constructor(private readonly startedAt: number) {}

  /** Whether one more request may be sent now. `now` is monotonic ms. */
  maySend(target: string, allowance: number, now: number): boolean {
    if (now - this.startedAt < RATE_WINDOW_MS) return false;
    return this.recent(target, now).length < allowance;
  }

  onSend(target: string, now: number): void {
    this.sentAt.set(target, [...this.recent(target, now), now]);
  }

  private recent(target: string, now: number): number[] {
    return (this.sentAt.get(target) ?? []).filter((at) => now - at < RATE_WINDOW_MS);
  }
}
