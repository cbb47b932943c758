/** Which gateways callers may use, as this gateway knows them. */
import {
  DirectoryGroup,
  chooseGateways,
  type DirectoryChoice,
  type GatewayPhase,
  type GatewayTable,
  type HostResidency,
  type ListedGateway,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/runtime';
import type { DirectoryQuery } from '../ports/request-protocol.js';

/** Groups whose gateways accept all requests. */
const FULL_SERVICE: ReadonlySet<DirectoryGroup> = new Set([
  DirectoryGroup.ReadyInRegion,
  DirectoryGroup.DrainingInRegion,
  DirectoryGroup.ReadyElsewhere,
  DirectoryGroup.DrainingElsewhere,
]);

/** Time in which a process that has ended starts again and is known as ready. */
const RESTART_MS = 1000;

export interface GatewayDirectoryDeps {
  readonly node: string;
  readonly region: string;
  readonly ip: string;
  readonly phase: () => GatewayPhase;
  /** When this gateway started to leave, monotonic ms; undefined before. */
  readonly leavingAt: () => number | undefined;
  readonly table: GatewayTable;
  /** Where requests for a host may be handled, by the configuration in force. */
  readonly residencyOf: (host: string) => HostResidency;
  /** Longest time from the stop signal to the end of a process, ms. */
  readonly graceMs: number;
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
    return this.chooseAmong([self, ...this.others()], host, region);
  }

  /**
   * Time until another gateway accepts requests of this region's callers for a host, ms: 0 if one does,
   * else until the first one of the region that is leaving has restarted, at the latest.
   *
   * @example directory.acceptsInMs('api.example') // 0
   */
  acceptsInMs(host: string): number {
    const others = this.others();
    const { region, table, timers, graceMs } = this.deps;
    if (FULL_SERVICE.has(this.chooseAmong(others, host, region).group)) return 0;
    const now = timers.now();
    const leavingAt = others
      .filter((gateway) => gateway.region === region)
      .map(({ node }) => table.leavingAt(node) ?? now);
    const firstLeavingAt = Math.min(...leavingAt, this.deps.leavingAt() ?? now);
    return Math.max(RESTART_MS, firstLeavingAt + graceMs + RESTART_MS - now);
  }

  /** Time since the gateway that has been silent for longest last told its phase, ms. */
  oldestBeliefMs(): number {
    const { table, timers } = this.deps;
    const now = timers.now();
    const ages = table.alive(now).map(({ node }) => table.ageMs(node, now));
    return Math.max(0, ...ages);
  }

  private others(): readonly ListedGateway[] {
    return this.deps.table.alive(this.deps.timers.now());
  }

  private chooseAmong(
    gateways: readonly ListedGateway[],
    host: string,
    region: string,
  ): DirectoryChoice {
    return chooseGateways(gateways, region, this.deps.residencyOf(host).regions);
  }
}
