/**
 * Chooses the gateways that the directory lists for a caller. Where its requests may be handled is a
 * condition that each listed gateway meets; phase and distance only decide among those that do.
 */
import { allowsRegion, type RegionScope } from '../residency/region-scope.js';
import { GatewayPhase, type GatewayRecord } from './gateway-table.js';

/** Properties of a gateway that the choice depends on. */
export type ListedGateway = Pick<GatewayRecord, 'node' | 'region' | 'ip' | 'phase'>;

/** Groups of gateways in the order in which they are chosen. */
export const DirectoryGroup = {
  ReadyInRegion: 'ready-in-region',
  DrainingInRegion: 'draining-in-region',
  ReadyElsewhere: 'ready-elsewhere',
  DrainingElsewhere: 'draining-elsewhere',
  ReadyForMost: 'ready-for-most',
  DrainingForMost: 'draining-for-most',
  FinishingInRegion: 'finishing-in-region',
  FinishingElsewhere: 'finishing-elsewhere',
  None: 'none',
} as const;
export type DirectoryGroup = (typeof DirectoryGroup)[keyof typeof DirectoryGroup];

/** The gateways that the directory lists, and why these. */
export interface DirectoryChoice {
  readonly group: DirectoryGroup;
  readonly gateways: readonly ListedGateway[];
}

/** Where the requests for a host may be handled. */
export interface DirectoryScopes {
  /** Regions to which all requests may be sent. */
  readonly allowed: RegionScope;
  /** Regions that can handle all but few requests; only read while no allowed region serves all. */
  readonly tolerated: () => RegionScope;
}

/**
 * Returns the first of the groups that is not empty. Gateways of other regions than the caller's
 * belong to one only if the host allows or tolerates requests there. No gateway is better than one
 * that has to refuse, since callers then keep the response before and ask again.
 *
 * @param region region of the caller
 * @example chooseGateways(gateways, 'north', { allowed, tolerated: () => allowed }).gateways
 */
export function chooseGateways(
  gateways: readonly ListedGateway[],
  region: string,
  { allowed, tolerated }: DirectoryScopes,
): DirectoryChoice {
  const local = gateways.filter((gateway) => gateway.region === region);
  const remote = gateways.filter((gateway) => gateway.region !== region);
  const elsewhere = remote.filter((gateway) => allowsRegion(allowed, gateway.region));
  const forMost = (): ListedGateway[] => {
    const scope = tolerated();
    return remote.filter((gateway) => allowsRegion(scope, gateway.region));
  };
  const { Ready, Draining, Finishing } = GatewayPhase;
  const groups: readonly (readonly [DirectoryGroup, () => ListedGateway[]])[] = [
    [DirectoryGroup.ReadyInRegion, () => inPhase(local, Ready)],
    [DirectoryGroup.DrainingInRegion, () => inPhase(local, Draining)],
    [DirectoryGroup.ReadyElsewhere, () => inPhase(elsewhere, Ready)],
    [DirectoryGroup.DrainingElsewhere, () => inPhase(elsewhere, Draining)],
    [DirectoryGroup.ReadyForMost, () => inPhase(forMost(), Ready)],
    [DirectoryGroup.DrainingForMost, () => inPhase(forMost(), Draining)],
    [DirectoryGroup.FinishingInRegion, () => inPhase(local, Finishing)],
    [DirectoryGroup.FinishingElsewhere, () => inPhase(elsewhere, Finishing)],
  ];
  const none: DirectoryChoice = { group: DirectoryGroup.None, gateways: [] };
  return groups.reduce<DirectoryChoice>((chosen, [group, members]) => {
    if (chosen.gateways.length > 0) return chosen;
    const found = members();
    return found.length > 0 ? { group, gateways: found } : none;
  }, none);
}

function inPhase(gateways: readonly ListedGateway[], phase: GatewayPhase): ListedGateway[] {
  return gateways.filter((gateway) => gateway.phase === phase);
}
