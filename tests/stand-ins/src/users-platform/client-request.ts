/** HTTP client of the tests. Sends each request on a new connection, or on one of a keep-alive agent. */
import http, { type Agent, type IncomingHttpHeaders } from 'node:http';
import { HOST } from './example-config.js';

/** Response as the client receives it. */
export interface ClientResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the whole response was received. */
  readonly complete: boolean;
}

export interface ClientRequest {
  readonly path: string;
  readonly id?: string;
  readonly method?: string;
  readonly body?: string;
  /** A header with several values is sent several times. */
  readonly headers?: Record<string, string | string[]>;
  /** Sends the body in chunks, without its length. */
  readonly chunked?: boolean;
  readonly host?: string;
  /** Reuses connections. Without an agent, each request opens a new connection. */
  readonly agent?: Agent;
  readonly deadlineMs?: number;
  /** Closes the connection after this time, ms. */
  readonly abortAfterMs?: number;
  /** Closes the connection once this holds for the part of the body that was received. */
  readonly abortWhen?: (body: string) => boolean;
}

const DEFAULT_DEADLINE_MS = 3000;

let lastId = 0;

/**
 * Sends a request and waits for the whole response.
 *
 * @param address `ip:port`
 * @throws Error when the connection fails before the head of a response arrives
 * @example const { status } = await sendRequest('127.0.0.1:8000', { path: '/read/a' })
 */
export function sendRequest(address: string, req: ClientRequest): Promise<ClientResponse> {
  const [host, port] = address.split(':');
  const body = req.body ?? '';
  const method = req.method ?? (body === '' ? 'GET' : 'POST');
  lastId += 1;
  return new Promise((resolve, reject) => {
    const clientReq = http.request(
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
          ...(body === '' || req.chunked === true
            ? {}
            : { 'content-length': Buffer.byteLength(body) }),
          ...req.headers,
        },
      },
      (res) => {
        const chunks: Buffer[] = [];
        const received = (): string => Buffer.concat(chunks).toString('utf8');
        const finish = (): void =>
          resolve({
            status: res.statusCode ?? 0,
            headers: res.headers,
            body: received(),
            complete: res.complete,
          });
        res.on('data', (chunk: Buffer) => {
          chunks.push(chunk);
          if (req.abortWhen?.(received()) === true) clientReq.destroy();
        });
        res.on('end', finish);
        res.on('error', finish);
      },
    );
    clientReq.on('error', reject);
    if (req.abortAfterMs !== undefined) setTimeout(() => clientReq.destroy(), req.abortAfterMs);
    if (req.chunked === true) clientReq.write(body, () => clientReq.end());
    else clientReq.end(body);
  });
}
