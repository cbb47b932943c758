/** A request of a client on a connection of its own, or on a kept one. */
import http, { type Agent, type IncomingHttpHeaders } from 'node:http';
import { HOST } from './example-config.js';

/** Answer as a client sees it. */
export interface ClientResponse {
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
  /** Keeps connections; a new one is opened when left out. */
  readonly agent?: Agent;
  readonly deadlineMs?: number;
  /** Leaves after this time. */
  readonly abortAfterMs?: number;
}

const DEFAULT_DEADLINE_MS = 3000;

let lastId = 0;

/**
 * Sends a request.
 *
 * @param address `ip:port`
 * @throws Error when the connection fails before the head of an answer
 * @example const { status } = await sendRequest('127.0.0.1:8000', { path: '/read/a' })
 */
export function sendRequest(address: string, req: ClientRequest): Promise<ClientResponse> {
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
        agent: req.agent ?? false,
        headers: {
          host: req.host ?? HOST,
          'request-id': req.id ?? `id-${lastId}`,
          'deadline-ms': String(req.deadlineMs ?? DEFAULT_DEADLINE_MS),
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
    if (req.abortAfterMs !== undefined) setTimeout(() => out.destroy(), req.abortAfterMs);
    out.end(body);
  });
}
