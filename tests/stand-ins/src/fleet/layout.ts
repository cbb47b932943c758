/** Plans the names and addresses of all processes of a fleet. */
import type { VmRecord } from '@marjoramcart/core';
import { LOOPBACK } from '../common/http-server.js';
import type { PortAllocator } from './ports.js';

/** Specification of one failure domain. */
export interface DomainSpec {
  readonly name: string;
  readonly region: string;
  readonly entryVms: number;
  /** Entry processes on each entry VM. */
  readonly entriesPerVm?: number;
  readonly engines?: number;
  /** Number of VMs of each plain service, by service name. */
  readonly plain?: Readonly<Record<string, number>>;
}

/** Name of a process, and the VM, region and failure domain in which it runs. */
export interface ProcessLocation {
  readonly name: string;
  readonly vm: string;
  readonly region: string;
  readonly domain: string;
}

export interface ControlPlan extends ProcessLocation {
  readonly peers: string;
  readonly admin: string;
}

export interface EntryPlan extends ProcessLocation {
  readonly callers: string;
  readonly peers: string;
  readonly admin: string;
  /** Peer listener of the control daemon on the same VM. */
  readonly control: string;
}

export interface TargetPlan extends ProcessLocation {
  readonly address: string;
  readonly testAddress: string;
  /** Plain service that runs here; absent for engines. */
  readonly service?: string;
  readonly checksFencing: boolean;
}

export interface Layout {
  readonly domains: readonly DomainSpec[];
  readonly platform: { readonly address: string; readonly testAddress: string };
  readonly proxy: { readonly testAddress: string };
  readonly controls: readonly ControlPlan[];
  readonly entries: readonly EntryPlan[];
  readonly targets: readonly TargetPlan[];
}

/** Port of an `ip:port` address. */
export function portOf(address: string): number {
  return Number(address.split(':')[1]);
}

export async function allocateAddress(ports: PortAllocator): Promise<string> {
  return `${LOOPBACK}:${await ports.allocate()}`;
}

/** Assigns a name and addresses to every process of the failure domains. */
export async function planLayout(
  domains: readonly DomainSpec[],
  ports: PortAllocator,
): Promise<Layout> {
  const allocate = (): Promise<string> => allocateAddress(ports);
  const vms = domains.flatMap((domain) =>
    numbered(domain.entryVms).map((n) => ({ domain, vm: `${domain.name}-entry-${n}` })),
  );
  const controls = await inOrder(vms, async ({ domain, vm }) => ({
    ...locationOf(domain, vm, `${vm}-control`),
    peers: await allocate(),
    admin: await allocate(),
  }));
  const processes = controls.flatMap((control) => {
    const domain = domains.find(({ name }) => name === control.domain);
    return numbered(domain?.entriesPerVm ?? 1).map((n) => ({ control, n }));
  });
  const entries = await inOrder(processes, async ({ control, n }) => ({
    name: `${control.vm}-process-${n}`,
    vm: control.vm,
    region: control.region,
    domain: control.domain,
    callers: await allocate(),
    peers: await allocate(),
    admin: await allocate(),
    control: control.peers,
  }));
  const targets = await inOrder(domains.flatMap(targetLocations), async (target) => ({
    ...target,
    address: await allocate(),
    testAddress: await allocate(),
  }));
  const platform = { address: await allocate(), testAddress: await allocate() };
  return {
    domains,
    platform,
    proxy: { testAddress: await allocate() },
    controls,
    entries,
    targets,
  };
}

function targetLocations(
  domain: DomainSpec,
): (ProcessLocation & Pick<TargetPlan, 'service' | 'checksFencing'>)[] {
  const engines = numbered(domain.engines ?? 0).map((n) => {
    const vm = `${domain.name}-engine-${n}`;
    // Every second engine ignores fencing numbers, so that the fleet has engines of both kinds.
    return { ...locationOf(domain, vm, vm), checksFencing: n % 2 === 1 };
  });
  const plain = Object.entries(domain.plain ?? {}).flatMap(([service, count]) =>
    numbered(count).map((n) => {
      const vm = `${domain.name}-${service}-${n}`;
      return { ...locationOf(domain, vm, vm), service, checksFencing: false };
    }),
  );
  return [...engines, ...plain];
}

/** Records of all VMs for the platform's list of VMs. */
export function vmRecords(layout: Layout): VmRecord[] {
  const entryVms = layout.controls.map((control) => ({
    vm: control.vm,
    role: 'entry' as const,
    state: 'live' as const,
    region: control.region,
    failureDomain: control.domain,
    address: control.peers,
  }));
  const targets = layout.targets.map((target) => ({
    vm: target.vm,
    role: 'target' as const,
    state: 'live' as const,
    region: target.region,
    failureDomain: target.domain,
    address: target.address,
    target: target.service
      ? { kind: 'plain' as const, service: target.service }
      : { kind: 'engine' as const, checksFencing: target.checksFencing },
  }));
  return [...entryVms, ...targets];
}

function locationOf(
  { name: domain, region }: DomainSpec,
  vm: string,
  name: string,
): ProcessLocation {
  return { name, vm, region, domain };
}

/** The numbers from 1 to `count`. */
function numbered(count: number): number[] {
  return Array.from({ length: count }, (_, n) => n + 1);
}

/** Maps items one at a time, so that ports are allocated in order. */
function inOrder<From, To>(
  items: readonly From[],
  map: (item: From) => Promise<To>,
): Promise<To[]> {
  return items.reduce<Promise<To[]>>(
    async (mapped, item) => [...(await mapped), await map(item)],
    Promise.resolve([]),
  );
}
