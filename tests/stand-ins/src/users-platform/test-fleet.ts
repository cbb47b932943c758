/**
 * Test fleet in one process on loopback addresses: stand-ins for the store and the targets, and
 * gateways with the adapter for the users' platform.
 */
import { Gateway, gatewayTuningSchema } from '@marjoramcart/gateway';
import {
  DirectoryCodec,
  ReportCodec,
  RequestCodec,
  StoreClient,
  StoreSource,
  checkPlatformSettings,
  type PlatformSettings,
} from '@marjoramcart/platform';
import { Metrics, SystemTimerService, silentLogger } from '@marjoramcart/runtime';
import { sendRequest, type ClientResponse, type ClientRequest } from './client-request.js';
import {
  HOST,
  MODEL_SERVICE,
  exampleConfig,
  renderSettings,
  type CustomerSettings,
  type Zone,
} from './example-config.js';
import { StoreStandIn, type StoreMode } from './store.js';
import { TargetLink, type LinkCut } from './target-link.js';
import { TargetStandIn } from './target.js';

const POLL_MS = 10;
const CONDITION_TIMEOUT_MS = 8000;
/** Port and third part of the addresses of links, next to those of the gateways. */
const FIRST_LINK_OFFSET = 5;
const FIRST_LINK_NET = 10;

interface RunningGateway {
  readonly gateway: Gateway;
  readonly settings: PlatformSettings;
  readonly timers: SystemTimerService;
}

export class TestFleet {
  readonly store = new StoreStandIn();

  private readonly targets: TargetStandIn[] = [];

  private readonly storeAddresses = new Set<string>();

  /** Links to targets, by the gateway that has them. */
  private readonly links = new Map<string, readonly TargetLink[]>();

  private readonly gateways = new Map<string, RunningGateway>();

  /**
   * @param basePort first of ten free ports; fleets that run at the same time need different ones
   * @param memoryMb memory of a gateway by its settings
   * @param customers settings of a deployment with customers
   */
  constructor(
    private readonly basePort: number,
    private readonly memoryMb?: number,
    private readonly customers?: CustomerSettings,
  ) {}

  start(): Promise<void> {
    this.store.put('op/config', exampleConfig(3));
    return Promise.resolve();
  }

  async stop(): Promise<void> {
    await Promise.all([...this.gateways.keys()].map((node) => this.kill(node)));
    this.targets.forEach((target) => target.close());
    [...this.links.values()].flat().forEach((link) => link.close());
    this.store.close();
  }

  /**
   * @param index determines the address, which a closed target frees for another one
   * @param changes properties of the target that differ from their defaults
   */
  async addTarget(
    index: number,
    service: string,
    zone: string,
    id = `i-${index}`,
    changes: object = {},
  ): Promise<TargetStandIn> {
    const address = `127.0.1.${index}:${this.basePort}`;
    const target = new TargetStandIn(id, address, service.startsWith(MODEL_SERVICE));
    Object.assign(target, changes);
    await target.listen();
    this.targets.push(target);
    this.store.put(`servers/${target.id}`, target.entry(service, zone));
    return target;
  }

  /** Starts a gateway whose links to the targets that exist so far can be cut. */
  async addLinkedGateway(index: number, zone: Zone): Promise<string> {
    const links = this.targets.map(({ address }, n) => {
      const port = this.basePort + FIRST_LINK_OFFSET;
      return new TargetLink(`127.0.${FIRST_LINK_NET + index}.${n + 1}:${port}`, address);
    });
    await Promise.all(links.map((link) => link.listen()));
    this.links.set(`vm-${index}`, links);
    return this.addGateway(index, zone);
  }

  /** Cuts the links of a gateway to all targets. */
  cutLinks(node: string, cut: LinkCut): void {
    (this.links.get(node) ?? []).forEach((link) => link.cut(cut));
  }

  /** Restores the links of a gateway. */
  async healLinks(node: string): Promise<void> {
    await Promise.all((this.links.get(node) ?? []).map((link) => link.listen()));
  }

