/** Starts a test fleet on loopback: platform, fault proxy, targets and daemons. */
import { fileURLToPath } from 'node:url';
import type { VmRecord } from '@marjoramcart/core';
import type { EntrySettings } from '@marjoramcart/runtime';
import { readRunLog, type RunRecord } from '../common/run-log.js';
import type { FlowSettings, FlowState } from '../fault-proxy/flow.js';
import type { LinkFaults } from '../fault-proxy/link.js';
import { PlatformTestPort, addDaemons, recreateFolder, waitReady } from './launch-steps.js';
import { requestJson } from './http-client.js';
import {
  planLayout,
  portOf,
  vmRecords,
  type DomainSpec,
  type Layout,
  type TargetPlan,
} from './layout.js';
import { PortAllocator } from './ports.js';
import type { ManagedProcess } from './managed-process.js';
import { ProcessGroup } from './process-group.js';
import { planProxy, type DomainDialConfig, type ProxyPlan } from './proxy-links.js';

/** Specification of a fleet. */
export interface FleetSpec {
  /** Prefix of the folder in `out/fleets` that receives settings files and logs. */
  readonly name: string;
  readonly domains: readonly DomainSpec[];
  /** Values of the configuration service by key; an object is published as YAML. */
  readonly config: Readonly<Record<string, object | string>>;
  readonly seed?: number;
  /** One-way delay between failure domains, ms. */
  readonly delayMs?: number;
  /** Whether daemons also reach their targets through the fault proxy. */
  readonly proxyTargets?: boolean;
  readonly logLevel?: EntrySettings['log']['level'];
  /** Whether messages between daemons are compressed; `false` makes recorded bytes searchable. */
  readonly compressMessages?: boolean;
  readonly policies?: Partial<EntrySettings['policies']>;
  readonly engineArgs?: readonly string[];
  readonly plainArgs?: readonly string[];
  readonly platformArgs?: readonly string[];
  /** Starts no daemons, for tests of the stand-ins alone. */
  readonly withoutDaemons?: boolean;
}

/** Two ends of a link in the fault proxy: failure domains, VMs of targets, `platform` or `*`. */
export interface LinkEndpoints {
  readonly from: string;
  readonly to: string;
}

const FLEET_SECRET = 'secret-of-the-test-fleet';
const READY_TIMEOUT_MS = 20_000;
const STAND_INS_FOLDER = fileURLToPath(new URL('..', import.meta.url));
const FLEETS_FOLDER = fileURLToPath(new URL('../../../../out/fleets/', import.meta.url));

export class Fleet {
  private readonly platformPort: PlatformTestPort;

  private constructor(
    private readonly spec: FleetSpec,
    /** Settings files and logs of all processes. */
    readonly folder: string,
    readonly layout: Layout,
    private readonly proxyPlan: ProxyPlan,
    private readonly group: ProcessGroup,
  ) {
    this.platformPort = new PlatformTestPort(layout.platform.testAddress);
  }

  /**
   * Starts a fleet and waits until every process is ready. If the start fails, all processes are
   * ended.
   *
   * @throws Error that names the process that did not become ready
   */
  static async start(spec: FleetSpec): Promise<Fleet> {
    const folder = `${FLEETS_FOLDER}${spec.name}-${process.pid}`;
    recreateFolder(folder);
    const ports = new PortAllocator();
    const layout = await planLayout(spec.domains, ports);
    const proxyPlan = await planProxy(layout, ports, spec.proxyTargets ?? false);
    const fleet = new Fleet(spec, folder, layout, proxyPlan, new ProcessGroup(folder));
    try {
      await fleet.startStandIns();
      if (!spec.withoutDaemons) await fleet.startDaemons();
      return fleet;
    } catch (err) {
      await fleet.stop();
      throw err;
    }
  }

  /** Ends all processes of the fleet. */
  stop(): Promise<void> {
    return this.group.stop();
  }

  /** Process by its name in the layout, or `platform` or `fault-proxy`. */
  process(name: string): ManagedProcess {
    return this.group.get(name);
  }

  get processes(): readonly ManagedProcess[] {
    return [...this.group.processes.values()];
  }

