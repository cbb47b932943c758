/** HTTP client for targets and entries, with pooled connections or a new connection per request. */
import http, {
  type ClientRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
} from 'node:http';
import net from 'node:net';
import type { Duplex } from 'node:stream';
import type { ConnectionShare } from './connection-share.js';
import { PooledAgent } from './pooled-agent.js';

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const MAX_FREE_CONNECTIONS = 64;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
/** Targets close idle connections after a few seconds, Node.js servers after 5 s. */
const IDLE_CONNECTION_MS = 4000;

export interface OutgoingRequest {
  /** `ip:port` to connect to, already translated by `HttpClient.dial`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /**
   * An object, to which `content-length` is added, or a flat list of names and values, which is
   * sent unchanged.
   */
  readonly headers: OutgoingHttpHeaders | string[];
  readonly body: Buffer;
  /** Opens a new connection, so that it is certain whether a failure happened before the write. */
  readonly newConnection: boolean;
  /** Called when a connection was established for the request. */
  readonly onOpened?: () => void;
}

/** A request that failed without a response. `sent`: some of its bytes may have been written. */
export interface RequestFailure {
  readonly kind: 'failed';
  readonly sent: boolean;
  /** The connection was reused. The target may have closed it as idle, which is not an error. */
  readonly reused: boolean;
  readonly message: string;
  /** A response came, but none that can be passed on. */
  readonly malformed?: true;
}

/** The request was not sent, since the check right before the write returned false. */
export interface RequestVetoed {
  readonly kind: 'vetoed';
}

/** A response whose head has been received; its body has not been read yet. */
export interface ResponseReceived {
  readonly kind: 'answer';
  readonly req: ClientRequest;
  readonly res: IncomingMessage;
  /** When its connection was established, by the clock of the client, ms. */
  readonly openedAt: number;
}

export type RequestResult = ResponseReceived | RequestFailure | RequestVetoed;

const VETOED: RequestVetoed = { kind: 'vetoed' };

/** No content and not modified. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

export interface HttpClientOptions {
  /** Monotonic clock, ms. */
  readonly now?: () => number;
  /** Which free connection is used first: the latest or the earliest one; `fifo` keeps all of them open. */
  readonly scheduling?: 'fifo' | 'lifo';
}

export class HttpClient {
  private readonly agent: PooledAgent;

  private readonly now: () => number;

  /** Open connections without a request. */
  private readonly idle = new Set<net.Socket>();

  private readonly watched = new WeakSet<net.Socket>();

  /** When connections were established. */
  private readonly openedAt = new WeakMap<Duplex, number>();

  /**
   * @param dialMap addresses to connect to in place of a process's own address
   * @param connectTimeoutMs limit for establishing a new connection
   * @param onIdleClosed called with `ip:port` when the other side closes a connection without a request
   * @param connections counts the open connections
   */
  constructor(
    private readonly dialMap: Readonly<Record<string, string>>,
    private readonly connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS,
    private readonly onIdleClosed: (address: string) => void = () => undefined,
    private readonly connections?: ConnectionShare,
    { now = () => performance.now(), scheduling = 'lifo' }: HttpClientOptions = {},
  ) {
    this.now = now;
    this.agent = new PooledAgent(
      { maxFreeSockets: MAX_FREE_CONNECTIONS, timeout: 0, scheduling },
      (socket) => this.onConnecting(socket),
    );
    this.agent.on('free', (socket: net.Socket, { host, port }: http.RequestOptions) => {
      socket.setTimeout(IDLE_CONNECTION_MS);
      // Asking the socket for its peer would make Node.js remember it, which hides a reset later.
      this.watchIdle(socket, `${host}:${port}`);
    });
  }

  private onConnecting(socket: Duplex): void {
    socket.once('connect', () => this.openedAt.set(socket, this.now()));
    const { connections } = this;
    if (!connections || socket.destroyed) return;
    connections.add();
    socket.once('close', () => connections.release());
  }

  private watchIdle(socket: net.Socket, address: string): void {
    if (socket.destroyed || !socket.writable) return;
    this.idle.add(socket);
    if (this.watched.has(socket)) return;
    this.watched.add(socket);
    socket.on('timeout', () => this.idle.delete(socket));
    socket.once('close', () => {
      if (this.idle.delete(socket)) this.onIdleClosed(address);
    });
  }

  /** Address to connect to for the own address of a daemon or target. */
  dial(address: string): string {
    return this.dialMap[address] ?? address;
  }

  /**
   * Sends a request and waits for the head of the response. `mayWrite` is called immediately before
   * the write, and again if a connection had to be established for it. If it returns false, nothing is
   * sent. A request that can't be made, as its address or a header is not valid, has failed. Never rejects.
   */
  async send(
    out: OutgoingRequest,
    mayWrite: () => boolean,
    signal: AbortSignal,
  ): Promise<RequestResult> {
    if (!out.newConnection)
      return mayWrite() ? this.write(out, undefined, signal, mayWrite) : VETOED;
    const socket = await connect(out.address, signal, this.connectTimeoutMs, (opened) =>
      this.onConnecting(opened),
    );
    if (!(socket instanceof net.Socket)) return socket;
    if (socket.destroyed) return failure(false, false, 'connection closed before the write');
    out.onOpened?.();
    if (mayWrite()) return this.write(out, socket, signal);
    socket.destroy();
    return VETOED;
  }

  close(): void {
    this.idle.clear();
    this.agent.destroy();
  }

