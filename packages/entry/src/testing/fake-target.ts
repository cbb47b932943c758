/** In-process target for tests: responds as scripted and records the requests that it received. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

export interface ReceivedRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

export type TargetScript = (
  req: ReceivedRequest,
  res: ServerResponse,
  target: FakeTarget,
) => void | Promise<void>;

export class FakeTarget {
  readonly requests: ReceivedRequest[] = [];

  /** Number of TCP connections that were opened. */
  connections = 0;

  private readonly sockets = new Set<Socket>();

  private readonly server = http.createServer((req, res) => {
    void this.handle(req, res);
  });

  constructor(private readonly script: TargetScript) {
    this.server.on('connection', (socket) => {
      this.connections += 1;
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Requests other than those for the load report. */
  get calls(): ReceivedRequest[] {
    return this.requests.filter(({ url }) => url !== '/load');
  }

  listen(): Promise<this> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => resolve(this));
    });
  }

  /** Simulates a crash: all connections are reset and new ones are refused. */
  crash(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Resets the open connections and keeps listening. */
  breakConnections(): void {
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    await new Promise((resolve) => {
      req.on('close', resolve);
      req.on('end', resolve);
    });
    const received = {
      method: req.method ?? '',
      url: req.url ?? '',
      headers: req.headers,
      body: Buffer.concat(chunks).toString('utf8'),
    };
    this.requests.push(received);
    if (received.url === '/load') {
      res.writeHead(200, { 'content-type': 'application/json' }).end('{"sequence":1000}');
      return;
    }
    await this.script(received, res, this);
  }
}

/**
 * Text of streamed events, numbered from `first`.
 *
 * @example streamEvents(1, ['a', 'b'])
 */
export function streamEvents(first: number, tokens: readonly string[]): string {
  return tokens
    .map(
      (token, index) =>
        `id: ${first + index}\ndata: {"choices":[{"delta":{"content":"${token}"}}]}\n\n`,
    )
    .join('');
}

/** Last event of a stream, numbered `id`. */
export function doneEvent(id: number): string {
  return `id: ${id}\ndata: [DONE]\n\n`;
}

export const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'stream-id': 's1' };
