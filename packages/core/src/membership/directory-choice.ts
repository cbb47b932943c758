/**
 * Chooses the gateways that the directory lists for a caller. While the gateways of a region are
 * replaced one after the other, there can be some seconds in which none of them accepts requests,
 * so the list falls back to other regions.
 */
import { GatewayPhase, type GatewayRecord } from './gateway-table.js';

/** Properties of a gateway that the choice depends on. */
export type ListedGateway = Pick<GatewayRecord, 'node' | 'region' | 'ip' | 'phase'>;

/** Groups of gateways in the order in which they are chosen. */
export const DirectoryGroup = {
  ReadyInRegion: 'ready-in-region',
  DrainingInRegion: 'draining-in-region',
  ReadyInAllowedRegions: 'ready-in-allowed-regions',
  Ready: 'ready',
  Draining: 'draining',
  All: 'all',
} as const;
export type DirectoryGroup = (typeof DirectoryGroup)[keyof typeof DirectoryGroup];

/** The gateways that the directory lists, and why these. */
export interface DirectoryChoice {
  readonly group: DirectoryGroup;
  readonly gateways: readonly ListedGateway[];
}

/**
 * Returns the first of these groups that is not empty: ready gateways of the caller's region;
 * draining ones of that region, which still accept requests; ready ones of `allowedRegions`, since
 * requests must not pass through other regions; all ready ones; all draining ones; all gateways.
 *
 * @param allowedRegions regions that the host's region-bound routes allow; empty for any region
 * @example chooseGateways(gateways, 'north', ['north', 'west']).gateways
 */
export function chooseGateways(
  gateways: readonly ListedGateway[],
  region: string,
  allowedRegions: readonly string[],
): DirectoryChoice {
  const inPhase = (phase: GatewayPhase): ListedGateway[] =>
    gateways.filter((gateway) => gateway.phase === phase);
  const isLocal = (gateway: ListedGateway): boolean => gateway.region === region;
  const isAllowed = (gateway: ListedGateway): boolean => allowedRegions.includes(gateway.region);
  const ready = inPhase(GatewayPhase.Ready);
  const draining = inPhase(GatewayPhase.Draining);
  const choices: DirectoryChoice[] = [
    { group: DirectoryGroup.ReadyInRegion, gateways: ready.filter(isLocal) },
    { group: DirectoryGroup.DrainingInRegion, gateways: draining.filter(isLocal) },
    { group: DirectoryGroup.ReadyInAllowedRegions, gateways: ready.filter(isAllowed) },
    { group: DirectoryGroup.Ready, gateways: ready },
    { group: DirectoryGroup.Draining, gateways: draining },
  ];
  const chosen = choices.find((choice) => choice.gateways.length > 0);
  return chosen ?? { group: DirectoryGroup.All, gateways };
}
