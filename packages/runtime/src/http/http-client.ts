/** HTTP requests to targets and entries: pooled connections, or a new one for each call. */
import http, {
  type ClientRequest,
  type IncomingMessage,
  type OutgoingHttpHeaders,
} from 'node:http';
import net from 'node:net';

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const MAX_FREE_CONNECTIONS = 64;
/** Targets close idle connections after a few seconds; Node's own servers after 5 s. */
const IDLE_CONNECTION_MS = 4000;

export interface OutgoingRequest {
  /** `ip:port`, already translated for dialling. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** As an object the length of the body is added; as a flat list of pairs they are complete. */
  readonly headers: OutgoingHttpHeaders | string[];
  readonly body: Buffer;
  /** Opens a new connection, so that a failure before the write is certain to be one. */
  readonly newConnection: boolean;
}

/** Why a request has no answer. `sent` tells whether any byte of it may have been written. */
export interface RequestFailure {
  readonly kind: 'failed';
  readonly sent: boolean;
  /** The connection had been used before and was closed by the target: not a sign of a fault. */
  readonly reused: boolean;
  readonly message: string;
}

/** A check right before the write refused the request. */
export interface RequestVetoed {
  readonly kind: 'vetoed';
}

export interface OpenExchange {
  readonly kind: 'answer';
  readonly req: ClientRequest;
  readonly res: IncomingMessage;
}

export type RequestResult = OpenExchange | RequestFailure | RequestVetoed;

const VETOED: RequestVetoed = { kind: 'vetoed' };

export class HttpClient {
  private readonly agent = new http.Agent({
    keepAlive: true,
    maxFreeSockets: MAX_FREE_CONNECTIONS,
    timeout: 0,
    scheduling: 'lifo',
  });

  /**
   * @param dialMap address to dial in place of another one
   * @param connectTimeoutMs how long a new connection may take
   */
  constructor(
    private readonly dialMap: Readonly<Record<string, string>>,
    private readonly connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS,
  ) {
    this.agent.on('free', (socket: net.Socket) => socket.setTimeout(IDLE_CONNECTION_MS));
  }

  /** Address to dial for a daemon's or target's own address. */
  dial(address: string): string {
    return this.dialMap[address] ?? address;
  }

  /**
   * Sends a request and waits for the head of the answer. `mayWrite` is called immediately before
   * the write, after any wait for the connection.
   */
  async send(
    out: OutgoingRequest,
    mayWrite: () => boolean,
    signal: AbortSignal,
  ): Promise<RequestResult> {
    if (!out.newConnection) return mayWrite() ? this.write(out, undefined, signal) : VETOED;
    const socket = await connect(out.address, signal, this.connectTimeoutMs);
    if (!(socket instanceof net.Socket)) return socket;
    if (socket.destroyed) return failure(false, false, 'connection closed before the write');
    if (mayWrite()) return this.write(out, socket, signal);
    socket.destroy();
    return VETOED;
  }

  close(): void {
    this.agent.destroy();
  }

  private write(
    out: OutgoingRequest,
    socket: net.Socket | undefined,
    signal: AbortSignal,
  ): Promise<RequestResult> {
    const [host, port] = out.address.split(':');
    return new Promise((resolve) => {
      let sent = socket !== undefined;
      const req = http.request({
        host,
        port,
        method: out.method,
        path: out.path,
        headers: Array.isArray(out.headers)
          ? out.headers
          : { ...out.headers, 'content-length': out.body.length },
        signal,
        ...(socket ? { createConnection: () => socket } : { agent: this.agent }),
      });
      req.on('socket', (used) => {
        used.setNoDelay(true);
        if (!used.connecting) {
          sent = true;
          return;
        }
        const timer = setTimeout(
          () => req.destroy(new Error('connect timeout')),
          this.connectTimeoutMs,
        );
        used.once('connect', () => {
          sent = true;
          clearTimeout(timer);
        });
        used.once('close', () => clearTimeout(timer));
      });
      let answer: IncomingMessage | undefined;
      req.on('error', (err) => {
        // An answer without a length would otherwise end as if it were complete.
        answer?.destroy(err);
        resolve(failure(sent, req.reusedSocket, err.message));
      });
      req.on('response', (res) => {
        answer = res;
        if (endsWithConnection(res)) watchForReset(res);
        resolve({ kind: 'answer', req, res });
      });
      req.end(out.body);
    });
  }
}

/** Whether only the end of the connection tells the end of the answer. */
function endsWithConnection({ headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/**
 * Fails an answer whose connection was reset. libuv reports a reset that arrives together with the
 * last bytes as an ordinary end; a socket that was reset no longer has a peer address.
 */
function watchForReset(res: IncomingMessage): void {
  const { socket } = res;
  socket.prependOnceListener('end', () => {
    if (socket.remoteAddress === undefined) res.destroy(new Error('connection reset'));
  });
}

function failure(sent: boolean, reused: boolean, message: string): RequestFailure {
  return { kind: 'failed', sent, reused, message };
}

function connect(
  address: string,
  signal: AbortSignal,
  timeoutMs: number,
): Promise<net.Socket | RequestFailure> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = net.connect({ host, port: Number(port), noDelay: true });
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
