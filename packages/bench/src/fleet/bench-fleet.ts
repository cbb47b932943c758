/**
 * Starts a fleet of real control and entry daemons of a given size. One process, the target farm,
 * simulates all engines.
 */
import { fileURLToPath } from 'node:url';
import type { VmRecord } from '@marjoramcart/core';
import {
  PlatformTestPort,
  PortAllocator,
  ProcessGroup,
  addDaemons,
  recreateFolder,
  planLayout,
  portOf,
  requestJson,
  vmRecords,
  waitFor,
  waitReady,
  type Layout,
  type ManagedProcess,
} from '@marjoramcart/stand-ins';
import {
  customerConfigValues,
  mainConfigValue,
  modelNames,
  type ConfigSize,
} from './scaled-config.js';
import { farmAddress } from './farm-protocol.js';

/** Size of a fleet. Measurements cover the first failure domain. */
export interface FleetSize {
  readonly domains: number;
  /** Control daemons in the measured failure domain. */
  readonly peers: number;
  /** Control daemons in each other failure domain. */
  readonly otherPeers: number;
  /** Entry processes on each VM of the measured failure domain. */
  readonly entriesPerVm: number;
  /** Targets of the measured failure domain. */
  readonly targets: number;
  readonly customers: number;
  readonly models: number;
}

const READY_TIMEOUT_MS = 60_000;
const FLEET_SECRET = 'secret-of-the-bench-fleet';
const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const TARGET_FARM_SCRIPT = fileURLToPath(new URL('target-farm.js', import.meta.url));
const PLATFORM_SCRIPT = `${ROOT}tests/stand-ins/dist/platform/main.js`;
/** The planned fleet has 28 failure domains in 12 regions. */
const DOMAINS_PER_REGION = 2.34;
/** Processes started at once; with more, starting takes longer than the daemons' own timeouts. */
const START_BATCH_SIZE = 12;

export class BenchFleet {
  private readonly platform: PlatformTestPort;

  private constructor(
    readonly size: FleetSize,
    readonly layout: Layout,
    readonly config: ConfigSize,
    private readonly group: ProcessGroup,
    /** Port of all engines of the target farm. */
    readonly farmPort: number,
  ) {
    this.platform = new PlatformTestPort(layout.platform.testAddress);
  }

  static async start(name: string, size: FleetSize): Promise<BenchFleet> {
    const folder = `${ROOT}out/bench-fleets/${name}-${process.pid}`;
    recreateFolder(folder);
    const ports = new PortAllocator();
    const domains = Array.from({ length: size.domains }, (_, n) => ({
      name: `domain-${n}`,
      region: `region-${Math.floor(n / DOMAINS_PER_REGION)}`,
      entryVms: n === 0 ? size.peers : size.otherPeers,
      entriesPerVm: n === 0 ? size.entriesPerVm : 0,
    }));
    const layout = await planLayout(domains, ports);
    const config = { domains, models: size.models, customers: size.customers };
    const group = new ProcessGroup(folder);
    const fleet = new BenchFleet(size, layout, config, group, await ports.allocate());
    try {
      await fleet.startStandIns();
      await fleet.startAll(fleet.addDaemons(folder));
      return fleet;
    } catch (err) {
      await fleet.stop();
      throw err;
    }
  }

  stop(): Promise<void> {
    return this.group.stop();
  }

  process(name: string): ManagedProcess {
    return this.group.get(name);
  }

  /** Starts processes in batches and waits until each is ready. */
  async startAll(names: readonly string[]): Promise<void> {
    const batches = Array.from({ length: Math.ceil(names.length / START_BATCH_SIZE) }, (_, n) =>
      names.slice(n * START_BATCH_SIZE, (n + 1) * START_BATCH_SIZE),
    );
    await batches.reduce<Promise<unknown>>(
      (before, batch) =>
        before.then(() => {
          batch.forEach((name) => this.process(name).start());
          return Promise.all(batch.map((name) => this.waitUntilReady(name)));
        }),
      Promise.resolve(),
    );
  }

  /** Waits until a daemon reports ready. */
  waitUntilReady(name: string): Promise<void> {
    return waitReady(this.process(name), this.adminAddressOf(name), READY_TIMEOUT_MS);
  }

  /** Publishes a configuration value and returns its revision. */
  publish(key: string, value: string): Promise<number> {
    return this.platform.publish(key, value);
  }

  /** Times in ms from `startedAt` until each daemon has applied the revision. */
  async timesToApplyMs(revision: number, startedAt: number): Promise<number[]> {
    const daemons = [...this.layout.controls, ...this.layout.entries];
    return Promise.all(
      daemons.map(async ({ admin, name }) => {
        await waitFor(
          `${name} applies revision ${revision}`,
          async () => {
            const { revision: current } = await requestJson<{ revision: number }>(
              'GET',
              `http://${admin}/status`,
            );
            return current >= revision;
          },
          READY_TIMEOUT_MS,
        );
        return performance.now() - startedAt;
      }),
    );
  }

  /** Number of calls of the configuration service: range reads, watches and pending watches. */
  configServiceCalls(): Promise<Record<'range' | 'watch' | 'pending_watches', number>> {
    return this.platform.send('GET', '/calls');
  }

  private async startStandIns(): Promise<void> {
    const { platform } = this.layout;
    const { models, targets } = this.size;
    this.group.add('platform', PLATFORM_SCRIPT, [
      ...['--port', portOf(platform.address), '--test-port', portOf(platform.testAddress)].map(
        String,
      ),
    ]);
    this.process('platform').start();
    if (targets > 0) {
      const args = ['--port', this.farmPort, '--count', targets, '--models', modelNames(models)];
      this.group.add('farm', TARGET_FARM_SCRIPT, args.map(String)).start();
    }
    await waitFor('the platform responds', () => this.configServiceCalls(), READY_TIMEOUT_MS);
    await this.platform.send('PUT', '/vms', [...vmRecords(this.layout), ...this.farmRecords()]);
    await this.publish('config/main', mainConfigValue(this.config));
    await this.platform.publishAll(customerConfigValues(this.config));
  }

  private farmRecords(): VmRecord[] {
    const [domain] = this.config.domains;
    return Array.from({ length: this.size.targets }, (_, n) => ({
      vm: `target-${n}`,
      role: 'target',
      state: 'live',
      region: domain?.region ?? '',
      failureDomain: domain?.name ?? '',
      address: farmAddress(n, this.farmPort),
      target: { kind: 'engine', checksFencing: n % 2 === 1 },
    }));
  }

  private addDaemons(folder: string): string[] {
    const dialConfig = { platformAddress: this.layout.platform.address, dialMap: {} };
    const options = {
      folder,
      fleetSecret: FLEET_SECRET,
      logLevel: 'warn' as const,
      seed: 1,
      policies: {},
    };
    return addDaemons(this.group, { layout: this.layout, dialingOf: () => dialConfig }, options);
  }

  private adminAddressOf(name: string): string {
    const daemons = [...this.layout.controls, ...this.layout.entries];
    return daemons.find((plan) => plan.name === name)?.admin ?? '';
  }
}
