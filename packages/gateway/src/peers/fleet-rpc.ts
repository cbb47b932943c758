/** JSON-RPC with which a gateway that can't reach the source fetches the state from another one. */
import http from 'node:http';
import { JSONRPCClient, JSONRPCServer } from 'json-rpc-2.0';
import {
  readEra,
  type FleetConfig,
  type FleetState,
  type ServiceSpec,
  type StateRevision,
  type TargetRecord,
} from '@marjoramcart/core';
import { BodyMemory, HttpListener, readBody, type Logger, type Task } from '@marjoramcart/runtime';

const PATH = '/rpc';
const FETCH_METHOD = 'fleet.fetch';
const FETCH_TIMEOUT_MS = 2000;
const MAX_REQUEST_BYTES = 16 * 1024;
/** Limit of all requests that are read at the same time; each gateway has one at most. */
const MAX_REQUESTS_BYTES = 8 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 2000;
const MAX_STATE_BYTES = 8 * 1024 * 1024;

interface FleetStateJson {
  readonly revision: number;
  /** Not told by gateways of the previous release. */
  readonly era?: number;
  readonly config: Omit<FleetConfig, 'services'> & { readonly services: readonly ServiceSpec[] };
  readonly targets: readonly TargetRecord[];
  readonly evacuated: readonly string[];
}

/** Task that serves the fleet state to other gateways. */
export class FleetRpcTask implements Task {
  readonly name = 'fleet-rpc';

  private readonly listener: HttpListener;

  private readonly server = new JSONRPCServer();

  private readonly memory = new BodyMemory(MAX_REQUESTS_BYTES);

  constructor(address: string, snapshot: () => FleetState | undefined, log: Logger) {
    this.server.addMethod(FETCH_METHOD, () => {
      const state = snapshot();
      return state ? toJson(state) : null;
    });
    this.listener = new HttpListener({
      address,
      log,
      handler: (req, res) => this.handle(req, res),
      onError: (err) => log.error('request failed', { err }),
    });
  }

  start(): Promise<void> {
    return this.listener.listen();
  }

  stop(): Promise<void> {
    this.listener.destroy();
    return Promise.resolve();
  }

  private async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const { memory } = this;
    const limits = { maxBytes: MAX_REQUEST_BYTES, timeoutMs: REQUEST_TIMEOUT_MS, memory };
    const body = await readBody(req, limits);
    if (req.method !== 'POST' || req.url !== PATH || body.kind !== 'complete') {
      res.writeHead(400, { connection: 'close' }).end();
      return;
    }
    const response = await this.server.receiveJSON(body.data.toString('utf8'));
    res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(response));
  }
}

/**
 * Fetches the fleet state of another gateway.
 *
 * @param address `ip:port` of the other gateway's RPC listener
 * @param era era of the source that is assumed if the other gateway doesn't tell it
 * @throws Error when the gateway does not respond in time or responds with an error
 * @example const state = await fetchFleetState('10.0.0.7:7300', state.era)
 */
export async function fetchFleetState(
  address: string,
  era: number,
): Promise<FleetState | undefined> {
  const client: JSONRPCClient = new JSONRPCClient(async (payload) => {
    client.receive(JSON.parse(await post(address, JSON.stringify(payload))) as never);
  });
  const json = (await client.request(FETCH_METHOD, {})) as FleetStateJson | null;
  return json ? fromJson({ ...json, era: readEra(json.era) ?? era }) : undefined;
}

function post(address: string, text: string): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const req = http.request(
      {
        host,
        port,
        path: PATH,
        method: 'POST',
        agent: false,
        headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) },
      },
      (res) => {
        const limits = { maxBytes: MAX_STATE_BYTES, timeoutMs: FETCH_TIMEOUT_MS };
        void readBody(res, limits).then((body) => {
          if (body.kind === 'complete') resolve(body.data.toString('utf8'));
          else reject(new Error(`response could not be read: ${body.kind}`));
        });
      },
    );
    req.setTimeout(FETCH_TIMEOUT_MS, () =>
      req.destroy(new Error('no response within the timeout')),
    );
    req.on('error', reject);
    req.end(text);
  });
}

function toJson({ era, revision, config, targets, evacuated }: FleetState): FleetStateJson {
  const services = [...config.services.values()];
  return { era, revision, config: { ...config, services }, targets, evacuated: [...evacuated] };
}

function fromJson(json: FleetStateJson & StateRevision): FleetState {
  const { era, revision, config, targets, evacuated } = json;
  const services = new Map(config.services.map((service) => [service.name, service]));
  return {
    era,
    revision,
    config: { ...config, services },
    targets,
    evacuated: new Set(evacuated),
  };
}
