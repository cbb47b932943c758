/** HTTP listener with a graceful close. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import net, { type AddressInfo } from 'node:net';

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
  readonly onClientError?: (err: NodeJS.ErrnoException, socket: net.Socket) => void;
}

const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
const DEFAULT_HEADERS_TIMEOUT_MS = 5000;
const IDLE_SWEEP_MS = 100;
/** Time for a request that is on its way on an idle connection when the listener closes. */
const CLOSE_IDLE_AFTER_MS = 1000;
/** A turn of the event loop this short handled no connection that was waiting to be accepted. */
const QUIET_TURN_MS = 0.1;
/** Under constant load no turn is quiet; the listener then closes all the same. */
const MAX_WAIT_FOR_QUIET_MS = 500;

export class HttpListener {
  private readonly server: http.Server;

  private closing = false;

  /** When each connection without a request in flight became idle, monotonic ms. */
  private readonly idleSince = new Map<net.Socket, number>();

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
    this.server.on('connection', (socket: net.Socket) => this.track(socket));
    if (options.deferContinue === true) {
      this.server.on('checkContinue', (req, res) => {
        void this.dispatch(req, res);
      });
    }
    if (options.onClientError) {
      this.server.on('clientError', (err, socket) =>
        options.onClientError?.(err, socket as net.Socket),
      );
    }
  }

  /** `ip:port` that the listener is bound to. */
  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Applies to connections from their next request on. */
  setLimits(limits: { readonly headersTimeoutMs: number; readonly idleTimeoutMs: number }): void {
    this.server.headersTimeout = limits.headersTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
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

  /**
   * Stops accepting connections, waits for requests in flight and closes connections that stay
   * idle. A connection without a request is kept for a while, since a request may be on its way.
   */
  async close(): Promise<void> {
    this.closing = true;
    await quietTurn();
    await new Promise<void>((resolve) => {
      const sweep = setInterval(() => this.closeLongIdle(), IDLE_SWEEP_MS);
      // The close of http.Server destroys idle connections at once, also those just accepted.
      net.Server.prototype.close.call(this.server, () => {
        clearInterval(sweep);
        resolve();
      });
    });
  }

  /** Closes at once, cutting off what is in flight. For clean-up in tests. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private track(socket: net.Socket): void {
    this.idleSince.set(socket, performance.now());
    socket.once('close', () => this.idleSince.delete(socket));
  }

  private closeLongIdle(): void {
    const limit = performance.now() - CLOSE_IDLE_AFTER_MS;
    [...this.idleSince]
      .filter(([, since]) => since < limit)
      .forEach(([socket]) => socket.destroy());
  }

  private async dispatch(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { socket } = req;
    this.idleSince.delete(socket);
    res.once('close', () => {
      if (!socket.destroyed) this.idleSince.set(socket, performance.now());
    });
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

/**
 * Waits for a turn of the event loop without work. The kernel resets connections that it has set up
 * and that are not accepted when the listening socket closes; after such a turn there are none.
 */
async function quietTurn(): Promise<void> {
  const limit = performance.now() + MAX_WAIT_FOR_QUIET_MS;
  await new Promise<void>((resolve) => {
    const turn = (startedAt: number): void => {
      const now = performance.now();
      if (now - startedAt <= QUIET_TURN_MS || now >= limit) resolve();
      else setImmediate(turn, now);
    };
    // The first turn is never quiet: it ends the one in which `close` was called.
    setImmediate(turn, -Infinity);
  });
}
