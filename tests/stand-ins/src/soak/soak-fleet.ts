/**
 * Fleet of a soak: gateways as separate processes, which reach the stand-ins of the store and the
 * targets through links that can be disturbed.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { Flow } from '../fault-proxy/flow.js';
import { Link } from '../fault-proxy/link.js';
import type { ManagedProcess } from '../fleet/managed-process.js';
import { ProcessGroup } from '../fleet/process-group.js';
import { waitFor } from '../fleet/wait.js';
import { sendRequest } from '../users-platform/client-request.js';
import {
  MODEL_SERVICE,
  PLAIN_SERVICE,
  PortOffset,
  exampleConfig,
  renderSettings,
  type Zone,
} from '../users-platform/example-config.js';
import { StoreStandIn } from '../users-platform/store.js';
import { TargetStandIn } from '../users-platform/target.js';

const GATEWAY_MAIN = fileURLToPath(new URL('../../../../platform/dist/start.js', import.meta.url));
const START_TIMEOUT_MS = 20_000;
/** Offset of each gateway's port for metrics and status. */
const METRICS_PORT_OFFSET = 9;
/** Offsets of the ports on 127.0.0.1: the store, the links to it and the links to targets. */
const STORE_PORT_OFFSET = 20;
const STORE_LINK_PORT_OFFSET = 30;
const TARGET_LINK_PORT_OFFSET = 50;

/** A proxied connection whose two directions can be disturbed separately. */
export interface SoakLink {
  readonly forward: Flow;
  readonly backward: Flow;
  readonly proxy: Link;
}

export interface SoakGateway {
  readonly node: string;
  readonly region: string;
  readonly ip: string;
  readonly process: ManagedProcess;
  readonly storeLink: SoakLink;
}

export interface SoakTarget {
  readonly service: string;
  readonly zone: Zone;
  /** Address of the target itself, behind the link. */
  readonly address: string;
  readonly link: SoakLink;
  /** The target that runs at the address now; a replacement has another id. */
  standIn: TargetStandIn;
  /** When its entry was set to `draining`, Unix ms. */
  drainingAt: number | undefined;
}

const GATEWAY_ZONES: readonly Zone[] = ['north-a', 'north-a', 'west-a', 'west-a'];
const TARGET_LAYOUT: readonly (readonly [string, Zone])[] = [
  [MODEL_SERVICE, 'north-a'],
  [MODEL_SERVICE, 'north-a'],
  [MODEL_SERVICE, 'west-a'],
  [PLAIN_SERVICE, 'north-a'],
  [PLAIN_SERVICE, 'north-a'],
  [PLAIN_SERVICE, 'west-a'],
  [PLAIN_SERVICE, 'west-a'],
];

export class SoakFleet {
  readonly store = new StoreStandIn();

  readonly gateways: SoakGateway[] = [];

  readonly targets: SoakTarget[] = [];

  /** All targets, including replaced ones, with the requests they ran. */
  readonly allTargets: TargetStandIn[] = [];

  configVersion = 1;

  private readonly group: ProcessGroup;

  private readonly links: SoakLink[] = [];

  private targetCount = 0;

  /** @param basePort first of 100 consecutive free ports */
  constructor(
    readonly basePort: number,
    private readonly folder: string,
  ) {
    // eslint-disable-next-line n/no-sync
    mkdirSync(folder, { recursive: true });
    this.group = new ProcessGroup(folder);
  }

  async start(): Promise<void> {
    await this.store.listen(`127.0.0.1:${this.basePort + STORE_PORT_OFFSET}`);
    this.store.put('op/config', exampleConfig(this.configVersion));
    await Promise.all(
      TARGET_LAYOUT.map(([service, zone], index) => this.addTarget(service, zone, index)),
    );
    await Promise.all(GATEWAY_ZONES.map((zone, index) => this.addGateway(zone, index)));
    this.gateways.forEach(({ process }) => process.start());
    await Promise.all(this.gateways.map((gateway) => this.waitUntilReady(gateway)));
  }

