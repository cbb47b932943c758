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
}

/** What was said longer ago is forgotten; a limited target is asked again at its limited rate before. */
const RETENTION_MS = 60_000;
const MAX_TARGETS = 4096;

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
   * @returns whether the limit of the target is another one now
   * @example limits.onSaid(target, 1.5, timers.now())
   */
  onSaid(
    target: TargetIncarnation,
    requestsPerS: number | undefined,
    now: number,
    ageMs = 0,
  ): boolean {
    const key = incarnationKey(target);
    const before = this.known.get(key);
    const toldAt = now - ageMs;
    if (ageMs >= RETENTION_MS || (before && toldAt < before.toldAt)) return false;
    const changed = before?.requestsPerS !== requestsPerS;
    // Targets that were never limited are not kept.
    if (!changed && !before) return false;
    if (changed) this.known.delete(key);
    this.known.set(key, {
      target: { id: target.id, address: target.address, bornAt: target.bornAt },
      requestsPerS,
      toldAt,
      changedAt: changed ? now : (before?.changedAt ?? now),
    });
    if (this.known.size > MAX_TARGETS) this.dropOldest();
    return changed;
  }

  /** The limit of a target, requests per second; undefined if it is not limited. */
  limitOf(target: TargetIncarnation): number | undefined {
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
