/** Records bytes between failure domains, to find requests that crossed regions. */
import { existsSync, readFileSync } from 'node:fs';
import type { GatewayWorld } from './world.js';

/** A directed link between two failure domains. */
export interface DomainLink {
  readonly from: string;
  readonly to: string;
}

/** All directed links between failure domains of the fleet. */
export function domainLinks(world: GatewayWorld): DomainLink[] {
  const names = world.fleet.layout.domains.map(({ name }) => name);
  return names.flatMap((from) => names.filter((to) => to !== from).map((to) => ({ from, to })));
}

/** Records the bytes of each link in a separate file. */
export async function recordLinks(world: GatewayWorld): Promise<void> {
  await Promise.all(
    domainLinks(world).map((link) => world.fleet.setFaults(link, { record: fileOf(world, link) })),
  );
}

/** How often the request with each marker was sent between regions. */
export function countCrossRegionRequests(world: GatewayWorld): Map<string, number> {
  const counts = new Map<string, number>();
  domainLinks(world)
    .map((link) => fileOf(world, link))
    // eslint-disable-next-line n/no-sync
    .filter((file) => existsSync(file))
    // eslint-disable-next-line n/no-sync
    .flatMap((file) => [...readFileSync(file, 'latin1').matchAll(/marker:([\w-]+)/g)])
    .forEach(([, marker = '']) => counts.set(marker, (counts.get(marker) ?? 0) + 1));
  return counts;
}

/** How often `text` is in the recorded bytes of a link. */
export function countOnLink(world: GatewayWorld, link: DomainLink, text: string): number {
  const file = fileOf(world, link);
  // eslint-disable-next-line n/no-sync
  return existsSync(file) ? readFileSync(file, 'latin1').split(text).length - 1 : 0;
}

/** Bytes recorded by the step `all bytes that leave the {word} are recorded`. */
export function recordedBytes(world: GatewayWorld): string {
  const file = `${world.fleet.folder}/bytes-${world.marker}`;
  // eslint-disable-next-line n/no-sync
  return existsSync(file) ? readFileSync(file, 'latin1') : '';
}

function fileOf(world: GatewayWorld, { from, to }: DomainLink): string {
  return `${world.fleet.folder}/bytes-${from}-${to}`;
}
