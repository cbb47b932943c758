/** Processes and links of a soak: gateways as separate processes, the store and targets behind links. */
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

const GATEWAY = fileURLToPath(new URL('../../../../platform/dist/main.js', import.meta.url));
const START_BOUND_MS = 20_000;
/** Offset of the port for metrics and status of each gateway. */
const METRICS_PORT = 9;
/** Offsets of the ports on 127.0.0.1: the store, links to it, links to targets. */
const STORE_PORT = 20;
const STORE_LINK_PORT = 30;
const TARGET_LINK_PORT = 50;

/** A connection between two places, with the faults of both directions. */
export interface SoakLink {
  readonly forward: Flow;
  readonly backward: Flow;
  readonly link: Link;
}

export interface SoakGateway {
  readonly node: string;
  readonly region: string;
  readonly ip: string;
  readonly process: ManagedProcess;
  /** To the store. */
  readonly store: SoakLink;
}

export interface SoakTarget {
  readonly service: string;
  readonly zone: Zone;
  /** Address behind the link. */
  readonly address: string;
  readonly link: SoakLink;
  /** The target that runs there now; a replacement has another id. */
  standIn: TargetStandIn;
  /** When its entry was made `draining`, Unix ms. */
  drainingAt: number | undefined;
}

const GATEWAY_ZONES: readonly Zone[] = ['north-a', 'north-a', 'west-a', 'west-a'];
const TARGET_PLAN: readonly (readonly [string, Zone])[] = [
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

  /** All targets that ever ran, with their runs. */
  readonly allTargets: TargetStandIn[] = [];

  configVersion = 1;

  private readonly group: ProcessGroup;

  private readonly links: SoakLink[] = [];

  private incarnations = 0;

  /** @param basePort first of a hundred free ports */
  constructor(
    readonly basePort: number,
    private readonly folder: string,
  ) {
    // eslint-disable-next-line n/no-sync
    mkdirSync(folder, { recursive: true });
    this.group = new ProcessGroup(folder);
  }

  async start(): Promise<void> {
    await this.store.listen(`127.0.0.1:${this.basePort + STORE_PORT}`);
    this.store.put('op/config', exampleConfig(this.configVersion));
    await Promise.all(TARGET_PLAN.map(([service, zone], at) => this.addTarget(service, zone, at)));
    await Promise.all(GATEWAY_ZONES.map((zone, at) => this.addGateway(zone, at)));
    this.gateways.forEach(({ process }) => process.start());
    await Promise.all(this.gateways.map((gateway) => this.untilReady(gateway)));
  }

  async stop(): Promise<void> {
    this.gateways.forEach(({ process }) => process.thaw());
    await this.group.stop();
    this.links.forEach(({ link }) => link.close());
    this.targets.forEach(({ standIn }) => standIn.close());
    this.store.close();
  }

  untilReady({ node, ip }: SoakGateway): Promise<unknown> {
    const address = `${ip}:${this.basePort + PortOffset.Ready}`;
    return waitFor(
      `${node} is ready`,
      async () =>
        (await sendRequest(address, { path: '/api/ready', method: 'GET' })).status === 200,
      START_BOUND_MS,
    );
  }

  /** What a gateway says of itself; undefined when it does not answer. */
  async statusOf({ ip }: SoakGateway): Promise<{ readonly config: number } | undefined> {
    try {
      const { body } = await sendRequest(`${ip}:${this.basePort + METRICS_PORT}`, {
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
    const address = `127.0.0.1:${link.link.options.listen}`;
    this.store.put(`servers/${standIn.id}`, standIn.entry(service, zone, { address, ...changes }));
  }

  /** Ends a target and starts another one at its address. */
  async replaceTarget(target: SoakTarget): Promise<void> {
    const gone = target.standIn;
    gone.close();
    Object.assign(target, { standIn: this.makeTarget(target.service, target.address) });
    await target.standIn.listen();
    this.store.delete(`servers/${gone.id}`);
    this.putTarget(target);
  }

  private async addTarget(service: string, zone: Zone, at: number): Promise<void> {
    const address = `127.0.1.${at + 1}:${this.basePort}`;
    const link = await this.addLink(this.basePort + TARGET_LINK_PORT + at, address);
    const standIn = this.makeTarget(service, address);
    await standIn.listen();
    const target = { service, zone, address, link, standIn, drainingAt: undefined };
    this.targets.push(target);
    this.putTarget(target);
  }

  private makeTarget(service: string, address: string): TargetStandIn {
    this.incarnations += 1;
    const id = `i-${this.incarnations}`;
    const standIn = new TargetStandIn(id, address, service === MODEL_SERVICE);
    this.allTargets.push(standIn);
    return standIn;
  }

  private async addGateway(zone: Zone, at: number): Promise<void> {
    const node = `vm-${at + 1}`;
    const ip = `127.0.2.${at + 1}`;
    const storePort = this.basePort + STORE_LINK_PORT + at;
    const store = await this.addLink(storePort, `127.0.0.1:${this.basePort + STORE_PORT}`);
    const file = `${this.folder}/${node}.toml`;
    const storeAddress = `127.0.0.1:${storePort}`;
    const place = { node, ip, zone, basePort: this.basePort, storeAddress, seedIp: '127.0.2.1' };
    // eslint-disable-next-line n/no-sync
    writeFileSync(file, renderSettings(place));
    const tuning = `${this.folder}/gateway.yaml`;
    // eslint-disable-next-line n/no-sync
    writeFileSync(tuning, `metrics_port: ${this.basePort + METRICS_PORT}\n`);
    const process = this.group.add(node, GATEWAY, ['--settings', file, '--tuning', tuning]);
    this.gateways.push({ node, region: zone.split('-')[0] ?? '', ip, process, store });
  }

  private async addLink(listen: number, target: string): Promise<SoakLink> {
    const forth = new Flow();
    const back = new Flow();
    const link = new Link({ listen, target, from: 'gateway', to: target }, forth, back);
    await link.listen();
    const added = { forth, back, link };
    this.links.push(added);
    return added;
  }
}
