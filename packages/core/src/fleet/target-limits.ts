/**
 * Rates that targets in need have named in their responses. Each is meant for all gateways of the
 * region together and lasts until a response comes without one, so gateways tell each other both.
 */
import { incarnationKey, type TargetIncarnation } from './leaving-targets.js';

/** What a response of a target says about its rate. */
export type RateLimitSignal =
  | { readonly kind: 'none' }
  /** The target takes this many requests per second from all gateways together. */
  | { readonly kind: 'limited'; readonly requestsPerS: number }
  /** The value is not a rate. */
  | { readonly kind: 'invalid'; readonly text: string };

/** What a gateway knows about the limit of a target, as gateways tell each other. */
export interface LimitRow extends TargetIncarnation {
  /** Undefined once the target has responded without a limit. */
  readonly requestsPerS: number | undefined;
  /** Time since the response that said so, ms. */
  readonly ageMs: number;
}

interface KnownLimit {
  readonly target: TargetIncarnation;
  readonly requestsPerS: number | undefined;
  /** Time of the latest response that said so, monotonic ms. */
  readonly toldAt: number;
  /** When this gateway learned this value, monotonic ms. */
  readonly changedAt: number;
  /** When the gateways of the region were last told, monotonic ms. */
  readonly sharedAt: number;
}

/** Effect of what a target said. */
export const LimitNews = {
  /** The limit is another one now. */
  Changed: 'changed',
  /** The limit is the same, and other gateways should hear that it still holds. */
  Renewed: 'renewed',
  None: 'none',
} as const;
export type LimitNews = (typeof LimitNews)[keyof typeof LimitNews];

/** Window in which the requests to a limited target are counted, s. */
const WINDOW_S = 4;
/** Requests above the named rate that a target bears, as a factor and as a number within the window. */
const OVERAGE_FACTOR = 1.35;
const OVERAGE_REQUESTS = 3;
/** What was said longer ago is forgotten; a limited target is asked again at its limited rate before. */
const RETENTION_MS = 60_000;
/** Gateways that send nothing to a limited target have to hear that its limit still holds. */
const RENEWAL_MS = 20_000;
const MAX_TARGETS = 4096;

/**
 * Requests that all gateways of a region together may send within 4 s to a target that has named a
 * rate.
 *
 * @example requestsWithinLimit(2) // 13
 */
export function requestsWithinLimit(requestsPerS: number): number {
  return Math.floor(requestsPerS * WINDOW_S * OVERAGE_FACTOR) + OVERAGE_REQUESTS;
}

export class TargetLimits {
  /** In the order in which the values were learned. */
  private readonly known = new Map<string, KnownLimit>();

  /** Number of limited targets. */
  get size(): number {
    return [...this.known.values()].filter(({ requestsPerS }) => requestsPerS !== undefined).length;
  }

  /**
   * Notes what a target said about its limit. What was said later replaces what was said before.
   *
   * @param requestsPerS undefined when the response named no limit
   * @param now monotonic ms, as in all methods
   * @param ageMs time since the response
   * @example limits.onSaid(target, 1.5, timers.now())
   */
  onSaid(
    target: TargetIncarnation,
    requestsPerS: number | undefined,
    now: number,
    ageMs = 0,
  ): LimitNews {
    const key = incarnationKey(target);
    const before = this.known.get(key);
    const toldAt = now - ageMs;
    if (ageMs >= RETENTION_MS || (before && toldAt < before.toldAt)) return LimitNews.None;
    const changed = before?.requestsPerS !== requestsPerS;
    // Targets that were never limited are not kept.
    if (!changed && !before) return LimitNews.None;
    const isDue = requestsPerS !== undefined && now - (before?.sharedAt ?? now) >= RENEWAL_MS;
    if (changed) this.known.delete(key);
    this.known.set(key, {
      target: { id: target.id, address: target.address, bornAt: target.bornAt },
      requestsPerS,
      toldAt,
      changedAt: changed ? now : (before?.changedAt ?? now),
      // What another gateway tells was shared by it.
      sharedAt: changed || isDue || ageMs > 0 ? now : (before?.sharedAt ?? now),
    });
    if (this.known.size > MAX_TARGETS) this.dropOldest();
    if (changed) return LimitNews.Changed;
    return isDue ? LimitNews.Renewed : LimitNews.None;
  }

  /** The limit of a target, requests per second; undefined if it is not limited. */
  limitOf(target: TargetIncarnation): number | undefined {
    if (this.known.size === 0) return undefined;
    return this.known.get(incarnationKey(target))?.requestsPerS;
  }

  /** Time since a response confirmed what is known of the limit of a target, ms. */
  ageMs(target: TargetIncarnation, now: number): number | undefined {
    const known = this.known.get(incarnationKey(target));
    return known && now - known.toldAt;
  }

  /**
   * The latest values that were learned, at most `max`.
   *
   * @param maxKnownMs leaves out those that have been known for longer, ms
   */
  rows(max: number, now: number, maxKnownMs = Infinity): LimitRow[] {
    return [...this.known.values()]
      .slice(-max)
      .filter(({ changedAt }) => now - changedAt < maxKnownMs)
      .map((known) => rowOf(known, now));
  }

  /** What is known about the limit of one target. */
  row(target: TargetIncarnation, now: number): LimitRow | undefined {
    const known = this.known.get(incarnationKey(target));
    return known && rowOf(known, now);
  }

  /** Forgets what was said long ago; returns the targets whose limits end by it. */
  expire(now: number): TargetIncarnation[] {
    const expired = [...this.known].filter(([, { toldAt }]) => now - toldAt >= RETENTION_MS);
    expired.forEach(([key]) => this.known.delete(key));
    return expired
      .filter(([, { requestsPerS }]) => requestsPerS !== undefined)
      .map(([, { target }]) => target);
  }

  private dropOldest(): void {
    const [oldest] = this.known.keys();
    if (oldest !== undefined) this.known.delete(oldest);
  }
}

function rowOf({ target, requestsPerS, toldAt }: KnownLimit, now: number): LimitRow {
  return { ...target, requestsPerS, ageMs: now - toldAt };
}
