/** Task that serves callers, and requests that other gateways forward. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  pickWeightedService,
  ResultCodes,
  type FleetConfig,
  type RandomSource,
  type ResultCode,
  type Route,
} from '@marjoramcart/core';
import {
  HttpListener,
  lingeringClose,
  readRequestBody,
  RefusedConnections,
  type Logger,
  type Task,
  type TimerService,
} from '@marjoramcart/runtime';
import type { Call } from '../exchange/call.js';
import { ATTEMPTS_HEADER, CallerResponse } from '../exchange/caller-answer.js';
import type { RequestExecutor } from '../exchange/request-executor.js';
import { sendResult } from '../exchange/send-result.js';
import type { GatewayMetrics } from '../metrics/gateway-metrics.js';
import type { CallHead, RequestProtocol } from '../ports/request-protocol.js';
import type { GatewayState } from '../state/gateway-state.js';

/** Names the gateway that forwarded a request. */
export const FORWARDED_BY_HEADER = 'marjoramcart-forwarded-by';

/** Headers of any configuration are read within this size and checked against the limit in force. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Time beyond the idle limit, for a request that is on its way as the limit is reached. */
const IDLE_SLACK_MS = 1000;
/** Callers of a gateway that is not ready or drains use another one at once. */
const OTHER_GATEWAY_MS = 150;
const DEFAULT_LIMITS = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headersTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
} as const;

export interface CallerTaskDeps {
  /** `ip:port` each. */
  readonly callersAddress: string;
  readonly forwardAddress: string;
  readonly state: GatewayState;
  readonly protocol: RequestProtocol;
  readonly executor: RequestExecutor;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
}

export class CallerTask implements Task {
  readonly name = 'callers';

  private readonly callers: HttpListener;

  private readonly forwards: HttpListener;

  private readonly refused: RefusedConnections;

  /** New requests are refused. */
  private refusing = false;

  private inFlight = 0;

  /** Longest idle limit of any configuration so far, which connections may still rely on. */
  private idleTimeoutMs = 0;

  constructor(private readonly parts: CallerTaskDeps) {
    this.refused = new RefusedConnections(parts.timers);
    const { log } = parts;
    const common = {
      maxHeaderBytes: MAX_HEADER_BYTES,
      onError: (err: unknown) => log.error('request failed', { err }),
      onClientError: (err: NodeJS.ErrnoException, socket: Socket) => this.onBadBytes(err, socket),
    };
    this.callers = new HttpListener({
      ...common,
      address: parts.callersAddress,
      handler: (req, res) => this.serve(req, res, false),
    });
    this.forwards = new HttpListener({
      ...common,
      address: parts.forwardAddress,
      handler: (req, res) => this.serve(req, res, true),
    });
    this.applyLimits();
  }

  get requestsInFlight(): number {
    return this.inFlight;
  }

  async start(): Promise<void> {
    await Promise.all([this.callers.listen(), this.forwards.listen()]);
  }

  /** Answers from now on ask callers to close their connections. */
  announceClose(): void {
    this.callers.announceClose();
  }

  /** Refuses requests that arrive from now on. */
  refuseNew(): void {
    this.refusing = true;
  }

  async stop(): Promise<void> {
    this.callers.destroy();
    this.forwards.destroy();
    return Promise.resolve();
  }

