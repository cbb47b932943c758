/** HTTP server with a graceful close, which avoids resetting connections that were just set up. */
import { once } from 'node:events';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import net, { type AddressInfo } from 'node:net';
import type { Logger } from '../logs/logger.js';
import type { TimerService } from '../timers/timer-service.js';
import { AcceptBacklog } from './accept-backlog.js';
import { bindWithRetry } from './bind-with-retry.js';
import { ConnectionBudget } from './connection-budget.js';
import type { ConnectionHolder, ConnectionShare } from './connection-share.js';
import { discardBody } from './discard-body.js';
import { halfClose } from './lingering-close.js';
import { closeAfter, isCloseAnnounced, Pipeline } from './pipeline.js';
import { PipelineMemory } from './pipeline-memory.js';

export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void> | void;

export interface ListenerOptions {
  /** `ip:port` to listen on; port 0 selects a free port. */
  readonly address: string;
  readonly handler: RequestHandler;
  /** Called when the handler fails, and for errors of the server after it has started. */
  readonly onError: (err: unknown) => void;
  /** Told when the address is not available at the start. */
  readonly log?: Logger;
  /** With these, the listener half-closes a connection after its last response and reads on for a while. */
  readonly timers?: Pick<TimerService, 'after'>;
  readonly maxHeaderBytes?: number;
  /** Without room for another connection the one that was idle longest is closed, else the new one. */
  readonly connections?: ConnectionShare;
  /** Limit of the requests that wait behind earlier ones of their connections, bytes. */
  readonly maxPipelinedBytes?: number;
  readonly headersTimeoutMs?: number;
  /**
   * Leaves `Expect: 100-continue` to the handler, which calls `res.writeContinue()` when it accepts
   * the body. Otherwise Node.js asks the client for the body before the handler checks the request.
   */
  readonly deferContinue?: boolean;
  /** Responds to a client that sends invalid HTTP, or headers that are too large or too slow. */
  readonly onClientError?: (err: NodeJS.ErrnoException, socket: net.Socket) => void;
}

const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
const DEFAULT_HEADERS_TIMEOUT_MS = 5000;
/** More than a fleet's gateways and operators open to a listener that callers do not use. */
const DEFAULT_MAX_CONNECTIONS = 2048;
/**
 * Requests of a connection that wait for their responses. Those beyond it are not handled, and the
 * connection closes after the responses before them.
 */
const MAX_PIPELINED = 256;
/** Node.js keeps each request that is not handled until the responses before it are sent; no more are read then. */
const MAX_UNHANDLED = 64;
const IDLE_SWEEP_INTERVAL_MS = 100;
/** Idle time before a closing listener closes a connection, as a request may be on its way. */
const CLOSE_IDLE_AFTER_MS = 1000;
/** Wait after which connections in the backlog are reset, unless they can be accepted soon. */
const MAX_ACCEPT_WAIT_MS = 800;
/** Connections that arrive during an iteration of the event loop are seen in the next one. */
const IDLE_ITERATION_MS = 0.1;
/** Under constant load no iteration is idle; the listener then closes after this time. */
const MAX_WAIT_FOR_IDLE_MS = 500;

export class HttpListener implements ConnectionHolder {
  private readonly server: http.Server;

  private closing = false;

  /** Whether the listener was closed, possibly before its address could be bound. */
  private stopped = false;

  /** Number of connections and requests so far. */
  private arrivals = 0;

  private readonly connections = new Set<net.Socket>();

  private readonly share: ConnectionShare;

  /** What requests take up that wait for the responses before them. */
  private readonly waiting: PipelineMemory;

  /** Monotonic time in ms at which each connection was accepted. */
  private readonly acceptedAt = new WeakMap<net.Socket, number>();

  private readonly backlog = new AcceptBacklog();

  /** Whether the address is being bound again. */
  private resetting = false;

  /** Longest time for which connections may have waited to be accepted, ms. */
  private readonly acceptWaits = new WeakMap<net.Socket, number>();

