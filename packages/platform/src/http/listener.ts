/** HTTP listener with a graceful close. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void> | void;

export interface ListenerOptions {
  /** `ip:port`; port 0 takes a free one. */
  readonly address: string;
  readonly handler: RequestHandler;
  readonly onError: (err: unknown) => void;
  readonly maxHeaderBytes?: number;
  readonly headersTimeoutMs?: number;
  /**
   * Leaves `Expect: 100-continue` to the handler, which calls `res.writeContinue()` once it wants
   * the body. Otherwise the client is told to send the body before the handler has checked anything.
   */
  readonly deferContinue?: boolean;
  /** Answers a message that is not HTTP or whose headers are too large or too slow. */
  readonly onClientError?: (err: NodeJS.ErrnoException, socket: import('node:net').Socket) => void;
}

const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
const DEFAULT_HEADERS_TIMEOUT_MS = 5000;
const IDLE_SWEEP_MS = 100;

export class HttpListener {
  private readonly server: http.Server;

  private closing = false;

  constructor(private readonly options: ListenerOptions) {
    const headersTimeoutMs = options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS;
    this.server = http.createServer(
      {
        maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
        headersTimeout: headersTimeoutMs,
        connectionsCheckingInterval: 500,
        requestTimeout: 0,
        noDelay: true,
      },
      (req, res) => {
        void this.dispatch(req, res);
      },
    );
    if (options.deferContinue === true) {
      this.server.on('checkContinue', (req, res) => {
        void this.dispatch(req, res);
      });
    }
    if (options.onClientError) {
      this.server.on('clientError', (err, socket) =>
        options.onClientError?.(err, socket as import('node:net').Socket),
      );
    }
  }

  /** `ip:port` that the listener is bound to. */
  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  listen(): Promise<void> {
    const [host, port] = this.options.address.split(':');
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, () => {
        this.server.off('error', reject);
        this.server.on('error', this.options.onError);
        resolve();
      });
    });
  }

  /** Answers from now on ask the client to close its connection. */
  announceClose(): void {
    this.closing = true;
  }

  /** Stops accepting connections, closes idle ones and waits for requests in flight. */
  close(): Promise<void> {
    this.closing = true;
    return new Promise((resolve) => {
      // A connection whose answer began before the close becomes idle later and would stay open
      // until the keep-alive timeout.
      const sweep = setInterval(() => this.server.closeIdleConnections(), IDLE_SWEEP_MS);
      this.server.close(() => {
        clearInterval(sweep);
        resolve();
      });
      this.server.closeIdleConnections();
    });
  }

  /** Closes at once, cutting off what is in flight. For clean-up in tests. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async dispatch(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.closing) res.setHeader('connection', 'close');
    try {
      await this.options.handler(req, res);
    } catch (err) {
      this.options.onError(err);
      if (!res.headersSent) res.writeHead(500, { connection: 'close' }).end();
      else res.destroy();
    }
  }
}
