/** Matches requests to routes by host and longest path prefix. */
import type { RandomSource } from '../random-source.js';
import type { Route } from './fleet-config.js';

/** Where requests for a host may be handled. */
export interface HostResidency {
  /** Routes of the host, and those of them that are restricted to some regions. */
  readonly routes: number;
  readonly restrictedRoutes: number;
  /** Regions that all restricted routes allow; empty if no route is restricted. */
  readonly allowedRegions: readonly string[];
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

  /** @example new RouteTable(routes).residencyOf('api.example').allowedRegions // ['north', 'west'] */
  residencyOf(host: string): HostResidency {
    const routes = [...(this.hosts.get(hostName(host))?.values() ?? [])];
    const restricted = routes.filter(({ allowedRegions }) => allowedRegions.length > 0);
    return {
      routes: routes.length,
      restrictedRoutes: restricted.length,
      allowedRegions: [...(restricted[0]?.allowedRegions ?? [])].filter((region) =>
        restricted.every(({ allowedRegions }) => allowedRegions.includes(region)),
      ),
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
