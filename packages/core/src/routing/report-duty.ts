/**
 * Load pattern: many gateways in a region, each of which sends little to any one target, so that
 * their own counts say nothing of a target's load. A few of them ask the targets and tell the rest.
 */
import { RendezvousSelector, rendezvousOrder } from '../rendezvous.js';

/** So few gateways of a region learn each other's counts by gossip as soon as by reports. */
export const SMALL_REGION_MAX_GATEWAYS = 4;
/** Targets that one gateway asks, so that asking and telling stay cheap. */
const TARGETS_PER_GATEWAY = 8;

export class ReportPollerAssignment {
  private readonly choice = new RendezvousSelector();

  /**
   * Targets that a gateway asks for reports; none in a region with few gateways.
   *
   * @param gateways live gateways of the region, this one included
   * @example duty.targetsOf('vm-1', ['vm-1', 'vm-2'], ['i-1', 'i-2', 'i-3'])
   */
  targetsOf(self: string, gateways: readonly string[], targets: readonly string[]): string[] {
    if (gateways.length <= SMALL_REGION_MAX_GATEWAYS) return [];
    const count = Math.ceil(targets.length / TARGETS_PER_GATEWAY);
    const asking = rendezvousOrder('reports', gateways).slice(0, count);
    if (!asking.includes(self)) return [];
    return targets.filter((target) => this.choice.choose(target, asking) === self);
  }
}
