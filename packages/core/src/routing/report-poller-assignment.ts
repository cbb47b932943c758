/**
 * Assigns targets to the gateways that poll their load reports. In a region with many gateways each
 * one sends few requests to a target, so its own counts say little about the target's load. A few
 * gateways poll the targets and send the reports to the others.
 */
import { RendezvousSelector, rendezvousOrder } from '../rendezvous.js';

/** In a region of up to this many gateways, gossip spreads request counts as fast as load reports. */
export const SMALL_REGION_MAX_GATEWAYS = 4;
/** Targets per polling gateway, which keeps polling and forwarding reports cheap. */
const TARGETS_PER_GATEWAY = 8;

export class ReportPollerAssignment {
  private readonly selector = new RendezvousSelector();

  /**
   * Targets that a gateway polls for load reports; none in a region with few gateways.
   *
   * @param gateways live gateways of the region, this one included
   * @example assignment.targetsOf('vm-1', ['vm-1', 'vm-2'], ['i-1', 'i-2', 'i-3'])
   */
  targetsOf(self: string, gateways: readonly string[], targets: readonly string[]): string[] {
    if (gateways.length <= SMALL_REGION_MAX_GATEWAYS) return [];
    const pollerOf = this.pollers(gateways, targets.length);
    return targets.filter((target) => pollerOf(target) === self);
  }

  /**
   * Returns which gateway polls a target, where gateways poll them.
   *
   * @param count number of targets
   * @example assignment.pollers(['vm-1', 'vm-2'], 3)('i-1') // 'vm-2'
   */
  pollers(gateways: readonly string[], count: number): (target: string) => string | undefined {
    const pollers = rendezvousOrder('reports', gateways).slice(
      0,
      Math.ceil(count / TARGETS_PER_GATEWAY),
    );
    return (target) => this.selector.choose(target, pollers);
  }
}
