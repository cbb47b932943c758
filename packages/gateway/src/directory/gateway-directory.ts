/** Which gateways callers may use, as this gateway knows them. */
import {
  DirectoryGroup,
  chooseGateways,
  intersectScopes,
  toleratedRegions,
  type DirectoryChoice,
  type GatewayPhase,
  type GatewayTable,
  type ListedGateway,
  type RegionScope,
  type RegionUsage,
  type Route,
  type RouteTable,
  type RouteUsage,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/runtime';
import type { DirectoryQuery } from '../ports/request-protocol.js';

/** Groups whose gateways accept requests of any duration. */
const FULL_SERVICE: ReadonlySet<DirectoryGroup> = new Set([
  DirectoryGroup.ReadyInRegion,
  DirectoryGroup.DrainingInRegion,
  DirectoryGroup.ReadyElsewhere,
  DirectoryGroup.DrainingElsewhere,
  DirectoryGroup.ReadyForMost,
  DirectoryGroup.DrainingForMost,
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
  /** Routes of the configuration in force. */
  readonly routes: () => RouteTable;
  /** Requests of this gateway's callers. */
  readonly usage: RouteUsage;
  /** Requests of the callers of other regions. */
  readonly regionUsage: RegionUsage;
  /** Largest share of the requests on restricted routes that may be sent where they can't be handled. */
  readonly maxMisdirectedShare: number;
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
   * Time until another gateway accepts all requests of this region's callers for a host, ms: 0 if one does,
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
    const routes = this.deps.routes();
    return chooseGateways(gateways, region, {
      allowed: routes.residencyOf(host).regions,
      tolerated: () => this.toleratedRegions(routes.routesOf(host), region),
    });
  }

  /**
   * Regions that handle most requests of this gateway's callers and, as these may use other routes, of
   * the callers of the given region.
   */
  private toleratedRegions(routes: readonly Route[], region: string): RegionScope {
    const { usage, regionUsage, maxMisdirectedShare } = this.deps;
    const own = toleratedRegions(routes, (route) => usage.countOf(route), maxMisdirectedShare);
    if (region === this.deps.region) return own;
    const countOf = (route: Route): number => regionUsage.countOf(region, route);
    return intersectScopes([own, toleratedRegions(routes, countOf, maxMisdirectedShare)]);
  }
}
