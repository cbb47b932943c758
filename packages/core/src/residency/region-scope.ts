/**
 * Regions in which requests may be handled. "Any region" and "no region" are different scopes, which
 * a list alone can't tell apart: an intersection of lists may be empty.
 */

export type RegionScope =
  { readonly kind: 'any' } | { readonly kind: 'only'; readonly regions: readonly string[] };

export const ANY_REGION: RegionScope = { kind: 'any' };

export const NO_REGION: RegionScope = { kind: 'only', regions: [] };

/** @example allowsRegion({ kind: 'only', regions: ['north'] }, 'west') // false */
export function allowsRegion(scope: RegionScope, region: string): boolean {
  return scope.kind === 'any' || scope.regions.includes(region);
}

/**
 * Regions that all of some scopes allow.
 *
 * @example intersectScopes([north, west]) // { kind: 'only', regions: [] }
 */
export function intersectScopes(scopes: readonly RegionScope[]): RegionScope {
  return scopes.reduce((common, scope) => {
    if (scope.kind === 'any') return common;
    return {
      kind: 'only',
      regions: scope.regions.filter((region) => allowsRegion(common, region)),
    };
  }, ANY_REGION);
}
