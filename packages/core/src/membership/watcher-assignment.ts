/**
 * Decides which gateways of a region watch a platform service and send its updates to the others.
 * Reads of the service are counted and billed, so only a few gateways watch. If their updates stop,
 * further gateways take over one after the other rather than all at once.
 */
import { rendezvousOrder } from '../rendezvous.js';

const WATCHERS_PER_REGION = 2;
/** Time without an update after which the next gateway watches; updates arrive every second. */
const UPDATE_TIMEOUT_MS = 1600;
/** Added to the timeout for each further gateway in the ranking. */
const TIMEOUT_STEP_MS = 500;

export class WatcherAssignment {
  /** Last update of each gateway that reaches the service, monotonic ms. */
  private readonly updateAtByNode = new Map<string, number>();

  private lastUpdateAt: number;

  constructor(
    private readonly self: string,
    now: number,
  ) {
    this.lastUpdateAt = now;
  }

  /** Records an update from a gateway that reaches the service. */
  onUpdate(node: string, now: number): void {
    this.updateAtByNode.set(node, now);
  }

  /**
   * Whether this gateway should watch the service now.
   *
   * @param gateways live gateways of the region, this one included
   * @example assignment.shouldWatch(['vm-1', 'vm-2', 'vm-3'], now)
   */
  shouldWatch(gateways: readonly string[], now: number): boolean {
    const order = rendezvousOrder('watch', gateways);
    const rank = order.indexOf(this.self);
    if (rank < WATCHERS_PER_REGION) return true;
    const higherRankedUpdates = order
      .slice(0, rank)
      .map((node) => this.updateAtByNode.get(node) ?? -Infinity);
    this.lastUpdateAt = Math.max(this.lastUpdateAt, ...higherRankedUpdates);
    const timeoutMs = UPDATE_TIMEOUT_MS + (rank - WATCHERS_PER_REGION) * TIMEOUT_STEP_MS;
    return now - this.lastUpdateAt > timeoutMs;
  }
}
