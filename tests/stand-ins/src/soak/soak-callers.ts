/** Callers of a soak: they ask the directory, keep connections and send requests of all kinds. */
import http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { RandomSource } from '@marjoramcart/core';
import { sendRequest, type ClientResponse } from '../users-platform/client-request.js';
import { HOST, PortOffset } from '../users-platform/example-config.js';
import type { SoakFleet } from './soak-rig.js';

/** What may be asked, by the path of its route. */
export const RequestKind = {
  Once: 'once',
  Read: 'read',
  Stream: 'stream',
  Bound: 'bound',
} as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** A request as its caller saw it. */
export interface SoakRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly address: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined when there was no head of an answer. */
  readonly response: ClientResponse | undefined;
  /** The caller left on purpose. */
  readonly aborted: boolean;
}

const CALLERS = 12;
const DEADLINE_MS = 3000;
/** Answers of the directory are used for this long. */
const DIRECTORY_MS = 1000;
const MAX_PAUSE_MS = 60;
const LEAVE_SHARE = 0.03;
const LEAVE_AFTER_MS = 20;
const KINDS = Object.values(RequestKind);

export class SoakCallers {
  readonly requests: SoakRequest[] = [];

  private stopped = false;

  private count = 0;

  constructor(
    private readonly rig: SoakFleet,
    private readonly random: RandomSource,
  ) {}

  /** Sends requests until `stop`. */
  async run(): Promise<void> {
    const regions = ['north', 'west'];
    await Promise.all(
      Array.from({ length: CALLERS }, (_, index) => this.loop(regions[index % 2] as string)),
    );
  }

  stop(): void {
    this.stopped = true;
  }

  /** Sends one request to a gateway. */
  async send(kind: RequestKind, address: string, agent?: http.Agent): Promise<SoakRequest> {
    this.count += 1;
    const id = `soak-${this.count}`;
    const left = this.random.next() < LEAVE_SHARE;
    const sentAt = Date.now();
    const answer = await sendRequest(address, {
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
      ...(left ? { abortAfterMs: LEAVE_AFTER_MS } : {}),
    }).catch(() => undefined);
    const request = { id, kind, address, sentAt, endedAt: Date.now(), answer, left };
    this.requests.push(request);
    return request;
  }

  /** Each caller waits for its answer before its next request. */
  /* eslint-disable no-await-in-loop */
  private async loop(region: string): Promise<void> {
    const agent = new http.Agent({ keepAlive: true });
    let known: { readonly addresses: readonly string[]; readonly at: number } | undefined;
    while (!this.stopped) {
      if (!known || Date.now() - known.at > DIRECTORY_MS) {
        known = { addresses: await this.askDirectory(region), at: Date.now() };
      }
      const address = this.pick(known.addresses);
      if (address === undefined) await delay(MAX_PAUSE_MS);
      else {
        const { response: answer } = await this.send(this.pick(KINDS) as RequestKind, address, agent);
        await delay(this.pauseAfter(answer));
      }
    }
    agent.destroy();
  }

  private async askDirectory(region: string): Promise<readonly string[]> {
    const path = `/api/resolve?name=${HOST}&region=${region}&zone=${region}-a`;
    // eslint-disable-next-line no-restricted-syntax
    for (const { ip } of this.rig.gateways) {
      const address = `${ip}:${this.rig.basePort + PortOffset.Directory}`;
      const asked = sendRequest(address, { path, method: 'GET' }).catch(() => undefined);
      const answer = await Promise.race([asked, delay(DIRECTORY_MS).then(() => undefined)]);
      if (answer?.status === 200) {
        return (JSON.parse(answer.body) as { addresses: string[] }).addresses;
      }
    }
    return [];
  }
  /* eslint-enable no-await-in-loop */

  /** Callers honour the time to return. */
  private pauseAfter(answer: ClientResponse | undefined): number {
    const retryAfterS = Number(answer?.headers['retry-after'] ?? 0);
    return retryAfterS * 1000 + this.random.next() * MAX_PAUSE_MS;
  }

  private pick<Value>(values: readonly Value[]): Value | undefined {
    return values[Math.floor(this.random.next() * values.length)];
  }
}
