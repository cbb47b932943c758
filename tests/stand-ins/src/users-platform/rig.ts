/** A small fleet on loopback addresses: the store, targets and gateways with the adapter. */
import http, { type IncomingHttpHeaders } from 'node:http';
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
import { StoreStandIn } from './store.js';
import { TargetStandIn } from './target.js';

const ZONES = { 'north-a': 'north', 'west-a': 'west' } as const;
const POLL_MS = 10;
const WAIT_MS = 8000;

export const MODEL_SERVICE = 'model';
export const PLAIN_SERVICE = 'plain';
export const HOST = 'api.example';

/** Answer as a client sees it. */
export interface ClientAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer ended as a complete one. */
  readonly complete: boolean;
}

export interface ClientRequest {
  readonly path: string;
  readonly id?: string;
  readonly method?: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly host?: string;
  /** Leaves after this time. */
  readonly leaveAfterMs?: number;
}

interface RunningGateway {
  readonly gateway: Gateway;
  readonly settings: PlatformSettings;
  readonly timers: SystemTimerService;
}

/** Configuration of the operator with one route of each kind. */
export function exampleConfig(version: number, changes: object = {}): object {
  const route = (name: string, kind: string, service: string, more: object): object => ({
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    service,
    timeoutMs: 3000,
    targetLatencyMs: 800,
    priority: 1,
    maxAttempts: 2,
    ...more,
  });
  return {
    version,
    routes: [
      route('stream', 'streaming', MODEL_SERVICE, { resumable: true }),
      route('once', 'unsafe', PLAIN_SERVICE, { maxAttempts: 1 }),
      route('read', 'safe', PLAIN_SERVICE, {}),
      route('bound', 'safe', PLAIN_SERVICE, { homeRegions: ['west'] }),
    ],
    services: [
      { name: MODEL_SERVICE, warmupS: 0, coldPerS: 0, engine: { slots: 8, kvCapacityTokens: 1e5 } },
      { name: PLAIN_SERVICE },
    ],
    limits: {
      maxHeaderBytes: 4096,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 1000,
      idleTimeoutMs: 5000,
    },
    ...changes,
  };
}

export class Rig {
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
  async addGateway(index: number, zone: keyof typeof ZONES): Promise<string> {
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
  send(node: string, req: ClientRequest): Promise<ClientAnswer> {
    const { callers } = this.running(node).settings.gateway.listen;
    return request(callers, req);
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

  private get(address: string, path: string): Promise<ClientAnswer> {
    return request(address, { path, method: 'GET' });
  }

  private running(node: string): RunningGateway {
    const running = this.gateways.get(node);
    if (!running) throw new Error(`no gateway ${node}`);
    return running;
  }

  private get storeAddress(): string {
    return `127.0.0.1:${this.basePort + 9}`;
  }

  private settings(node: string, ip: string, zone: keyof typeof ZONES): PlatformSettings {
    const port = (offset: number): string => `"${ip}:${this.basePort + offset}"`;
    const result = checkPlatformSettings(
      `
node = "${node}"
ip = "${ip}"
zone = "${zone}"
region = "${ZONES[zone]}"
internalPorts = [${this.basePort + 4}, ${this.basePort + 8}]
seeds = ["127.0.0.1:${this.basePort + 3}"]
aKeyOfALaterRelease = true
[zones]
${Object.entries(ZONES)
  .map(([name, region]) => `${name} = "${region}"`)
  .join('\n')}
[listen]
front = ${port(0)}
ready = ${port(1)}
directory = ${port(2)}
control = ${port(3)}
[bounds]
graceS = 8
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 54
coldOverage = 1.5
coldSlack = 3
ttl_max_s = 5
[platform]
address = "${this.storeAddress}"
`,
      gatewayTuningSchema.parse({}),
    );
    if (result.kind === 'invalid') throw new Error(result.faults.join('\n'));
    return result.value;
  }
}

let lastId = 0;

function request(address: string, req: ClientRequest): Promise<ClientAnswer> {
  const [host, port] = address.split(':');
  const body = req.body ?? '';
  const method = req.method ?? (body === '' ? 'GET' : 'POST');
  lastId += 1;
  return new Promise((resolve, reject) => {
    const out = http.request(
      {
        host,
        port,
        method,
        path: req.path,
        agent: false,
        headers: {
          host: req.host ?? HOST,
          'request-id': req.id ?? `id-${lastId}`,
          'deadline-ms': '3000',
          ...(body === '' ? {} : { 'content-length': Buffer.byteLength(body) }),
          ...req.headers,
        },
      },
      (res) => {
        const chunks: Buffer[] = [];
        const finish = (): void =>
          resolve({
            status: res.statusCode ?? 0,
            headers: res.headers,
            body: Buffer.concat(chunks).toString('utf8'),
            complete: res.complete,
          });
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('end', finish);
        res.on('error', finish);
      },
    );
    out.on('error', reject);
    if (req.leaveAfterMs !== undefined) setTimeout(() => out.destroy(), req.leaveAfterMs);
    out.end(body);
  });
}
