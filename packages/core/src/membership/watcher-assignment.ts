/**
 * Decides which gateways of a region watch a platform service and send its updates to the others.
 * Reads of the service are counted and billed, so only a few gateways watch. If their updates stop,
 * further gateways take over one after the other rather than all at once.
 */
import { rendezvousOrder } from '../rendezvous.js';

const WATCHERS_PER_REGION = 2;
/**
 * Age of the newest information from higher-ranked gateways at which the next gateway watches. A watch
 * without changes ends after 1.5 s, and its gateway then sends an update.
 */
const INFORMATION_TIMEOUT_MS = 2000;
/** Added to the timeout for each further gateway in the ranking. */
const TIMEOUT_STEP_MS = 300;

export class WatcherAssignment {
  /** When each watching gateway last had contact with the service, monotonic ms. */
  private readonly contactAtByNode = new Map<string, number>();

  private lastContactAt: number;

  constructor(
    private readonly self: string,
    now: number,
  ) {
    this.lastContactAt = now;
  }

  /**
   * Records an update from a watching gateway.
   *
   * @param ageMs time since that gateway's last contact with the service
   */
  onUpdate(node: string, ageMs: number, now: number): void {
    const before = this.contactAtByNode.get(node) ?? -Infinity;
    this.contactAtByNode.set(node, Math.max(before, now - ageMs));
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
    const higherRankedContacts = order
      .slice(0, rank)
      .map((node) => this.contactAtByNode.get(node) ?? -Infinity);
    this.lastContactAt = Math.max(this.lastContactAt, ...higherRankedContacts);
    const timeoutMs = INFORMATION_TIMEOUT_MS + (rank - WATCHERS_PER_REGION) * TIMEOUT_STEP_MS;
    return now - this.lastContactAt > timeoutMs;
  }
}
