/** Matches requests to routes by host and longest path prefix. */
import type { RandomSource } from '../random-source.js';
import { NO_REGION, intersectScopes, type RegionScope } from '../residency/region-scope.js';
import type { Route } from './fleet-config.js';

/** Where requests for a host may be handled. */
export interface HostResidency {
  /** Routes of the host that are restricted to some regions. */
  readonly restrictedRoutes: number;
  /** Regions that all routes of the host allow; none for a host without routes. */
  readonly regions: RegionScope;
}

export class RouteTable {
  private readonly hosts = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[]) {
    routes.forEach((route) => {
      const prefixes = this.hosts.get(route.host) ?? new Map<string, Route>();
      prefixes.set(route.prefix, route);
      this.hosts.set(route.host, prefixes);
    });
  }

  /**
   * Returns the route with the longest matching path prefix. The cost depends on the depth of the
   * path, not on the number of routes.
   *
   * @param host value of the `Host` header
   * @param path path of the request, with or without a query
   * @example new RouteTable(routes).match('api.example', '/answers/42?lang=et')
   */
  match(host: string, path: string): Route | undefined {
    const prefixes = this.hosts.get(hostName(host));
    if (!prefixes) return undefined;
    const [pathname = ''] = path.split('?', 1);
    for (let end = pathname.lastIndexOf('/'); end >= 0; end = pathname.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(pathname.slice(0, end + 1));
      if (route) return route;
      if (end === 0) return undefined;
    }
    return undefined;
  }

  /** @example new RouteTable(routes).routesOf('api.example').length // 3 */
  routesOf(host: string): readonly Route[] {
    return [...(this.hosts.get(hostName(host))?.values() ?? [])];
  }

  /**
   * Regions to which all requests for a host may be sent. Routes of a host that the configuration in
   * force lacks may be restricted in the next one.
   *
   * @example new RouteTable(routes).residencyOf('api.example').regions // { kind: 'any' }
   */
  residencyOf(host: string): HostResidency {
    const scopes = this.routesOf(host).map(({ regions }) => regions);
    return {
      restrictedRoutes: scopes.filter(({ kind }) => kind === 'only').length,
      regions: scopes.length === 0 ? NO_REGION : intersectScopes(scopes),
    };
  }
}

/**
 * Picks a service of a route at random, with probabilities proportional to the weights.
 *
 * @example pickWeightedService(route, seededRandom(1)) // 'answers'
 */
export function pickWeightedService(route: Route, random: RandomSource): string | undefined {
  const [only] = route.services;
  if (route.services.length <= 1) return only?.service;
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.next() * total;
  const picked = route.services.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (picked ?? only)?.service;
}

function hostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}