  /** Restarts a process, killing it if it still runs, and waits until it is ready. */
  async restart(name: string): Promise<void> {
    await this.process(name).restart();
    await this.waitReady(name);
  }

  /** Plan of a target by its name. */
  target(name: string): TargetPlan {
    const target = this.layout.targets.find((plan) => plan.name === name);
    if (!target) throw new Error(`no target '${name}'`);
    return target;
  }

  /** Address that the daemons of a failure domain dial to reach `address`. */
  dialAddressOf(domain: string, address: string): string {
    const { platformAddress, dialMap } = this.dialConfigOf(domain);
    return address === this.layout.platform.address
      ? platformAddress
      : (dialMap[address] ?? address);
  }

  /** Run records of a target, or of all targets if no name is given, ordered by time. */
  runs(target?: string): RunRecord[] {
    return this.layout.targets
      .filter(({ name }) => target === undefined || name === target)
      .flatMap(({ name }) => readRunLog(this.runLogOf(name)))
      .sort((a, b) => a.at - b.at);
  }

  /** Publishes a value to the configuration service; returns its revision. */
  publish(key: string, value: object | string): Promise<number> {
    return this.platformPort.publish(key, value);
  }

  /** Changes a record of the list of VMs; clients see the change after the lag of the list. */
  async changeVm(vm: string, patch: Partial<VmRecord> & { gone?: boolean }): Promise<void> {
    await this.platformPort.send('PATCH', `/vms/${vm}`, patch);
  }

  /** Sets services of the platform (config, vms, directory, weights) to up, down or stale. */
  async setPlatform(states: Record<string, 'up' | 'down' | 'stale'>): Promise<void> {
    await this.platformPort.send('POST', '/states', states);
  }

  /** Changes settings of the platform, such as `vm_lag_ms` and `stale_behind`. */
  async setPlatformSettings(settings: Record<string, number>): Promise<void> {
    await this.platformPort.send('POST', '/settings', settings);
  }

  /** Numbers of calls of the configuration service since its start. */
  platformCalls(): Promise<Record<string, number>> {
    return this.platformPort.send('GET', '/calls');
  }

  /** Changes settings of the stand-in that runs as a target. */
  async setTarget(name: string, settings: object): Promise<void> {
    await requestJson('POST', `http://${this.target(name).testAddress}/settings`, settings);
  }

  /** Changes the delay, rate or cut between two endpoints. */
  async setFlow(
    endpoints: LinkEndpoints & { readonly both?: boolean },
    settings: Partial<FlowSettings>,
  ): Promise<void> {
    await this.postToProxy('/flows', { ...endpoints, ...settings });
  }

  /** Settings and forwarded bytes of each direction, by `from>to`. */
  flows(): Promise<Readonly<Record<string, FlowState>>> {
    return requestJson('GET', `http://${this.layout.proxy.testAddress}/flows`);
  }

  /** Sets the faults of the connections between two endpoints. */
  async setFaults(endpoints: LinkEndpoints, faults: Partial<LinkFaults>): Promise<void> {
    await this.postToProxy('/faults', { ...endpoints, ...faults });
  }

  /** Applies `delayMs` of the specification between all failure domains. */
  async setDelays(): Promise<void> {
    const delayMs = this.spec.delayMs ?? 0;
    const names = this.spec.domains.map(({ name }) => name);
    const pairs = names.flatMap((from) =>
      names.filter((to) => to !== from).map((to) => ({ from, to })),
    );
    if (delayMs === 0 || this.spec.withoutDaemons) return;
    await Promise.all(pairs.map((pair) => this.setFlow(pair, { delay_ms: delayMs })));
  }

  /** Resets all connections between two endpoints. */
  async resetConnections(endpoints: LinkEndpoints): Promise<void> {
    await this.postToProxy('/reset', endpoints);
  }

  /** Cuts the links between a failure domain and all others, or restores them. */
  async isolate(domain: string, cut: boolean): Promise<void> {
    const others = this.spec.domains.map(({ name }) => name).filter((name) => name !== domain);
    await Promise.all(
      others.map((other) => this.setFlow({ from: domain, to: other, both: true }, { cut })),
    );
  }

