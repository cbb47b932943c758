/** Callers of a soak: query the directory, reuse connections and send requests of all kinds. */
import http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomSource } from '@marjoramcart/core';
import { sendRequest, type ClientResponse } from '../users-platform/client-request.js';
import { HOST, PortOffset } from '../users-platform/example-config.js';
import type { SoakFleet } from './soak-fleet.js';

/** Kinds of requests, named by the path of their route. */
export const RequestKind = {
  Once: 'once',
  Read: 'read',
  Stream: 'stream',
  Bound: 'bound',
} as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** A request and its response, as recorded by the caller. */
export interface SoakRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly address: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined when no head of a response arrived. */
  readonly response: ClientResponse | undefined;
  /** Whether the caller closed the connection on purpose. */
  readonly aborted: boolean;
}

const CALLER_COUNT = 12;
const DEADLINE_MS = 3000;
/** How long addresses from the directory are cached; also the timeout of a directory query. */
const DIRECTORY_TTL_MS = 1000;
const MAX_PAUSE_MS = 60;
const ABORT_SHARE = 0.03;
const ABORT_AFTER_MS = 20;
const KINDS = Object.values(RequestKind);

export class SoakCallers {
  readonly requests: SoakRequest[] = [];

  private stopped = false;

  private count = 0;

  constructor(
    private readonly fleet: SoakFleet,
    private readonly random: RandomSource,
  ) {}

  /** Sends requests until `stop`. */
  async run(): Promise<void> {
    const regions = ['north', 'west'];
    await Promise.all(
      Array.from({ length: CALLER_COUNT }, (_, index) => this.loop(regions[index % 2] as string)),
    );
  }

  stop(): void {
    this.stopped = true;
  }

  /** Sends one request to a gateway. */
  async send(kind: RequestKind, address: string, agent?: http.Agent): Promise<SoakRequest> {
    this.count += 1;
    const id = `soak-${this.count}`;
    const aborted = this.random.next() < ABORT_SHARE;
    const sentAt = Date.now();
    const response = await sendRequest(address, {
      path: `/${kind}/x`,
      id,
      method: kind === RequestKind.Read || kind === RequestKind.Bound ? 'GET' : 'POST',
      body: kind === RequestKind.Read || kind === RequestKind.Bound ? '' : `body of ${id}`,
      deadlineMs: DEADLINE_MS,
      headers: {
        hold: 'from-a-client',
        ...(kind === RequestKind.Stream
          ? { 'token-count': '800,40', 'prompt-prefix': `aa:500,${id}:300` }
          : {}),
      },
      ...(agent ? { agent } : {}),
      ...(aborted ? { abortAfterMs: ABORT_AFTER_MS } : {}),
    }).catch(() => undefined);
    const request = { id, kind, address, sentAt, endedAt: Date.now(), response, aborted };
    this.requests.push(request);
    return request;
  }

  /** Sends requests one at a time: each waits for the response to the one before. */
  /* eslint-disable no-await-in-loop */
  private async loop(region: string): Promise<void> {
    const agent = new http.Agent({ keepAlive: true });
    let cached: { readonly addresses: readonly string[]; readonly at: number } | undefined;
    while (!this.stopped) {
      if (!cached || Date.now() - cached.at > DIRECTORY_TTL_MS) {
        cached = { addresses: await this.fetchDirectory(region), at: Date.now() };
      }
      const address = this.pick(cached.addresses);
      if (address === undefined) await delay(MAX_PAUSE_MS);
      else {
        const { response } = await this.send(this.pick(KINDS) as RequestKind, address, agent);
        await delay(this.pauseAfter(response));
      }
    }
    agent.destroy();
  }

  private async fetchDirectory(region: string): Promise<readonly string[]> {
    const path = `/api/resolve?name=${HOST}&region=${region}&zone=${region}-a`;
    // eslint-disable-next-line no-restricted-syntax
    for (const { ip } of this.fleet.gateways) {
      const address = `${ip}:${this.fleet.basePort + PortOffset.Directory}`;
      const query = sendRequest(address, { path, method: 'GET' }).catch(() => undefined);
      const response = await Promise.race([query, delay(DIRECTORY_TTL_MS).then(() => undefined)]);
      if (response?.status === 200) {
        return (JSON.parse(response.body) as { addresses: string[] }).addresses;
      }
    }
    return [];
  }
  /* eslint-enable no-await-in-loop */

  /** Callers wait as long as `retry-after` asks. */
  private pauseAfter(response: ClientResponse | undefined): number {
    const retryAfterS = Number(response?.headers['retry-after'] ?? 0);
    return retryAfterS * 1000 + this.random.next() * MAX_PAUSE_MS;
  }

  private pick<Value>(values: readonly Value[]): Value | undefined {
    return values[Math.floor(this.random.next() * values.length)];
  }
}
