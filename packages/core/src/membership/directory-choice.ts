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

/**
 * Returns the first of the groups that is not empty. Gateways of other regions than the caller's
 * belong to one only if the host allows requests there. No gateway is better than one that has to
 * refuse, since callers then keep the response before and ask again.
 *
 * @param region region of the caller
 * @param allowed regions to which all requests for the host may be sent
 * @example chooseGateways(gateways, 'north', { kind: 'only', regions: ['west'] }).gateways
 */
export function chooseGateways(
  gateways: readonly ListedGateway[],
  region: string,
  allowed: RegionScope,
): DirectoryChoice {
  const local = gateways.filter((gateway) => gateway.region === region);
  const remote = gateways.filter(
    (gateway) => gateway.region !== region && allowsRegion(allowed, gateway.region),
  );
  const choices: DirectoryChoice[] = [
    { group: DirectoryGroup.ReadyInRegion, gateways: inPhase(local, GatewayPhase.Ready) },
    { group: DirectoryGroup.DrainingInRegion, gateways: inPhase(local, GatewayPhase.Draining) },
    { group: DirectoryGroup.ReadyElsewhere, gateways: inPhase(remote, GatewayPhase.Ready) },
    { group: DirectoryGroup.DrainingElsewhere, gateways: inPhase(remote, GatewayPhase.Draining) },
    { group: DirectoryGroup.FinishingInRegion, gateways: inPhase(local, GatewayPhase.Finishing) },
    { group: DirectoryGroup.FinishingElsewhere, gateways: inPhase(remote, GatewayPhase.Finishing) },
  ];
  const chosen = choices.find((choice) => choice.gateways.length > 0);
  return chosen ?? { group: DirectoryGroup.None, gateways: [] };
}

function inPhase(gateways: readonly ListedGateway[], phase: GatewayPhase): ListedGateway[] {
  return gateways.filter((gateway) => gateway.phase === phase);
}
