/** HTTP listener for callers: routes requests and sends error responses. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  ResultCodes,
  RunState,
  parseIdempotencyKey,
  type IdempotencyKey,
  type ResultCode,
} from '@marjoramcart/core';
import {
  HttpListener,
  type Logger,
  type Task,
  type TimerService,
  RefusedConnections,
  dropBody,
  type BodyAllocation,
  type BodyMemory,
  lingeringClose,
} from '@marjoramcart/runtime';
import type { EntryMetrics } from '../metrics/entry-metrics.js';
import { CallerResponse, errorBody, type HeaderFields } from '../relay/caller-response.js';
import { rejected, type Rejection } from '../request/call.js';
import type { CallRunner } from '../request/call-runner.js';
import type { EntryState } from '../state/entry-state.js';
import type { SyncTask } from '../sync/sync-task.js';
import { CHAT_PATH, parseChatCall, parsePlainCall, type ParseResult } from './call-parser.js';
import { customerRegions, identify, listEntries } from './identity.js';

const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 5000;
/** Time between the removal from the entry lists and the close of idle connections. */
export const DRAIN_NOTICE_MS = 1000;

export interface CallerTaskOptions {
  readonly address: string;
  readonly state: EntryState;
  readonly timers: TimerService;
  /** Limits the bodies of the calls in progress; absent if they are not limited. */
  readonly bodies?: BodyMemory;
  readonly runner: CallRunner;
  readonly sync: SyncTask;
  readonly metrics: EntryMetrics;
  /** Whether an earlier request with this key, issued by this process, may have run. */
  readonly keyMayHaveRun: (key: IdempotencyKey) => boolean;
  readonly log: Logger;
  readonly drainNoticeMs?: number;
}

export class CallerTask implements Task {
  readonly name = 'callers';

  private readonly listener: HttpListener;

  private readonly refusedConnections: RefusedConnections;

  constructor(private readonly options: CallerTaskOptions) {
    this.refusedConnections = new RefusedConnections(options.timers);
    this.listener = new HttpListener({
      address: options.address,
      log: options.log,
      timers: options.timers,
      handler: (req, res) => this.handle(req, res),
      onError: (err) => options.log.error('request failed', { err }),
      maxHeaderBytes: MAX_HEADER_BYTES,
      deferContinue: true,
      headersTimeoutMs: HEADERS_TIMEOUT_MS,
      onClientError: (err, socket) => this.onClientError(err, socket),
    });
  }

  get address(): string {
    return this.listener.address;
  }

  start(): Promise<void> {
    return this.listener.listen();
  }

  /** Leaves the entry lists, then closes idle connections and waits for the open requests. */
  async stop(): Promise<void> {
    const { state, sync, timers, drainNoticeMs = DRAIN_NOTICE_MS, log, runner } = this.options;
    state.draining = true;
    this.listener.announceClose();
    void sync.sync();
    log.info('draining', { open: runner.openCalls });
    await new Promise<void>((resolve) => {
      timers.after(drainNoticeMs, resolve);
    });
    await this.listener.close();
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const allocation = this.options.bodies?.allocate();
    try {
      await this.respond(req, res, allocation);
    } finally {
      allocation?.release();
    }
  }

  private async respond(
    req: IncomingMessage,
    res: ServerResponse,
    allocation: BodyAllocation | undefined,
  ): Promise<void> {
    const { state, timers, sync } = this.options;
    const arrivedAt = timers.now();
    const callerRevision = req.headers['marjoramcart-revision'];
    if (typeof callerRevision === 'string') await sync.onRevisionHint(Number(callerRevision));
    const { config } = state;
    if (!config) {
      this.reject(req, res, rejected(ResultCodes.EntryNotReady, { close: true }));
      return;
    }
    const identity = identify(config, req.headers);
    if (identity.kind === 'rejected') {
      this.reject(req, res, { ...identity, close: true });
      return;
    }
    const { customer } = identity;
    const [path = ''] = (req.url ?? '').split('?');
    const onBodyWanted = (): void => {
      if (req.headers.expect !== undefined) res.writeContinue();
    };
    const input = { req, config, customer, arrivedAt, allocation, onBodyWanted };
    const route = routeOf(path, req.method ?? '');
    switch (route) {
      case 'chat':
        await this.run(req, res, await parseChatCall(this.options, input));
        return;
      case 'plain':
        await this.run(req, res, await parsePlainCall(this.options, input));
        return;
      case 'entries': {
        const allowed = customerRegions(config, customer);
        const entries = listEntries(allowed, state.self, config, state.view);
        this.json(res, { entries, revision: state.revision });
        return;
      }
      case 'models': {
        const names = Object.keys(config.services).filter(
          (name) =>
            config.services[name]?.kind === 'model' && (customer.services?.includes(name) ?? true),
        );
        this.json(res, { object: 'list', data: names.map((id) => ({ id, object: 'model' })) });
        return;
      }
      default:
        this.reject(req, res, rejected(route, { close: true }));
    }
  }

