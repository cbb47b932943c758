/**
 * Load pattern: a platform's service whose reads are counted and priced, while the fleet grows. A few
 * gateways of a region watch it and tell the others. A gateway that hears nothing of them watches
 * itself, one after the other, so that no outage of the watching ones makes all of them read.
 */
import { rendezvousOrder } from '../rendezvous.js';

/** Gateways of a region that watch. */
const WATCHERS_PER_REGION = 2;
/** Without news for this long the next gateway watches; news come each second. */
const UPDATE_TIMEOUT_MS = 1600;
/** Each further gateway waits this much longer. */
const TIMEOUT_STEP_MS = 500;

export class WatcherAssignment {
  /** Last news from gateways that are in contact with the service, monotonic ms. */
  private readonly updateAtByNode = new Map<string, number>();

  private lastUpdateAt: number;

  constructor(
    private readonly self: string,
    now: number,
  ) {
    this.lastUpdateAt = now;
  }

  /** A gateway that is in contact with the service told its news. */
  onUpdate(node: string, now: number): void {
    this.updateAtByNode.set(node, now);
  }

  /**
   * Whether this gateway watches the service.
   *
   * @param gateways live gateways of the region, this one included
   * @example duty.watches(['vm-1', 'vm-2', 'vm-3'], now)
   */
  shouldWatch(gateways: readonly string[], now: number): boolean {
    const order = rendezvousOrder('watch', gateways);
    const rank = order.indexOf(this.self);
    if (rank < WATCHERS_PER_REGION) return true;
    const before = order.slice(0, rank).map((node) => this.updateAtByNode.get(node) ?? -Infinity);
    this.lastUpdateAt = Math.max(this.lastUpdateAt, ...before);
    const patienceMs = UPDATE_TIMEOUT_MS + (rank - WATCHERS_PER_REGION) * TIMEOUT_STEP_MS;
    return now - this.lastUpdateAt > patienceMs;
  }
}
