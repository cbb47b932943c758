/** Routes by host and longest prefix of the path. */
import type { RandomSource } from '../random-source.js';
import type { Route } from './fleet-config.js';

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
   * The route with the longest prefix of the path. The cost grows with the depth of the path, not
   * with the number of routes.
   *
   * @param host value of the `Host` header
   * @param path path of the request, with or without a query
   * @example new RouteTable(routes).match('api.example', '/answers/42?lang=et')
   */
  match(host: string, path: string): Route | undefined {
    const prefixes = this.hosts.get(hostName(host));
    if (!prefixes) return undefined;
    const [plain = ''] = path.split('?', 1);
    for (let end = plain.lastIndexOf('/'); end >= 0; end = plain.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(plain.slice(0, end + 1));
      if (route) return route;
      if (end === 0) return undefined;
    }
    return undefined;
  }

  /** Regions that all bound routes of a host allow; empty when no route is bound. */
  allowedRegions(host: string): string[] {
    const bound = [...(this.hosts.get(hostName(host))?.values() ?? [])].filter(
      ({ allowedRegions }) => allowedRegions.length > 0,
    );
    return [...(bound[0]?.allowedRegions ?? [])].filter((region) =>
      bound.every(({ allowedRegions }) => allowedRegions.includes(region)),
    );
  }
}

/**
 * Draws a service of a route by the weights of its shares.
 *
 * @example drawService(route, seededRandom(1)) // 'answers'
 */
export function pickWeightedService(route: Route, random: RandomSource): string | undefined {
  const [only] = route.services;
  if (route.services.length <= 1) return only?.service;
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.next() * total;
  const drawn = route.services.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (drawn ?? only)?.service;
}

function hostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}
