/** JSON-RPC with which a gateway that can't reach the source fetches the state from another one. */
import http from 'node:http';
import { promisify } from 'node:util';
import { gunzip, gzip } from 'node:zlib';
import { JSONRPCClient, JSONRPCServer, type JSONRPCResponse } from 'json-rpc-2.0';
import { readEra, type FleetConfig, type FleetState } from '@marjoramcart/core';
import {
  BodyMemory,
  HttpListener,
  readBody,
  type ConnectionShare,
  type Logger,
  type Task,
  type TimerService,
} from '@marjoramcart/runtime';
import { FetchedState, configToJson, fromJson, type FleetStateJson } from './fleet-state-json.js';
import { SharedEncoding } from './shared-encoding.js';

const PATH = '/rpc';
const GZIP = 'gzip';
const FETCH_METHOD = 'fleet.fetch';
/** Longest silence of the other gateway. */
const FETCH_TIMEOUT_MS = 2000;
/** A state with 25,000 customers takes 2.4 s over a link of 7 Mbit/s. */
const MAX_FETCH_MS = 8000;
const MAX_REQUEST_BYTES = 16 * 1024;
/** Limit of all requests that are read at the same time; each gateway has one at most. */
const MAX_REQUESTS_BYTES = 8 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 2000;
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Limit after decompression; 25,000 customers with two keys each take 7 MB. */
const MAX_STATE_BYTES = 32 * 1024 * 1024;
/** Shorter responses without customers are not compressed. */
const MIN_COMPRESSED_LENGTH = 64 * 1024;

const compress = promisify(gzip);
const decompress = promisify(gunzip);

type RpcResponse = JSONRPCResponse | JSONRPCResponse[] | null;

interface FetchParams {
  /** Whether the asker knows of customers; not told by gateways of the previous release. */
  readonly customers?: boolean;
}

/** Task that serves the fleet state to other gateways. */
export class FleetRpcTask implements Task {
  readonly name = 'fleet-rpc';

  private readonly listener: HttpListener;

  private readonly server = new JSONRPCServer();

  private readonly memory = new BodyMemory(MAX_REQUESTS_BYTES);

  private readonly configs: SharedEncoding<FleetConfig>;

  constructor(
    address: string,
    snapshot: () => FleetState | undefined,
    log: Logger,
    timers: TimerService,
    connections?: ConnectionShare,
  ) {
    this.configs = new SharedEncoding(timers, (config) =>
      JSON.stringify(configToJson(config, true)),
    );
    this.server.addMethod(FETCH_METHOD, (params: FetchParams | undefined) => {
      const state = snapshot();
      return state ? new FetchedState(state, params?.customers === true) : null;
    });
    this.listener = new HttpListener({
      address,
      log,
      ...(connections ? { connections } : {}),
      handler: (req, res) => this.handle(req, res),
      onError: (err) => log.error('request failed', { err }),
    });
  }

  start(): Promise<void> {
    return this.listener.listen();
  }

  stop(): Promise<void> {
    this.listener.destroy();
    this.configs.forget();
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
    const isJson = { 'content-type': 'application/json' };
    if (req.headers['accept-encoding'] !== GZIP) {
      res.writeHead(200, isJson).end(JSON.stringify(response));
      return;
    }
    const members = await this.encode(response);
    if (typeof members === 'string') {
      res.writeHead(200, isJson).end(members);
      return;
    }
    res.writeHead(200, { ...isJson, 'content-encoding': GZIP });
    members.forEach((member) => res.write(member));
    res.end();
  }

  /** Text of a response, or the members of a gzip stream with it. */
  private async encode(response: RpcResponse): Promise<string | readonly Buffer[]> {
    if (response && 'result' in response && response.result instanceof FetchedState) {
      const { jsonrpc, id, result } = response;
      const { sharedConfig, rest } = result;
      if (sharedConfig) {
        // Ends with the braces of the result and the response; the configuration goes before them.
        const text = JSON.stringify({ jsonrpc, id, result: rest });
        return Promise.all([
          compress(`${text.slice(0, -2)},"config":`),
          this.configs.of(sharedConfig),
          compress('}}'),
        ]);
      }
    }
    const text = JSON.stringify(response);
    return text.length < MIN_COMPRESSED_LENGTH ? text : [await compress(text)];
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
  const json = (await client.request(FETCH_METHOD, { customers: true })) as FleetStateJson | null;
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
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
          // Not sent by gateways of the previous release.
          'accept-encoding': GZIP,
        },
      },
      (res) => {
        readText(res).then(resolve, (err: unknown) => {
          req.destroy();
          reject(err);
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

async function readText(res: http.IncomingMessage): Promise<string> {
  const limits = { maxBytes: MAX_RESPONSE_BYTES, timeoutMs: MAX_FETCH_MS };
  const body = await readBody(res, limits);
  if (body.kind !== 'complete') throw new Error(`response could not be read: ${body.kind}`);
  const isCompressed = res.headers['content-encoding'] === GZIP;
  const data = isCompressed
    ? await decompress(body.data, { maxOutputLength: MAX_STATE_BYTES })
    : body.data;
  return data.toString('utf8');
}
