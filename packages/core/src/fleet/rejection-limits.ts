/**
 * Rejection limits that the targets of services name: how many requests a target may have to reject
 * in a second without falling over. Targets name them for a time only, all those of a service
 * together, so that the word of one counts for the others, which may not have responded yet.
 */
import { LimitNews } from './target-limits.js';

/** What a gateway knows about the rejection limit of a service, as gateways tell each other. */
export interface RejectionLimitRow {
  readonly service: string;
  /** Undefined once the targets have responded without a limit. */
  readonly rejectionsPerS: number | undefined;
  /** Time since the response that said so, ms. */
  readonly ageMs: number;
}

interface KnownLimit {
  readonly rejectionsPerS: number | undefined;
  /** Time of the latest response that said so, monotonic ms. */
  readonly toldAt: number;
  /** When the gateways of the region were last told, monotonic ms. */
  readonly sharedAt: number;
}

/** For this time after a target named a limit, responses of others without one don't end it. */
const QUIET_MS = 1500;
/** Gateways that receive no responses of the service have to hear that its limit still holds. */
const RENEWAL_MS = 700;
/** What was said longer ago is forgotten; the targets say it again if it holds. */
const RETENTION_MS = 30_000;
const MAX_SERVICES = 256;

export class RejectionLimits {
  private readonly known = new Map<string, KnownLimit>();

  /**
   * Notes that a target named a limit. While limits differ, the smallest holds.
   *
   * @param now monotonic ms, as in all methods
   * @example limits.onNamed('chat', 5, timers.now()) // 'changed'
   */
  onNamed(service: string, rejectionsPerS: number, now: number): LimitNews {
    const before = this.known.get(service);
    const limit = Math.min(rejectionsPerS, before?.rejectionsPerS ?? Infinity);
    if (!before && this.known.size >= MAX_SERVICES) return LimitNews.None;
    const changed = before?.rejectionsPerS !== limit;
    const isDue = changed || now - before.sharedAt >= RENEWAL_MS;
    const sharedAt = isDue ? now : before.sharedAt;
    this.known.set(service, { rejectionsPerS: limit, toldAt: now, sharedAt });
    if (changed) return LimitNews.Changed;
    return isDue ? LimitNews.Renewed : LimitNews.None;
  }

  /**
   * Notes a response without a limit.
   *
   * @param sentAt when the request was sent, monotonic ms
   * @returns whether the limit of the service ends by it
   */
  onNotNamed(service: string, sentAt: number, now: number): boolean {
    const before = this.known.get(service);
    if (before?.rejectionsPerS === undefined) return false;
    if (now - before.toldAt < QUIET_MS || sentAt <= before.toldAt) return false;
    this.known.set(service, { rejectionsPerS: undefined, toldAt: now, sharedAt: now });
    return true;
  }

  /** Notes what targets said to another gateway; returns whether the limit is another one now. */
  onTold({ service, rejectionsPerS, ageMs }: RejectionLimitRow, now: number): boolean {
    const before = this.known.get(service);
    const toldAt = now - ageMs;
    if (ageMs >= RETENTION_MS || (before && toldAt < before.toldAt)) return false;
    if (!before && (rejectionsPerS === undefined || this.known.size >= MAX_SERVICES)) return false;
    const limit =
      rejectionsPerS && Math.min(rejectionsPerS, before?.rejectionsPerS ?? rejectionsPerS);
    this.known.set(service, { rejectionsPerS: limit, toldAt, sharedAt: now });
    return before?.rejectionsPerS !== limit;
  }

  /** Rejections per second that each target of a service bears; undefined without a limit. */
  limitOf(service: string): number | undefined {
    return this.known.size === 0 ? undefined : this.known.get(service)?.rejectionsPerS;
  }

  /** What is known, at most `max` services. */
  rows(max: number, now: number): RejectionLimitRow[] {
    return [...this.known].slice(0, max).map(([service, known]) => rowOf(service, known, now));
  }

  /** What is known about one service. */
  row(service: string, now: number): RejectionLimitRow | undefined {
    const known = this.known.get(service);
    return known && rowOf(service, known, now);
  }

  /** Forgets what was said long ago; returns the services whose limits end by it. */
  expire(now: number): string[] {
    const expired = [...this.known].filter(([, { toldAt }]) => now - toldAt >= RETENTION_MS);
    expired.forEach(([service]) => this.known.delete(service));
    return expired
      .filter(([, { rejectionsPerS }]) => rejectionsPerS !== undefined)
      .map(([service]) => service);
  }
}

function rowOf(
  service: string,
  { rejectionsPerS, toldAt }: KnownLimit,
  now: number,
): RejectionLimitRow {
  return { service, rejectionsPerS, ageMs: now - toldAt };
}
