/**
 * Regions to which callers of a host may be sent when no region is allowed by all of its routes. A
 * caller asks for gateways by host, so that one answer serves routes with different home regions; a
 * route that callers hardly use should not leave them without a gateway.
 */
import type { Route } from '../fleet/fleet-config.js';
import { ANY_REGION, NO_REGION, allowsRegion, type RegionScope } from './region-scope.js';

/** With fewer requests, it is not known which routes callers use. */
export const MIN_REQUESTS = 40;

/**
 * Returns the regions in which all but a small share of the restricted requests may be handled.
 *
 * @param countOf recent requests of callers on a route
 * @param maxShare largest share of the restricted requests that a region may not handle, 0 to 1
 * @example toleratedRegions(routes, (route) => usage.countOf(route), 0.05)
 */
export function toleratedRegions(
  routes: readonly Route[],
  countOf: (route: Route) => number,
  maxShare: number,
): RegionScope {
  const restricted = routes
    .map((route) => ({ scope: route.regions, count: countOf(route) }))
    .filter(({ scope }) => scope.kind === 'only');
  if (restricted.length === 0) return routes.length === 0 ? NO_REGION : ANY_REGION;
  const total = sumOf(restricted);
  if (total < MIN_REQUESTS) return NO_REGION;
  const homes = new Set(
    restricted.flatMap(({ scope }) => (scope.kind === 'only' ? scope.regions : [])),
  );
  const regions = [...homes].filter((region) => {
    const excluded = restricted.filter(({ scope }) => !allowsRegion(scope, region));
    return sumOf(excluded) <= total * maxShare;
  });
  return { kind: 'only', regions };
}

function sumOf(usages: readonly { readonly count: number }[]): number {
  return usages.reduce((sum, { count }) => sum + count, 0);
}