  private async run(req: IncomingMessage, res: ServerResponse, parsed: ParseResult): Promise<void> {
    if (parsed.kind === 'aborted') {
      res.destroy();
      return;
    }
    if (parsed.kind === 'rejected') {
      this.reject(req, res, parsed);
      return;
    }
    const { call } = parsed;
    // A call with a key continues when its caller disconnects, so that a retry gets the outcome.
    const response = new CallerResponse(res, {
      commonHeaders: () => this.commonHeaders(),
      record: call.key !== undefined,
    });
    await this.options.runner.run(call, response);
  }

  private reject(req: IncomingMessage, res: ServerResponse, rejection: Rejection): void {
    const { code, detail, fields, close, mayDrainBody = false } = rejection;
    const bodyUnread = close === true && !req.complete;
    if (bodyUnread) dropBody(req);
    const response = new CallerResponse(res, {
      commonHeaders: () => this.commonHeaders(),
      record: false,
    });
    const run = this.mayHaveRun(req) ? RunState.Unknown : code.run;
    response.fail(
      { code, run, attempts: 0 },
      {
        fields: { ...(detail === undefined ? {} : { detail }), ...fields },
        close,
        ...(bodyUnread && {
          onWritten: () => lingeringClose(req, this.options.timers, mayDrainBody),
        }),
      },
    );
    this.options.metrics.onResult(code.code, run);
  }

  /** Only the owner of a key knows whether an earlier request with it has run. */
  private mayHaveRun({ headers }: IncomingMessage): boolean {
    const text = headers['idempotency-key'];
    const key = typeof text === 'string' ? parseIdempotencyKey(text) : undefined;
    if (!key) return false;
    return key.bootId !== this.options.state.self.bootId || this.options.keyMayHaveRun(key);
  }

  private json(res: ServerResponse, value: unknown): void {
    res
      .writeHead(200, { 'content-type': 'application/json', ...this.commonHeaders() })
      .end(JSON.stringify(value));
  }

  private commonHeaders(): HeaderFields {
    const { state } = this.options;
    return {
      'marjoramcart-revision': String(state.revision),
      'marjoramcart-entry': state.self.bootId,
      'marjoramcart-region': state.self.region,
    };
  }

  /** Sends an error for invalid HTTP and for headers that are too large or arrive too slowly. */
  private onClientError(err: ClientError, socket: Socket): void {
    if (this.refusedConnections.discard(socket, err.rawPacket?.length ?? 0)) return;
    if (!socket.writable || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const code = clientErrorCode(err.code);
    const body = errorBody({ code, run: code.run });
    const lines = [
      `HTTP/1.1 ${code.status} ${code.name}`,
      'content-type: application/json',
      `content-length: ${Buffer.byteLength(body)}`,
      `marjoramcart-code: ${code.code}`,
      `marjoramcart-run: ${code.run}`,
      'connection: close',
    ];
    this.refusedConnections.refuse(socket, `${lines.join('\r\n')}\r\n\r\n${body}`);
    this.options.metrics.onResult(code.code, code.run);
  }
}

/** HTTP parser errors contain the bytes that were parsed. */
interface ClientError extends NodeJS.ErrnoException {
  readonly rawPacket?: Buffer;
}

type Route = 'chat' | 'plain' | 'entries' | 'models';

function routeOf(path: string, method: string): Route | ResultCode {
  if (path.startsWith('/svc/')) return 'plain';
  const routes: Readonly<Record<string, { method: string; route: Route }>> = {
    [CHAT_PATH]: { method: 'POST', route: 'chat' },
    '/v1/entries': { method: 'GET', route: 'entries' },
    '/v1/models': { method: 'GET', route: 'models' },
  };
  const found = Object.hasOwn(routes, path) ? routes[path] : undefined;
  if (!found) return ResultCodes.NoSuchPath;
  return found.method === method ? found.route : ResultCodes.MethodNotAllowed;
}

function clientErrorCode(code: string | undefined): ResultCode {
  if (code === 'HPE_HEADER_OVERFLOW') return ResultCodes.HeadersTooLarge;
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return ResultCodes.SenderTooSlow;
  return ResultCodes.InvalidRequest;
}