  async stop(): Promise<void> {
    this.gateways.forEach(({ process }) => process.thaw());
    await this.group.stop();
    this.links.forEach(({ proxy }) => proxy.close());
    this.targets.forEach(({ standIn }) => standIn.close());
    this.store.close();
  }

  waitUntilReady({ node, ip }: SoakGateway): Promise<unknown> {
    const address = `${ip}:${this.basePort + PortOffset.Ready}`;
    return waitFor(
      `${node} is ready`,
      async () =>
        (await sendRequest(address, { path: '/api/ready', method: 'GET' })).status === 200,
      START_TIMEOUT_MS,
    );
  }

  /** A gateway's status; undefined when it does not respond. */
  async statusOf({ ip }: SoakGateway): Promise<{ readonly config: number } | undefined> {
    try {
      const { body } = await sendRequest(`${ip}:${this.basePort + METRICS_PORT_OFFSET}`, {
        path: '/status',
        method: 'GET',
      });
      return JSON.parse(body) as { config: number };
    } catch {
      return undefined;
    }
  }

  putTarget(target: SoakTarget, changes: object = {}): void {
    const { standIn, service, zone, link } = target;
    const address = `127.0.0.1:${link.proxy.options.listen}`;
    this.store.put(`servers/${standIn.id}`, standIn.entry(service, zone, { address, ...changes }));
  }

  /** Stops a target and starts another one at the same address. */
  async replaceTarget(target: SoakTarget): Promise<void> {
    const old = target.standIn;
    old.close();
    Object.assign(target, { standIn: this.makeTarget(target.service, target.address) });
    await target.standIn.listen();
    this.store.delete(`servers/${old.id}`);
    this.putTarget(target);
  }

  private async addTarget(service: string, zone: Zone, index: number): Promise<void> {
    const address = `127.0.1.${index + 1}:${this.basePort}`;
    const link = await this.addLink(this.basePort + TARGET_LINK_PORT_OFFSET + index, address);
    const standIn = this.makeTarget(service, address);
    await standIn.listen();
    const target = { service, zone, address, link, standIn, drainingAt: undefined };
    this.targets.push(target);
    this.putTarget(target);
  }

  private makeTarget(service: string, address: string): TargetStandIn {
    this.targetCount += 1;
    const id = `i-${this.targetCount}`;
    const standIn = new TargetStandIn(id, address, service === MODEL_SERVICE);
    this.allTargets.push(standIn);
    return standIn;
  }

  private async addGateway(zone: Zone, index: number): Promise<void> {
    const node = `vm-${index + 1}`;
    const ip = `127.0.2.${index + 1}`;
    const storePort = this.basePort + STORE_LINK_PORT_OFFSET + index;
    const storeLink = await this.addLink(
      storePort,
      `127.0.0.1:${this.basePort + STORE_PORT_OFFSET}`,
    );
    const file = `${this.folder}/${node}.toml`;
    const storeAddress = `127.0.0.1:${storePort}`;
    const location = { node, ip, zone, basePort: this.basePort, storeAddress, seedIp: '127.0.2.1' };
    // eslint-disable-next-line n/no-sync
    writeFileSync(file, renderSettings(location));
    const tuning = `${this.folder}/gateway.yaml`;
    // eslint-disable-next-line n/no-sync
    writeFileSync(tuning, `metrics_port: ${this.basePort + METRICS_PORT_OFFSET}\n`);
    const process = this.group.add(node, GATEWAY_MAIN, ['--settings', file, '--tuning', tuning]);
    this.gateways.push({ node, region: zone.split('-')[0] ?? '', ip, process, storeLink });
  }

  private async addLink(listen: number, target: string): Promise<SoakLink> {
    const forward = new Flow();
    const backward = new Flow();
    const proxy = new Link({ listen, target, from: 'gateway', to: target }, forward, backward);
    await proxy.listen();
    const added = { forward, backward, proxy };
    this.links.push(added);
    return added;
  }
}