  private write(
    out: OutgoingRequest,
    socket: net.Socket | undefined,
    signal: AbortSignal,
    mayWrite = (): boolean => true,
  ): Promise<RequestResult> {
    const [host, port] = out.address.split(':');
    const req = attempt(() =>
      http.request({
        host,
        port,
        method: out.method,
        path: out.path,
        headers: Array.isArray(out.headers)
          ? out.headers
          : { ...out.headers, 'content-length': out.body.length },
        signal,
        ...(socket ? { createConnection: () => socket } : { agent: this.agent }),
      }),
    );
    if (req instanceof Error) {
      socket?.destroy();
      return Promise.resolve(failure(false, false, req.message));
    }
    return new Promise((resolve) => {
      let sent = socket !== undefined;
      req.on('socket', (used) => {
        used.setNoDelay(true);
        this.idle.delete(used);
        if (!used.connecting) {
          // A connection that could not be started, for example for want of descriptors, has failed already.
          if (!used.destroyed) sent = true;
          return;
        }
        limitConnectTime(used, this.connectTimeoutMs, () =>
          req.destroy(new Error('connect timeout')),
        );
        // Called before the bytes that wait for the connection are written.
        used.once('connect', () => {
          out.onOpened?.();
          sent = mayWrite();
          if (sent) return;
          resolve(VETOED);
          req.destroy();
        });
      });
      let response: IncomingMessage | undefined;
      req.on('error', (err) => {
        // Otherwise a response without a length would end as if it were complete.
        if (response && !isWholeWithoutBody(response)) response.destroy(err);
        resolve(failure(sent, req.reusedSocket, err.message));
      });
      req.on('response', (res) => {
        response = res;
        const fault = faultOf(res);
        if (fault !== undefined) {
          resolve({ ...failure(true, false, fault), malformed: true });
          req.destroy();
          return;
        }
        if (isCloseDelimited(res)) detectReset(res);
        // Otherwise the rest of the request is held until the target reads it, if it ever does.
        res.once('end', () => {
          if (!req.writableFinished) req.destroy();
        });
        resolve({
          kind: 'answer',
          req,
          res,
          openedAt: this.openedAt.get(res.socket) ?? this.now(),
        });
      });
      // A switch of protocols was not asked for. Without this handler, only `close` would be emitted.
      req.on('upgrade', (_res, used) => {
        used.destroy();
        resolve(failure(true, req.reusedSocket, 'the response switches protocols'));
      });
      req.on('close', () => resolve(failure(sent, req.reusedSocket, 'closed without a response')));
      req.end(out.body);
    });
  }
}

/** Calls `onTimeout` unless a connection is established or closed in time. */
function limitConnectTime(socket: net.Socket, timeoutMs: number, onTimeout: () => void): void {
  const timer = setTimeout(onTimeout, timeoutMs);
  // A listener that stays on a kept connection would keep the request and its response in memory.
  const stop = (): void => {
    clearTimeout(timer);
    socket.off('connect', stop);
    socket.off('close', stop);
  };
  socket.once('connect', stop);
  socket.once('close', stop);
}

/** Why a response can't be passed on, whatever its body is. */
function faultOf({ headers, statusCode = 0 }: IncomingMessage): string | undefined {
  if (statusCode < MIN_FINAL_STATUS || statusCode > MAX_STATUS)
    return `status ${statusCode} is invalid`;
  const coding = headers['transfer-encoding'];
  // The coding is not passed on, and a body that is not in chunks would end like one without a length.
  return coding === undefined || coding.toLowerCase() === 'chunked'
    ? undefined
    : 'the response has an unknown transfer coding';
}

/**
 * Whether a response that has no body by its status is complete. Later releases of Node.js 20 fail the
 * request for bytes after its head, which belong to no response.
 */
function isWholeWithoutBody({ complete, statusCode = 0 }: IncomingMessage): boolean {
  return complete && STATUSES_WITHOUT_BODY.has(statusCode);
}

/** Whether the response has no length and no chunks, so that it ends when the connection closes. */
function isCloseDelimited({ headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/**
 * Fails a response whose connection was reset. When a reset arrives together with the last bytes,
 * libuv reports an ordinary end; such a socket no longer has a remote address.
 */
function detectReset(res: IncomingMessage): void {
  const { socket } = res;
  socket.prependOnceListener('end', () => {
    if (socket.remoteAddress === undefined) res.destroy(new Error('connection reset'));
  });
}

function failure(sent: boolean, reused: boolean, message: string): RequestFailure {
  return { kind: 'failed', sent, reused, message };
}

/** Node.js throws at once for an address or a header that is not valid. */
function attempt<T>(fn: () => T): T | Error {
  try {
    return fn();
  } catch (err) {
    return err instanceof Error ? err : new Error(String(err));
  }
}

function connect(
  address: string,
  signal: AbortSignal,
  timeoutMs: number,
  onOpen: (socket: net.Socket) => void,
): Promise<net.Socket | RequestFailure> {
  const [host, port] = address.split(':');
  const connecting = attempt(() => net.connect({ host, port: Number(port), noDelay: true }));
  if (connecting instanceof Error) {
    return Promise.resolve(failure(false, false, connecting.message));
  }
  const socket: net.Socket = connecting;
  onOpen(socket);
  return new Promise((resolve) => {
    const timer = { handle: undefined as NodeJS.Timeout | undefined };
    const onAbort = (): void => abandon('aborted');
    const finish = (result: net.Socket | RequestFailure): void => {
      clearTimeout(timer.handle);
      signal.removeEventListener('abort', onAbort);
      resolve(result);
    };
    function abandon(message: string): void {
      socket.destroy();
      finish(failure(false, false, message));
    }
    timer.handle = setTimeout(() => abandon('connect timeout'), timeoutMs);
    signal.addEventListener('abort', onAbort, { once: true });
    if (signal.aborted) abandon('aborted');
    socket.on('error', (err) => finish(failure(false, false, err.message)));
    socket.once('connect', () => finish(socket));
  });
}
