/** Recorded bytes between failure domains: the evidence of what crossed a region's border. */
import { existsSync, readFileSync } from 'node:fs';
import type { GatewayWorld } from './world.js';

/** Two failure domains; requests go from the first to the second. */
export interface DomainLink {
  readonly from: string;
  readonly to: string;
}

/** All pairs of failure domains of the fleet. */
export function domainLinks(world: GatewayWorld): DomainLink[] {
  const names = world.fleet.layout.domains.map(({ name }) => name);
  return names.flatMap((from) => names.filter((to) => to !== from).map((to) => ({ from, to })));
}

/** Records each pair in a file of its own. */
export async function recordLinks(world: GatewayWorld): Promise<void> {
  await Promise.all(
    domainLinks(world).map((wire) => world.fleet.setFaults(wire, { record: fileOf(world, wire) })),
  );
}

/** How often the request with each marker was sent between regions. */
export function countCrossRegionRequests(world: GatewayWorld): Map<string, number> {
  const counts = new Map<string, number>();
  domainLinks(world)
    .map((wire) => fileOf(world, wire))
    // eslint-disable-next-line n/no-sync
    .filter((file) => existsSync(file))
    // eslint-disable-next-line n/no-sync
    .flatMap((file) => [...readFileSync(file, 'latin1').matchAll(/marker:([\w-]+)/g)])
    .forEach(([, marker = '']) => counts.set(marker, (counts.get(marker) ?? 0) + 1));
  return counts;
}

/** How often `text` is in the recorded bytes of a pair. */
export function countOnLink(world: GatewayWorld, wire: DomainLink, text: string): number {
  const file = fileOf(world, wire);
  // eslint-disable-next-line n/no-sync
  return existsSync(file) ? readFileSync(file, 'latin1').split(text).length - 1 : 0;
}

/** Bytes that the step for a region's border has recorded. */
export function recordedBytes(world: GatewayWorld): string {
  const file = `${world.fleet.folder}/bytes-${world.marker}`;
  // eslint-disable-next-line n/no-sync
  return existsSync(file) ? readFileSync(file, 'latin1') : '';
}

function fileOf(world: GatewayWorld, { from, to }: DomainLink): string {
  return `${world.fleet.folder}/bytes-${from}-${to}`;
}
