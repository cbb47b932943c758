/**
 * Load pattern: the gateways of a region are replaced one after the other, so that for some seconds
 * none of them takes requests. Which gateways a caller is told to use.
 */
import { GatewayPhase, type GatewayRecord } from './gateway-table.js';

/** What the choice depends on in a gateway. */
export type ListedGateway = Pick<GatewayRecord, 'node' | 'region' | 'ip' | 'phase'>;

/**
 * Ready gateways of the caller's region; without any, those of the region that drain and still take
 * requests; then ready ones of regions that all bound routes of the host allow, since a request must
 * not pass through another one; then all others.
 *
 * @param allowedRegions regions that the host's routes may run in; empty when all may
 * @example chooseGateways(gateways, 'north', ['north', 'west'])
 */
export function chooseGateways(
  gateways: readonly ListedGateway[],
  region: string,
  allowedRegions: readonly string[],
): readonly ListedGateway[] {
  const inPhase = (phase: GatewayPhase): ListedGateway[] =>
    gateways.filter((gateway) => gateway.phase === phase);
  const isNear = (gateway: ListedGateway): boolean => gateway.region === region;
  const isAllowed = (gateway: ListedGateway): boolean => allowedRegions.includes(gateway.region);
  const ready = inPhase(GatewayPhase.Ready);
  const draining = inPhase(GatewayPhase.Draining);
  const choices = [
    ready.filter(isNear),
    draining.filter(isNear),
    ready.filter(isAllowed),
    ready,
    draining,
    gateways,
  ];
  return choices.find((list) => list.length > 0) ?? [];
}
