/**
 * Client of the gateway for tests and the demo. It reads the list of entries, makes idempotency
 * keys and parses streams and error bodies.
 */
import http from 'node:http';
import type { ChatRequest } from '../engine/chat-completion.js';
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
  /** Opens a new connection for this call instead of using a pooled one. */
  readonly freshConnection?: boolean;
  /** Sends the headers, including the content length, but never the body. */
  readonly withholdBody?: boolean;
}

const DEFAULT_KEY_LIFETIME_S = 600;
const CALL_TIMEOUT_MS = 60_000;

export class Caller {
  private readonly agent = new http.Agent({ keepAlive: true });

  constructor(private readonly apiKey: string) {}

  /** Sends a call. A connection error does not reject; it is reported in the result. */
  call(address: string, options: CallOptions): Promise<CallResult> {
    const { body, headers } = encode(options, this.apiKey);
    const sentAt = performance.now();
    return new Promise((resolve) => {
      const reader = new ResponseReader(sentAt, options.onEvent);
      const req = http.request(`http://${address}${options.path}`, {
        method: options.method,
        headers,
        agent: options.freshConnection ? false : this.agent,
        signal: options.signal,
        timeout: CALL_TIMEOUT_MS,
      });
      req.on('timeout', () => req.destroy(new Error('the call timed out')));
      req.on('response', (res) => {
        reader.read(res);
        res.on('close', () => resolve(reader.result()));
      });
      req.on('error', (err) => {
        reader.broken ??= err.message;
        if (!reader.started) resolve(reader.result());
      });
      if (options.withholdBody) req.flushHeaders();
      else req.end(body);
    });
  }

  /** Sends a chat completion request. */
  chat(
    address: string,
    body: ChatRequest,
    options: Partial<CallOptions> = {},
  ): Promise<CallResult> {
    return this.call(address, { method: 'POST', path: '/v1/chat/completions', body, ...options });
  }

  /**
   * Entries that this caller may use, best first.
   *
   * @throws Error when the response has a status other than 200
   */
  async entries(address: string): Promise<ListedEntry[]> {
    const { status, text } = await this.call(address, { method: 'GET', path: '/v1/entries' });
    if (status !== 200)
      throw new Error(`GET /v1/entries at ${address} returned status ${status}: ${text}`);
    return (JSON.parse(text) as { entries: ListedEntry[] }).entries;
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }
}

/**
 * Makes an idempotency key whose requests are dispatched by the entry with this key prefix.
 *
 * @example makeKey(entry.key_prefix, 'booking-0001')
 */
export function makeKey(prefix: string, nonce: string, lifetimeS = DEFAULT_KEY_LIFETIME_S): string {
  return `${prefix}${Math.floor(Date.now() / 1000) + lifetimeS}.${nonce}`;
}

/** Generated text of a chat completion, streamed or not. */
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
  const encodedBody = isObject ? JSON.stringify(body) : body;
  const defaultHeaders = {
    ...(apiKey === '' ? {} : { authorization: `Bearer ${apiKey}` }),
    ...(encodedBody === undefined
      ? {}
      : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(encodedBody) }),
  };
  return { body: encodedBody, headers: { ...defaultHeaders, ...headers } };
}
