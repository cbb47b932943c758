/** Listeners of the fault proxy and the address translation that leads daemons to them. */
import type { LinkOptions } from '../fault-proxy/link.js';
import { portOf, allocateAddress, type Layout } from './layout.js';
import type { PortAllocator } from './ports.js';

/** Name of the platform as a place in the fault proxy. */
export const PLATFORM_ENDPOINT = 'platform';

/** What the daemons of one failure domain dial. */
export interface DomainDialConfig {
  readonly platformAddress: string;
  /** Translation of the addresses in other failure domains and of targets. */
  readonly dialMap: Readonly<Record<string, string>>;
}

export interface ProxyPlan {
  readonly links: readonly LinkOptions[];
  readonly dialConfigs: ReadonlyMap<string, DomainDialConfig>;
}

interface Destination {
  readonly to: string;
  readonly address: string;
}

/**
 * Plans one listener for each failure domain and address outside of it: daemons of other failure
 * domains, the platform and, when `targets` is set, the domain's own targets by VM name.
 */
export async function planProxy(
  layout: Layout,
  ports: PortAllocator,
  targets: boolean,
): Promise<ProxyPlan> {
  const plans = await Promise.all(
    layout.domains.map(async ({ name }) => {
      const dialled = [
        { to: PLATFORM_ENDPOINT, address: layout.platform.address },
        ...daemonsOutside(layout, name),
        ...(targets ? targetsOf(layout, name) : []),
      ];
      const links = await Promise.all(
        dialled.map(async ({ to, address }) => {
          const listenAddress = await allocateAddress(ports);
          return { from: name, to, target: address, listen: portOf(listenAddress), listenAddress };
        }),
      );
      return { name, links };
    }),
  );
  return {
    links: plans.flatMap(({ links }) => links),
    dialConfigs: new Map(
      plans.map(({ name, links }) => {
        const byTarget = Object.fromEntries(
          links.map(({ target, listenAddress }) => [target, listenAddress]),
        );
        const { [layout.platform.address]: platformAddress = '', ...dialMap } = byTarget;
        return [name, { platformAddress, dialMap }];
      }),
    ),
  };
}

function daemonsOutside({ controls, entries }: Layout, domain: string): Destination[] {
  return [...controls, ...entries]
    .filter((daemon) => daemon.domain !== domain)
    .map((daemon) => ({ to: daemon.domain, address: daemon.peers }));
}

function targetsOf({ targets }: Layout, domain: string): Destination[] {
  return targets
    .filter((target) => target.domain === domain)
    .map(({ vm, address }) => ({ to: vm, address }));
}
