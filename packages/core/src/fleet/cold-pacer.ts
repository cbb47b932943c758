/**
 * Load pattern: targets that return cold, one by one or a whole failure domain at once. A cold
 * target bears a few requests per second from all gateways together. Each gateway keeps a static
 * share of that rate, so the sum holds without agreement and also across partitions.
 */
import { rendezvousOrder } from '../rendezvous.js';

/** Longer than a second, since requests may be delayed on the way by different amounts. */
const WINDOW_MS = 1300;
/** Part of the rate that is given out when not every gateway gets a whole request. */
const SHARED_PART = 0.7;

export interface ColdShare {
  /** Requests that a cold target bears in any second, from all gateways together. */
  readonly requestsPerS: number;
  /** Names of all gateways that can reach the target, this one included. */
  readonly gateways: readonly string[];
  /** Gateways that may join unseen. */
  readonly spareGateways: number;
}

/**
 * Requests that one gateway may send to a cold target in a second. Where the rate is too small for
 * all gateways, the first ones in rendezvous order of the target get one request each.
 *
 * @example coldAllowance('t1', 'vm-2', { requestsPerS: 7, gateways: ['vm-1', 'vm-2'], spare: 1 }) // 2
 */
export function coldAllowance(target: string, self: string, share: ColdShare): number {
  const each = Math.floor(share.requestsPerS / (share.gateways.length + share.spareGateways));
  if (each >= 1) return each;
  const places = Math.floor(share.requestsPerS * SHARED_PART);
  return rendezvousOrder(target, share.gateways).slice(0, places).includes(self) ? 1 : 0;
}

/** Counts what was sent to cold targets in the last second. */
export class ColdRateLimiter {
  private readonly sentAt = new Map<string, number[]>();

  /** Whether one more request may be sent now. `now` is monotonic ms. */
  maySend(target: string, allowance: number, now: number): boolean {
    return this.recent(target, now).length < allowance;
  }

  onSend(target: string, now: number): void {
    this.sentAt.set(target, [...this.recent(target, now), now]);
  }

  private recent(target: string, now: number): number[] {
    return (this.sentAt.get(target) ?? []).filter((at) => now - at < WINDOW_MS);
  }
}
