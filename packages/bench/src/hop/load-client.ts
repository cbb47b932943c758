/** Client of the data path: calls at a fixed rate and open streams, to an entry or an engine. */
import http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { pacingPrompt, type EventPacing } from '../fleet/farm-protocol.js';

const DEADLINE_MS = 120_000;
const MS_PER_S = 1000;
/** Start of each event in a stream of the farm's engines and of the entry. */
const EVENT_PREFIX = Buffer.from('data: {');

/** Where calls go: the callers' listener of an entry, or an engine. */
export interface Destination {
  readonly address: string;
  readonly service: string;
  readonly apiKey: string;
}

/** Counters of the calls of one client. */
export interface CallCounts {
  events: number;
  failed: number;
  open: number;
}

/** What the process of one load client reports. */
export interface ClientResult {
  /** Times to the first event, ms. */
  readonly firstMs: number[];
  readonly failed: number;
}

export class LoadClient {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 4096 });

  readonly counts: CallCounts = { events: 0, failed: 0, open: 0 };

  constructor(private readonly destination: Destination) {}

  close(): void {
    this.agent.destroy();
  }

  /** Sends one call; resolves at its end with the time to the first event in ms. */
  call(pace: EventPacing): Promise<number | undefined> {
    const { counts } = this;
    const body = JSON.stringify({
      model: this.destination.service,
      stream: true,
      messages: [{ role: 'user', content: pacingPrompt(pace) }],
    });
    const startedAt = performance.now();
    return new Promise((resolve) => {
      const state: { firstMs?: number } = {};
      const fail = (): void => {
        counts.failed += 1;
        resolve(undefined);
      };
      const req = this.post(body, (res) => {
        counts.open += 1;
        if (res.statusCode !== 200) fail();
        res.on('data', (chunk: Buffer) => {
          state.firstMs ??= performance.now() - startedAt;
          counts.events += countEvents(chunk);
        });
        res.on('end', () => resolve(state.firstMs));
        res.on('error', fail);
        res.on('close', () => {
          counts.open -= 1;
        });
      });
      req.on('error', fail);
      req.end(body);
    });
  }

  /** Calls at `perS` a second whether or not earlier ones ended; times to the first event, ms. */
  async run(perS: number, forMs: number, pace: EventPacing): Promise<number[]> {
    const startedAt = performance.now();
    const calls: Promise<number | undefined>[] = [];
    const total = Math.round((perS * forMs) / MS_PER_S);
    while (calls.length < total) {
      const due = Math.min(total, ((performance.now() - startedAt) * perS) / MS_PER_S);
      while (calls.length < due) calls.push(this.call(pace));
      // The next calls are due after the next tick of the clock.
      // eslint-disable-next-line no-await-in-loop
      await delay(1);
    }
    return (await Promise.all(calls)).filter((ms) => ms !== undefined);
  }

  private post(body: string, onResponse: (res: http.IncomingMessage) => void): http.ClientRequest {
    const [host, port] = this.destination.address.split(':');
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      authorization: `Bearer ${this.destination.apiKey}`,
      'marjoramcart-deadline-ms': DEADLINE_MS,
    };
    const path = '/v1/chat/completions';
    return http.request(
      { host, port, path, method: 'POST', headers, agent: this.agent },
      onResponse,
    );
  }
}

function countEvents(chunk: Buffer): number {
  const state = { count: 0, at: chunk.indexOf(EVENT_PREFIX) };
  while (state.at >= 0) {
    state.count += 1;
    state.at = chunk.indexOf(EVENT_PREFIX, state.at + EVENT_PREFIX.length);
  }
  return state.count;
}

/**
 * The value below which a share of the values lies.
 *
 * @example percentile([1, 2, 3, 4], 0.5) // 2
 */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0;
}
