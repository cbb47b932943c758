/** Plans the listeners of the fault proxy and the dial maps that route daemons through them. */
import type { LinkOptions } from '../fault-proxy/link.js';
import { portOf, allocateAddress, type Layout } from './layout.js';
import type { PortAllocator } from './ports.js';

/** Name of the platform as a link endpoint in the fault proxy. */
export const PLATFORM_ENDPOINT = 'platform';

/** Addresses that the daemons of one failure domain dial. */
export interface DomainDialConfig {
  readonly platformAddress: string;
  /** Proxy listeners by real address, for daemons in other failure domains and for targets. */
  readonly dialMap: Readonly<Record<string, string>>;
}

export interface ProxyPlan {
  readonly links: readonly LinkOptions[];
  readonly dialConfigs: ReadonlyMap<string, DomainDialConfig>;
}

interface ProxiedAddress {
  readonly to: string;
  readonly address: string;
}

/**
 * Plans one listener for each pair of a failure domain and an address that its daemons dial:
 * daemons of other failure domains, the platform and, if `targets` is set, the targets of the local
 * failure domain, with their VM as the link endpoint.
 */
export async function planProxy(
  layout: Layout,
  ports: PortAllocator,
  targets: boolean,
): Promise<ProxyPlan> {
  const plans = await Promise.all(
    layout.domains.map(async ({ name }) => {
      const proxied = [
        { to: PLATFORM_ENDPOINT, address: layout.platform.address },
        ...daemonsOutside(layout, name),
        ...(targets ? targetsOf(layout, name) : []),
      ];
      const links = await Promise.all(
        proxied.map(async ({ to, address }) => {
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

function daemonsOutside({ controls, entries }: Layout, domain: string): ProxiedAddress[] {
  return [...controls, ...entries]
    .filter((daemon) => daemon.domain !== domain)
    .map((daemon) => ({ to: daemon.domain, address: daemon.peers }));
}

function targetsOf({ targets }: Layout, domain: string): ProxiedAddress[] {
  return targets
    .filter((target) => target.domain === domain)
    .map(({ vm, address }) => ({ to: vm, address }));
}