  /** Starts a gateway and waits until it is ready. */
  async addGateway(index: number, zone: Zone): Promise<string> {
    const node = `vm-${index}`;
    const ip = `127.0.0.${index}`;
    const storeAddress = this.storeAddressOf(index);
    if (!this.storeAddresses.has(storeAddress)) {
      this.storeAddresses.add(storeAddress);
      await this.store.listen(storeAddress);
    }
    const settings = this.settings(node, ip, zone, storeAddress);
    const timers = new SystemTimerService();
    const source = new StoreSource(
      new StoreClient(settings.storeAddress),
      settings.gateway.regionOfDomain,
      timers,
      silentLogger(),
      settings.gateway.customers.required,
    );
    const gateway = new Gateway({
      settings: settings.gateway,
      source,
      requestProtocol: new RequestCodec(node),
      directoryProtocol: new DirectoryCodec(),
      reportProtocol: new ReportCodec(),
      timers,
      metrics: new Metrics(),
      log: silentLogger(),
      dialMap: Object.fromEntries(
        (this.links.get(node) ?? []).map(({ target, address }) => [target, address]),
      ),
    });
    await gateway.start();
    this.gateways.set(node, { gateway, settings, timers });
    return node;
  }

  /** Sets how the store treats the requests of a gateway. */
  setStoreMode(node: string, mode: StoreMode): void {
    this.store.setMode(this.running(node).settings.storeAddress, mode);
  }

  gateway(node: string): Gateway {
    return this.running(node).gateway;
  }

  /** Shuts a gateway down gracefully, as on SIGTERM. */
  async shutDown(node: string): Promise<void> {
    const { gateway, timers } = this.running(node);
    await gateway.stop();
    this.gateways.delete(node);
    timers.close();
  }

  /** Stops a gateway without a graceful shutdown. */
  async kill(node: string): Promise<void> {
    const { gateway, timers } = this.running(node);
    this.gateways.delete(node);
    await gateway.close();
    timers.close();
  }

  isReady(node: string): Promise<boolean> {
    const { ready } = this.running(node).settings.gateway.listen;
    return this.get(ready, '/api/ready').then(
      ({ status }) => status === 200,
      () => false,
    );
  }

  /** Addresses that a gateway's directory returns to callers of a region; none when it refuses. */
  async directory(node: string, region: string): Promise<string[]> {
    const { directory } = this.running(node).settings.gateway.listen;
    const path = `/api/resolve?name=${HOST}&region=${region}&zone=${region}-a`;
    const { status, body } = await this.get(directory, path);
    if (status !== 200) return [];
    return (JSON.parse(body) as { addresses: string[] }).addresses;
  }

  /** Sends a client's request to a gateway. */
  send(node: string, req: ClientRequest): Promise<ClientResponse> {
    const { callers } = this.running(node).settings.gateway.listen;
    return sendRequest(callers, req);
  }

  /** Polls until a condition holds; throws when it does not hold in time. */
  async until(
    condition: () => boolean | Promise<boolean>,
    timeoutMs = CONDITION_TIMEOUT_MS,
  ): Promise<void> {
    if (await condition()) return;
    if (timeoutMs <= 0) throw new Error('timed out while waiting for a condition');
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
    await this.until(condition, timeoutMs - POLL_MS);
  }

  private get(address: string, path: string): Promise<ClientResponse> {
    return sendRequest(address, { path, method: 'GET' });
  }

  private running(node: string): RunningGateway {
    const running = this.gateways.get(node);
    if (!running) throw new Error(`gateway ${node} is not running`);
    return running;
  }

  private storeAddressOf(index: number): string {
    return `127.0.2.${index}:${this.basePort + 9}`;
  }

  private settings(node: string, ip: string, zone: Zone, storeAddress: string): PlatformSettings {
    const { basePort, memoryMb, customers } = this;
    const location = {
      node,
      ip,
      zone,
      basePort,
      storeAddress,
      seedIp: '127.0.0.1',
      ...(memoryMb === undefined ? {} : { memoryMb }),
      ...(customers ? { customers } : {}),
    };
    const result = checkPlatformSettings(renderSettings(location), gatewayTuningSchema.parse({}));
    if (result.kind === 'invalid') throw new Error(result.errors.join('\n'));
    return result.value;
  }
}
