/** A small fleet on loopback addresses: the store, targets and gateways with the adapter. */
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
import { HOST, MODEL_SERVICE, exampleConfig, renderSettings, type Zone } from './example-config.js';
import { StoreStandIn } from './store.js';
import { TargetStandIn } from './target.js';

const POLL_MS = 10;
const WAIT_MS = 8000;

interface RunningGateway {
  readonly gateway: Gateway;
  readonly settings: PlatformSettings;
  readonly timers: SystemTimerService;
}

export class TestFleet {
  readonly store = new StoreStandIn();

  private readonly targets: TargetStandIn[] = [];

  private readonly gateways = new Map<string, RunningGateway>();

  /** @param basePort first of some free ports; rigs of one machine use different ones */
  constructor(private readonly basePort: number) {}

  async start(): Promise<void> {
    await this.store.listen(this.storeAddress);
    this.store.put('op/config', exampleConfig(3));
  }

  async stop(): Promise<void> {
    await Promise.all([...this.gateways.keys()].map((node) => this.kill(node)));
    this.targets.forEach((target) => target.close());
    this.store.close();
  }

  async addTarget(index: number, service: string, zone: string): Promise<TargetStandIn> {
    const address = `127.0.1.${index}:${this.basePort}`;
    const target = new TargetStandIn(`i-${index}`, address, service === MODEL_SERVICE);
    await target.listen();
    this.targets.push(target);
    this.store.put(`servers/${target.id}`, target.entry(service, zone));
    return target;
  }

  /** Starts a gateway and waits until it is ready. */
  async addGateway(index: number, zone: Zone): Promise<string> {
    const node = `vm-${index}`;
    const ip = `127.0.0.${index}`;
    const settings = this.settings(node, ip, zone);
    const timers = new SystemTimerService();
    const source = new StoreSource(
      new StoreClient(settings.storeAddress),
      settings.gateway.domains,
      timers,
      silentLogger(),
    );
    const gateway = new Gateway({
      settings: settings.gateway,
      source,
      protocol: new RequestCodec(node),
      directory: new DirectoryCodec(),
      reports: new ReportCodec(),
      timers,
      metrics: new Metrics(),
      log: silentLogger(),
    });
    await gateway.start();
    this.gateways.set(node, { gateway, settings, timers });
    return node;
  }

  gateway(node: string): Gateway {
    return this.running(node).gateway;
  }

  /** Shuts a gateway down as SIGTERM does. */
  async shutDown(node: string): Promise<void> {
    const { gateway, timers } = this.running(node);
    await gateway.stop();
    this.gateways.delete(node);
    timers.close();
  }

  /** Ends a gateway at once. */
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

  /** Addresses that the directory of a gateway gives to callers of a region. */
  async directory(node: string, region: string): Promise<string[]> {
    const { directory } = this.running(node).settings.gateway.listen;
    const path = `/api/resolve?name=${HOST}&region=${region}&zone=${region}-a`;
    const { body } = await this.get(directory, path);
    return (JSON.parse(body) as { addresses: string[] }).addresses;
  }

  /** Sends a request of a client to a gateway. */
  send(node: string, req: ClientRequest): Promise<ClientResponse> {
    const { callers } = this.running(node).settings.gateway.listen;
    return sendRequest(callers, req);
  }

  /** Waits until a condition holds. */
  async until(condition: () => boolean | Promise<boolean>, waitMs = WAIT_MS): Promise<void> {
    if (await condition()) return;
    if (waitMs <= 0) throw new Error('the condition did not come true in time');
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
    await this.until(condition, waitMs - POLL_MS);
  }

  private get(address: string, path: string): Promise<ClientResponse> {
    return sendRequest(address, { path, method: 'GET' });
  }

  private running(node: string): RunningGateway {
    const running = this.gateways.get(node);
    if (!running) throw new Error(`no gateway ${node}`);
    return running;
  }

  private get storeAddress(): string {
    return `127.0.0.1:${this.basePort + 9}`;
  }

  private settings(node: string, ip: string, zone: Zone): PlatformSettings {
    const { basePort, storeAddress } = this;
    const place = { node, ip, zone, basePort, storeAddress, seedIp: '127.0.0.1' };
    const result = checkPlatformSettings(renderSettings(place), gatewayTuningSchema.parse({}));
    if (result.kind === 'invalid') throw new Error(result.faults.join('\n'));
    return result.value;
  }
}
