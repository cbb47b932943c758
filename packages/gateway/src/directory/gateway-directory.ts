/** Which gateways callers may use, as this gateway knows them. */
import {
  chooseGateways,
  type DirectoryChoice,
  type GatewayPhase,
  type GatewayTable,
  type HostResidency,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/runtime';
import type { DirectoryQuery } from '../ports/request-protocol.js';

export interface GatewayDirectoryDeps {
  readonly node: string;
  readonly region: string;
  readonly ip: string;
  readonly phase: () => GatewayPhase;
  readonly table: GatewayTable;
  /** Where requests for a host may be handled, by the configuration in force. */
  readonly residencyOf: (host: string) => HostResidency;
  readonly timers: TimerService;
}

export class GatewayDirectory {
  constructor(private readonly deps: GatewayDirectoryDeps) {}

  /**
   * Chooses the gateways to list in a response.
   *
   * @example directory.choose({ host: 'api.example', region: 'north' }).gateways
   */
  choose({ host, region }: Pick<DirectoryQuery, 'host' | 'region'>): DirectoryChoice {
    const { node, ip, phase } = this.deps;
    const self = { node, region: this.deps.region, ip, phase: phase() };
    const others = this.deps.table.alive(this.deps.timers.now());
    return chooseGateways([self, ...others], region, this.deps.residencyOf(host).regions);
  }

  /** Time since the gateway that has been silent for longest last told its phase, ms. */
  oldestBeliefMs(): number {
    const { table, timers } = this.deps;
    const now = timers.now();
    const ages = table.alive(now).map(({ node }) => table.ageMs(node, now));
    return Math.max(0, ...ages);
  }
}