  /** Monotonic time in ms at which each connection without a request in flight became idle. */
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
    this.share =
      options.connections ??
      new ConnectionBudget(DEFAULT_MAX_CONNECTIONS).share({ name: options.address });
    this.share.attach(this);
    this.waiting = new PipelineMemory(options.maxPipelinedBytes);
    this.server.on('connection', (socket: net.Socket) => this.trackIdle(socket));
    if (options.deferContinue === true) {
      this.server.on('checkContinue', (req, res) => {
        void this.dispatch(req, res);
      });
    }
    if (options.onClientError) {
      this.server.on('clientError', (err, socket) => this.onClientError(err, socket as net.Socket));
    }
  }

  /** `ip:port` on which the listener is bound. */
  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Sets the timeouts; a connection uses them from its next request on. */
  setTimeouts(timeouts: {
    readonly headersTimeoutMs: number;
    readonly idleTimeoutMs: number;
  }): void {
    this.server.headersTimeout = timeouts.headersTimeoutMs;
    this.server.keepAliveTimeout = timeouts.idleTimeoutMs;
  }

  /**
   * Starts to listen, and waits for a while if the address is not available.
   *
   * @throws Error when the address can't be bound
   */
  async listen(): Promise<void> {
    await this.bindWhenFree();
    this.server.on('error', this.options.onError);
  }

  private bindWhenFree(): Promise<void> {
    const { address, log } = this.options;
    return bindWithRetry(
      address,
      () => this.bind(),
      log,
      () => !this.stopped,
    );
  }

  private async bind(): Promise<void> {
    const [host, port] = this.options.address.split(':');
    const listening = once(this.server, 'listening');
    this.server.listen(Number(port), host);
    await listening;
  }

  /**
   * Adds `connection: close` to the further responses, except to those with another request behind
   * them on their connection.
   */
  announceClose(): void {
    this.closing = true;
  }

  /**
   * Stops accepting connections, waits for requests in flight and closes idle connections. An idle
   * connection is kept for `CLOSE_IDLE_AFTER_MS`, since a request may be on its way. Requests that
   * arrive behind one in flight are not handled any more.
   */
  async close(): Promise<void> {
    this.closing = true;
    this.stopped = true;
    await this.waitForPending(MAX_WAIT_FOR_IDLE_MS);
    await new Promise<void>((resolve) => {
      const sweep = setInterval(() => this.closeIdleConnections(), IDLE_SWEEP_INTERVAL_MS);
      // http.Server.close destroys idle connections at once, including those just accepted.
      net.Server.prototype.close.call(this.server, () => {
        clearInterval(sweep);
        resolve();
      });
    });
  }

  /**
   * Waits for an iteration of the event loop in which nothing arrives. When a listening socket closes,
   * the operating system resets established connections that were not accepted yet. After such an
   * iteration there are none, and all requests that have arrived were read.
   */
  waitForPending(maxMs: number): Promise<void> {
    const limit = performance.now() + maxMs;
    return new Promise((resolve) => {
      const checkIteration = (startedAt: number, arrivals: number): void => {
        const now = performance.now();
        const idle = this.arrivals === arrivals && now - startedAt <= IDLE_ITERATION_MS;
        if (idle || now >= limit) resolve();
        else setImmediate(checkIteration, now, this.arrivals);
      };
      // The first iteration never counts as idle: it is the one in which the wait began.
      setImmediate(checkIteration, -Infinity, this.arrivals);
    });
  }

  /** Closes at once and aborts requests in flight; for cleanup in tests. */
  destroy(): void {
    this.stopped = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * Time since a connection was accepted, ms. It may have waited for that since it was established.
   *
   * @example listener.connectionAgeMs(req.socket) // 0.3
   */
  connectionAgeMs(socket: net.Socket): number {
    const now = performance.now();
    return now - (this.acceptedAt.get(socket) ?? now);
  }

  /** Longest time for which a connection may have waited to be accepted, ms. */
  acceptWaitMs(socket: net.Socket): number {
    return this.acceptWaits.get(socket) ?? 0;
  }

  /** Whether connections may have waited for so long to be accepted that their callers are about to give up. */
  get isBacklogLate(): boolean {
    return !this.closing && this.backlog.waitMs >= MAX_ACCEPT_WAIT_MS;
  }

  /**
   * Resets the connections that are not accepted yet, so that their callers try another gateway at once. The
   * listener accepts new ones afterwards; those that are open stay.
   */
  async resetBacklog(): Promise<void> {
    if (this.stopped || this.closing || this.resetting) return;
    this.resetting = true;
    this.backlog.onEmptied();
    try {
      // http.Server.close would close idle connections as well.
      net.Server.prototype.close.call(this.server);
      await this.bindWhenFree();
      // The listener may have been closed meanwhile.
      if (this.stopped) this.server.close();
    } catch (err) {
      this.options.onError(err);
    } finally {
      this.resetting = false;
    }
  }

  /** Also a connection whose request has no complete head is idle. */
  get longestIdleSince(): number | undefined {
    const [since] = this.idleSince.values();
    return since;
  }

  closeLongestIdle(): void {
    const [socket] = this.idleSince.keys();
    if (!socket) return;
    socket.destroy();
    this.forget(socket);
  }

  private trackIdle(socket: net.Socket): void {
    this.arrivals += 1;
    const acceptWaitMs = this.backlog.onAccept();
    if (!this.share.admit()) {
      socket.destroy();
      return;
    }
    this.connections.add(socket);
    const now = performance.now();
    this.acceptedAt.set(socket, now);
    this.acceptWaits.set(socket, acceptWaitMs);
    this.idleSince.set(socket, now);
    socket.once('close', () => this.forget(socket));
  }

  private forget(socket: net.Socket): void {
    this.idleSince.delete(socket);
    if (this.connections.delete(socket)) this.share.release();
  }

  private closeIdleConnections(): void {
    const limit = performance.now() - CLOSE_IDLE_AFTER_MS;
    [...this.idleSince]
      .filter(([, since]) => since < limit)
      .forEach(([socket]) => socket.destroy());
  }

  /** The response to invalid HTTP follows those to the requests before it. */
  private onClientError(err: NodeJS.ErrnoException, socket: net.Socket): void {
    const respond = (): void => this.options.onClientError?.(err, socket);
    const pipeline = Pipeline.of(socket);
    // Node.js does the same for a client that ends its connection after a complete request.
    if (socket.readableEnded && pipeline.hasPending) socket.destroy();
    else if (socket.destroyed) respond();
    else pipeline.end(respond);
  }

  private onSent(res: ServerResponse): void {
    if (isCloseAnnounced(res)) this.closeSoon(res.req.socket);
  }

  /** Closes a connection after its last response. */
  private closeSoon(socket: net.Socket): void {
    const { timers } = this.options;
    if (timers) halfClose(socket, timers);
    else socket.destroySoon();
  }

  private async dispatch(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { socket } = req;
    const pipeline = Pipeline.of(socket);
    this.arrivals += 1;
    if (this.stopped && pipeline.size > 0) pipeline.end(() => this.closeSoon(socket));
    const isBehind = pipeline.size > 0;
    if (isBehind && (pipeline.size >= MAX_PIPELINED || !this.waiting.hasRoom(req))) {
      pipeline.end(() => this.closeSoon(socket));
    }
    if (!pipeline.add(res)) {
      // What is left of one read may have thousands of requests.
      if (!this.waiting.addDropped(req)) socket.destroy();
      discardBody(req);
      // Further requests are not read then, though the end of the connection is not seen either. Node.js resumes the
      // connection after the message, so that a pause has to come later.
      if (pipeline.discard() > MAX_UNHANDLED) setImmediate(() => socket.pause());
      return;
    }
    if (isBehind) this.waiting.add(req, res);
    this.idleSince.delete(socket);
    // Node.js closes the connection in a listener of this event.
    res.prependOnceListener('finish', () => this.onSent(res));
    res.once('close', () => {
      pipeline.remove(res);
      if (this.closing) pipeline.announceClose();
      if (pipeline.size === 0 && !socket.destroyed) this.idleSince.set(socket, performance.now());
    });
    if (this.closing) pipeline.announceClose();
    try {
      await this.options.handler(req, res);
    } catch (err) {
      this.options.onError(err);
      if (res.headersSent) {
        res.destroy();
        return;
      }
      closeAfter(res);
      res.writeHead(500).end();
    }
  }
}
