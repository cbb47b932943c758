/**
 * Divides a rate of requests that a target allows to all gateways of its region together: that of a
 * cold target, which can serve only a few requests, or one that a target in need has named. Each
 * gateway has a fixed share of it, so that the rate holds without coordination and also during
 * partitions. All gateways have to divide by the same roster.
 */
import { rendezvousOrder } from '../rendezvous.js';

/** Part of the indivisible rest of a rate that is assigned to single gateways, if not given. */
const ASSIGNED_SHARE = 0.7;
/** Number of targets above which those without recent requests are forgotten. */
const MAX_IDLE_TARGETS = 1024;

/** A rate and the gateways that share it. */
export interface SharedRate {
  /** Requests that the target allows within the window, from all gateways together. */
  readonly requests: number;
  /** Names of all gateways that can reach the target, this one included. */
  readonly gateways: readonly string[];
  /** Reserve for gateways that have started but are not known here yet. */
  readonly spareGateways: number;
  /** Whether the rest that remains after an equal division is assigned too. */
  readonly dividesRest?: boolean;
  /** Part of that rest that is assigned; the others are a reserve for gateways with older rosters. */
  readonly assignedShare?: number;
}

/**
 * Requests within the window that one gateway may send. If there is less than one for each gateway,
 * the first ones in the target's rendezvous order get one each.
 *
 * @example shareOf('t1', 'vm-2', { requests: 7, gateways: ['vm-1', 'vm-2'], spareGateways: 1 }) // 2
 */
export function shareOf(target: string, self: string, rate: SharedRate): number {
  const { requests, gateways, spareGateways, dividesRest = false } = rate;
  const { assignedShare = ASSIGNED_SHARE } = rate;
  const sharers = gateways.length + spareGateways;
  const requestsEach = Math.floor(requests / sharers);
  if (requestsEach >= 1 && !dividesRest) return requestsEach;
  const rest = Math.floor((requests - requestsEach * sharers) * assignedShare);
  const getsOneMore = rendezvousOrder(target, gateways).slice(0, rest).includes(self);
  return requestsEach + (getsOneMore ? 1 : 0);
}

export interface SharedRateLimiterOptions {
  /** Length of the sliding window, ms; longer than the one in which requests are counted at the target. */
  readonly windowMs: number;
  /** Start of the process, monotonic ms; an earlier process may have just sent requests. */
  readonly startedAt: number;
  /** Spreads the requests over the window instead of sending them in one burst. */
  readonly paced?: boolean;
}

/** Counts the requests that this gateway sent to targets with a shared rate within the window. */
export class SharedRateLimiter {
  private readonly sentAt = new Map<string, readonly number[]>();

  /** @example new SharedRateLimiter({ windowMs: 1300, startedAt: timers.now() }) */
  constructor(private readonly options: SharedRateLimiterOptions) {}

  /** Whether one more request may be sent now. `now` is monotonic ms. */
  maySend(target: string, share: number, now: number): boolean {
    return this.opensInMs(target, share, now) <= 0;
  }

  /** Time until one more request may be sent, ms; Infinity without a share. */
  opensInMs(target: string, share: number, now: number): number {
    const { windowMs, startedAt, paced = false } = this.options;
    if (share < 1) return Infinity;
    const recent = this.recent(target, now);
    const last = recent.at(-1);
    const pacedAt = paced && last !== undefined ? last + windowMs / (2 * share) : -Infinity;
    // The request with this index has to leave the window before the next one may be sent.
    const blocking = recent.length < share ? undefined : recent[recent.length - share];
    const freeAt = blocking === undefined ? -Infinity : blocking + windowMs;
    return Math.max(startedAt + windowMs, pacedAt, freeAt) - now;
  }

  onSend(target: string, now: number): void {
    this.sentAt.set(target, [...this.recent(target, now), now]);
    if (this.sentAt.size > MAX_IDLE_TARGETS) this.forgetIdle(now);
  }

  private recent(target: string, now: number): readonly number[] {
    const { windowMs } = this.options;
    return (this.sentAt.get(target) ?? []).filter((at) => now - at < windowMs);
  }

  private forgetIdle(now: number): void {
    [...this.sentAt.keys()]
      .filter((target) => this.recent(target, now).length === 0)
      .forEach((target) => this.sentAt.delete(target));
  }
}