  /** Follows the limits of the configuration in force. */
  applyLimits(): void {
    const { headersTimeoutMs, idleTimeoutMs } = this.parts.state.config?.limits ?? DEFAULT_LIMITS;
    this.idleTimeoutMs = Math.max(this.idleTimeoutMs, idleTimeoutMs);
    const idle = this.idleTimeoutMs + IDLE_SLACK_MS;
    this.callers.setLimits({ headersTimeoutMs, idleTimeoutMs: idle });
    this.forwards.setLimits({ headersTimeoutMs, idleTimeoutMs: idle });
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
    forwarded: boolean,
  ): Promise<void> {
    this.inFlight += 1;
    try {
      await this.handle(req, res, forwarded);
    } finally {
      this.inFlight -= 1;
    }
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
    forwarded: boolean,
  ): Promise<void> {
    const { state, protocol, executor, timers } = this.parts;
    const arrivedAt = timers.now();
    const answer = new CallerResponse(res, forwarded);
    const { config } = state;
    if (!config) {
      this.refuse(req, answer, ResultCodes.EntryNotReady);
      return;
    }
    const { limits } = config;
    if (headerBytes(req) > limits.maxHeaderBytes) {
      this.refuse(req, answer, ResultCodes.HeadersTooLarge);
      return;
    }
    const read = protocol.readHead(req);
    if (read.kind === 'invalid') {
      this.refuse(req, answer, ResultCodes.InvalidRequest, undefined, read.message);
      return;
    }
    if (this.refusing && !forwarded) {
      this.refuse(req, answer, ResultCodes.EntryDraining, read.head.id);
      return;
    }
    const { head } = read;
    const body = await readRequestBody(req, limits.maxBodyBytes, timers);
    if (body.kind === 'aborted') return;
    if (body.kind !== 'complete') {
      const tooLarge = body.kind === 'too-large';
      const code = tooLarge ? ResultCodes.BodyTooLarge : ResultCodes.SenderTooSlow;
      this.refuse(req, answer, code, head.id);
      return;
    }
    // A configuration that came into force while the body arrived decides.
    const inForce = state.config ?? config;
    const route = state.routes.match(head.host, head.path);
    const service = route && pickWeightedService(route, this.parts.random);
    if (!route || service === undefined) {
      this.refuse(req, answer, ResultCodes.NoSuchPath, head.id);
      return;
    }
    const attempts = forwarded ? Number(req.headers[ATTEMPTS_HEADER]) || 1 : undefined;
    const by = forwarded ? String(req.headers[FORWARDED_BY_HEADER] ?? 'unknown') : undefined;
    const call = makeCall(head, body.body, route, service, inForce, arrivedAt, by, attempts);
    await executor.run(call, answer);
  }

  /** Answers a request that is not run; a body that was not read is discarded. */
  private refuse(
    req: IncomingMessage,
    answer: CallerResponse,
    code: ResultCode,
    id?: string,
    detail?: string,
  ): void {
    const { log, metrics, state, timers } = this.parts;
    log.info('refuse', {
      id,
      url: req.url,
      result: code.name,
      detail,
      config: state.config?.version ?? 0,
      source_age_ms: Math.round(state.sourceAgeMs),
    });
    metrics.onResult(code.name);
    const later = code === ResultCodes.EntryNotReady || code === ResultCodes.EntryDraining;
    sendResult(answer, code, later ? OTHER_GATEWAY_MS : undefined);
    if (!req.complete) lingeringClose(req, timers, true);
  }

  private onBadBytes(err: NodeJS.ErrnoException, socket: Socket): void {
    const bytes = (err as { rawPacket?: Buffer }).rawPacket?.length ?? 0;
    if (this.refused.discard(socket, bytes)) return;
    const tooLarge = err.code === 'HPE_HEADER_OVERFLOW';
    const tooSlow = err.code === 'ERR_HTTP_REQUEST_TIMEOUT';
    this.parts.log.info('malformed request refused', { cause: err.code, bytes });
    if (!socket.writable || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const status = statusOf(tooLarge, tooSlow);
    this.refused.refuse(
      socket,
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}

function statusOf(tooLarge: boolean, tooSlow: boolean): string {
  if (tooLarge) return '431 Request Header Fields Too Large';
  return tooSlow ? '408 Request Timeout' : '400 Bad Request';
}

/** Bytes of the header lines as they came. */
function headerBytes({ rawHeaders }: IncomingMessage): number {
  // Each line has a colon, a space and a line end; `rawHeaders` lists names and values in turn.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function makeCall(
  head: CallHead,
  body: Buffer,
  route: Route,
  service: string,
  config: FleetConfig,
  arrivedAt: number,
  forwardedBy: string | undefined,
  attempts: number | undefined,
): Call {
  const waitMs = Math.min(head.deadlineMs ?? route.timeoutMs, route.timeoutMs);
  return {
    head,
    route,
    service,
    body,
    forwardedBy,
    configVersion: config.version,
    facts: {
      kind: route.kind,
      resumable: route.resumable,
      maxAttempts: Math.min(attempts ?? route.maxAttempts, route.maxAttempts),
      deadlineAt: arrivedAt + waitMs,
      arrivedAt,
      latencyTargetMs: route.latencyTargetMs,
      patienceMs: Math.min(waitMs, route.patienceMs),
    },
  };
}
