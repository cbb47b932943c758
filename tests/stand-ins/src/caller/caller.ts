/** Client of the gateway for tests and the demo: entry list, keys, streams and error bodies. */
import http from 'node:http';
import type { ChatRequest } from '../engine/answer.js';
import { ResponseReader } from './response-reader.js';
import type { CallResult, ListedEntry } from './call-result.js';
import type { StreamEvent } from './event-stream.js';

export interface CallOptions {
  readonly method: string;
  readonly path: string;
  readonly body?: string | Buffer | object;
  readonly headers?: http.OutgoingHttpHeaders;
  /** Called with each event of a stream. */
  readonly onEvent?: (event: StreamEvent) => void;
  readonly signal?: AbortSignal;
  /** Uses a connection that no earlier call used. */
  readonly freshConnection?: boolean;
  /** Sends the headers with the length of the body, but never the body. */
  readonly withholdBody?: boolean;
}

const DEFAULT_KEY_LIFE_S = 600;
const TIMEOUT_MS = 60_000;

export class Caller {
  private readonly agent = new http.Agent({ keepAlive: true });

  constructor(private readonly apiKey: string) {}

  /** Sends a call; a broken connection is a result, too. */
  call(address: string, options: CallOptions): Promise<CallResult> {
    const { body, headers } = encode(options, this.apiKey);
    const sentAt = performance.now();
    return new Promise((resolve) => {
      const answer = new ResponseReader(sentAt, options.onEvent);
      const req = http.request(`http://${address}${options.path}`, {
        method: options.method,
        headers,
        agent: options.freshConnection ? false : this.agent,
        signal: options.signal,
        timeout: TIMEOUT_MS,
      });
      req.on('timeout', () => req.destroy(new Error('the caller gave up waiting')));
      req.on('response', (res) => {
        answer.read(res);
        res.on('close', () => resolve(answer.result()));
      });
      req.on('error', (err) => {
        answer.broken ??= err.message;
        if (!answer.started) resolve(answer.result());
      });
      if (options.withholdBody) req.flushHeaders();
      else req.end(body);
    });
  }

  /** Sends a chat completion. */
  chat(
    address: string,
    body: ChatRequest,
    options: Partial<CallOptions> = {},
  ): Promise<CallResult> {
    return this.call(address, { method: 'POST', path: '/v1/chat/completions', body, ...options });
  }

  /** Entries for this caller, best first. */
  async entries(address: string): Promise<ListedEntry[]> {
    const { status, text } = await this.call(address, { method: 'GET', path: '/v1/entries' });
    if (status !== 200) throw new Error(`the entry list of ${address} answered ${status}: ${text}`);
    return (JSON.parse(text) as { entries: ListedEntry[] }).entries;
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }
}

/**
 * Makes an idempotency key that the entry with this prefix dispatches.
 *
 * @example makeKey(entry.key_prefix, 'booking-0001')
 */
export function makeKey(prefix: string, nonce: string, lifeS = DEFAULT_KEY_LIFE_S): string {
  return `${prefix}${Math.floor(Date.now() / 1000) + lifeS}.${nonce}`;
}

/** Text of a chat answer, streamed or not. */
export function chatText({ events, text }: CallResult): string {
  if (events.length === 0) {
    const parsed = JSON.parse(text) as { choices: [{ message: { content: string } }] };
    return parsed.choices[0].message.content;
  }
  return events
    .filter(({ event, data }) => event === 'message' && data !== '[DONE]')
    .map(({ data }) => JSON.parse(data) as { choices: [{ delta: { content?: string } }] })
    .map(({ choices: [choice] }) => choice.delta.content ?? '')
    .join('');
}

function encode(
  { body, headers }: CallOptions,
  apiKey: string,
): { body: string | Buffer | undefined; headers: http.OutgoingHttpHeaders } {
  const isObject = typeof body === 'object' && !Buffer.isBuffer(body);
  const bytes = isObject ? JSON.stringify(body) : body;
  const ownHeaders = {
    ...(apiKey === '' ? {} : { authorization: `Bearer ${apiKey}` }),
    ...(bytes === undefined
      ? {}
      : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(bytes) }),
  };
  return { body: bytes, headers: { ...ownHeaders, ...headers } };
}