  waitReady(name: string): Promise<void> {
    return waitReady(this.process(name), this.readyAddressOf(name), READY_TIMEOUT_MS);
  }

  private async startStandIns(): Promise<void> {
    const { platform, proxy, targets } = this.layout;
    this.add('platform', `${STAND_INS_FOLDER}platform/main.js`, [
      ...['--port', portOf(platform.address), '--test-port', portOf(platform.testAddress)],
      ...(this.spec.platformArgs ?? []),
    ]);
    this.add('fault-proxy', `${STAND_INS_FOLDER}fault-proxy/main.js`, [
      ...['--test-port', portOf(proxy.testAddress)],
    ]);
    targets.forEach((target, n) => {
      const args = ['--port', portOf(target.address), '--test-port', portOf(target.testAddress)];
      const targetArgs = ['--vm', target.vm, '--run-log', this.runLogOf(target.name)];
      if (target.service) {
        const more = ['--service', target.service, ...(this.spec.plainArgs ?? [])];
        this.add(target.name, `${STAND_INS_FOLDER}plain-service/main.js`, [
          ...args,
          ...targetArgs,
          ...more,
        ]);
      } else {
        const weights = ['--weights-url', `http://${platform.address}`];
        const seed = ['--seed', (this.spec.seed ?? 1) + n];
        const fencing = target.checksFencing ? ['--checks-fencing'] : [];
        const more = [...weights, ...seed, ...fencing, ...(this.spec.engineArgs ?? [])];
        this.add(target.name, `${STAND_INS_FOLDER}engine/main.js`, [
          ...args,
          ...targetArgs,
          ...more,
        ]);
      }
    });
    await this.startAll(['platform', 'fault-proxy', ...targets.map(({ name }) => name)]);
    await this.postToProxy('/links', this.proxyPlan.links);
    await this.setDelays();
    await this.platformPort.send('PUT', '/vms', vmRecords(this.layout));
    await this.platformPort.send('PUT', '/directory', this.directory());
    await this.platformPort.publishAll(Object.entries(this.spec.config));
  }

  private async startDaemons(): Promise<void> {
    const dialConfigOf = (domain: string): DomainDialConfig => this.dialConfigOf(domain);
    const names = addDaemons(
      this.group,
      { layout: this.layout, dialingOf: dialConfigOf },
      {
        folder: this.folder,
        fleetSecret: FLEET_SECRET,
        logLevel: this.spec.logLevel ?? 'info',
        compressMessages: this.spec.compressMessages,
        seed: this.spec.seed ?? 1,
        policies: this.spec.policies ?? {},
      },
    );
    await this.startAll(names);
  }

  private add(name: string, script: string, args: readonly (string | number)[]): void {
    this.group.add(name, script, args.map(String));
  }

  private async startAll(names: readonly string[]): Promise<void> {
    names.forEach((name) => this.process(name).start());
    await Promise.all(names.map((name) => this.waitReady(name)));
  }

  private directory(): object[] {
    return this.layout.entries.map(({ callers, region, domain }) => ({
      address: callers,
      region,
      failure_domain: domain,
    }));
  }

  private dialConfigOf(domain: string): DomainDialConfig {
    const dialConfig = this.proxyPlan.dialConfigs.get(domain);
    if (!dialConfig) throw new Error(`no failure domain '${domain}'`);
    return dialConfig;
  }

  private readyAddressOf(name: string): string {
    if (name === 'platform') return this.layout.platform.testAddress;
    if (name === 'fault-proxy') return this.layout.proxy.testAddress;
    const target = this.layout.targets.find((plan) => plan.name === name);
    const daemon = [...this.layout.controls, ...this.layout.entries].find(
      (plan) => plan.name === name,
    );
    return target?.testAddress ?? daemon?.admin ?? '';
  }

  private runLogOf(name: string): string {
    return `${this.folder}/${name}.runs.jsonl`;
  }

  private postToProxy(path: string, body: object): Promise<object> {
    return requestJson('POST', `http://${this.layout.proxy.testAddress}${path}`, body);
  }
}
