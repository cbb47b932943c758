/**
 * Load pattern: a platform's service whose reads are counted and priced, while the fleet grows. A few
 * gateways of a region watch it and tell the others. A gateway that hears nothing of them watches
 * itself, one after the other, so that no outage of the watching ones makes all of them read.
 */
import { rendezvousOrder } from '../rendezvous.js';

/** Gateways of a region that watch. */
const WATCHING_GATEWAYS = 2;
/** Without news for this long the next gateway watches; news come each second. */
const NEWS_LATE_MS = 1600;
/** Each further gateway waits this much longer. */
const NEXT_AFTER_MS = 500;

export class WatchDuty {
  /** Last news from gateways that are in contact with the service, monotonic ms. */
  private readonly heardAt = new Map<string, number>();

  private newsAt: number;

  constructor(
    private readonly self: string,
    now: number,
  ) {
    this.newsAt = now;
  }

  /** A gateway that is in contact with the service told its news. */
  onNews(node: string, now: number): void {
    this.heardAt.set(node, now);
  }

  /**
   * Whether this gateway watches the service.
   *
   * @param gateways live gateways of the region, this one included
   * @example duty.watches(['vm-1', 'vm-2', 'vm-3'], now)
   */
  watches(gateways: readonly string[], now: number): boolean {
    const order = rendezvousOrder('watch', gateways);
    const rank = order.indexOf(this.self);
    if (rank < WATCHING_GATEWAYS) return true;
    const before = order.slice(0, rank).map((node) => this.heardAt.get(node) ?? -Infinity);
    this.newsAt = Math.max(this.newsAt, ...before);
    const patienceMs = NEWS_LATE_MS + (rank - WATCHING_GATEWAYS) * NEXT_AFTER_MS;
    return now - this.newsAt > patienceMs;
  }
}
