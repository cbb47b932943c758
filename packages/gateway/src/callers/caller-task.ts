/** Task that serves requests of callers and requests forwarded by other gateways. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  AuthFailure,
  authenticate,
  costOf,
  pickWeightedService,
  priorityScaleOf,
  ResultCodes,
  RouteKind,
  type AuthVerdict,
  type FleetConfig,
  type FleetCustomer,
  type RandomSource,
  type ResultCode,
  type Route,
  type RouteUsage,
} from '@marjoramcart/core';
import {
  BodyMemory,
  discardBody,
  HttpListener,
  lingeringClose,
  readRequestBody,
  RefusedConnections,
  RejectionCount,
  type BodyAllocation,
  TurnQueue,
  type Logger,
  type Task,
  type TimerService,
  continueReading,
  holdReading,
} from '@marjoramcart/runtime';
import type { Call } from '../exchange/call.js';
import {
  ATTEMPTS_HEADER,
  CallerResponse,
  CONFIG_HEADER,
  CUSTOMER_HEADER,
  VERSION_HEADER,
  decodeText,
} from '../exchange/caller-response.js';
import type { GatewayConnections } from '../connections/gateway-connections.js';
import type { GatewayDirectory } from '../directory/gateway-directory.js';
import type { RequestExecutor } from '../exchange/request-executor.js';
import { sendResult } from '../exchange/send-result.js';
import { UnreadResponses } from '../exchange/unread-responses.js';
import type { GatewayMetrics } from '../metrics/gateway-metrics.js';
import type { CallHead, CallHeadResult, RequestProtocol } from '../ports/request-protocol.js';
import type { QuotaTask } from '../quota/quota-task.js';
import type { GatewaySettings } from '../settings.js';
import type { GatewayState } from '../state/gateway-state.js';
import { usedBeforeReadMs } from './arrival-estimate.js';
import type { ConfigCatchUp } from './config-catch-up.js';

/** Request header with the name of the gateway that forwarded the request. */
export const FORWARDED_BY_HEADER = 'marjoramcart-forwarded-by';

/**
 * Limit of the HTTP parser. The limit of the configuration in force is checked afterwards, since it
 * can change while the listener is open.
 */
const MAX_HEADER_BYTES = 64 * 1024;
/**
 * Added to the idle timeout of the configuration, so that the listener doesn't close a connection on
 * which a request is already in transit.
 */
const IDLE_SLACK_MS = 1000;
/** Result codes of bodies that are not read to their end. */
const BODY_REFUSALS = {
  'too-large': ResultCodes.BodyTooLarge,
  'too-slow': ResultCodes.SenderTooSlow,
  'no-memory': ResultCodes.BodyMemoryFull,
} as const;
/** Result codes of requests that are not accepted from any customer. */
const AUTH_REFUSALS: Readonly<Record<AuthFailure, ResultCode>> = {
  [AuthFailure.Missing]: ResultCodes.MissingApiKey,
  [AuthFailure.Malformed]: ResultCodes.MissingApiKey,
  [AuthFailure.Repeated]: ResultCodes.MissingApiKey,
  [AuthFailure.Unknown]: ResultCodes.UnknownApiKey,
  [AuthFailure.Shared]: ResultCodes.UnknownApiKey,
  [AuthFailure.Outdated]: ResultCodes.ConfigurationBehind,
};
/** Refusals of one gateway while another one can serve the caller. */
const OTHER_GATEWAY_CODES: ReadonlySet<ResultCode> = new Set([
  ResultCodes.EntryNotReady,
  ResultCodes.EntryDraining,
  ResultCodes.ConfigurationBehind,
]);
const OTHER_GATEWAY_RETRY_AFTER_MS = 150;
/** Upper bound of the random share that is added to a longer delay, so that retries are spread. */
const RETRY_AFTER_SPREAD = 0.3;
/** Retry delay while bodies of other requests take up the memory. */
const BODY_MEMORY_RETRY_AFTER_MS = 500;
/** Limits until the first configuration is in force. */
const DEFAULT_LIMITS = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headersTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
} as const;

/** What another gateway tells about a request that it forwards. */
interface Forward {
  /** Name of the gateway. */
  readonly by: string;
  /** Version of the configuration by which it was routed. */
  readonly configVersion: number;
  /** How many targets may run it. */
  readonly attempts: number;
  readonly requiredVersion?: string;
  readonly customer?: string;
}

/** Head of a request, and the configuration by which it was decoded. */
interface DecodedHead {
  readonly head: CallHead;
  readonly config: FleetConfig;
}

/** A request whose route and customer were looked for by a configuration. */
interface Admitted extends DecodedHead {
  readonly kind: 'admitted';
  /** Undefined if the configuration has no route for it; the customer was not looked for then. */
  readonly route: Route | undefined;
  readonly customer?: FleetCustomer;
}

/** Whether a request is accepted, and from whom. */
type Admission =
  | Admitted
  | {
      readonly kind: 'refused';
      readonly head: CallHead;
      readonly code: ResultCode;
      readonly detail: string;
    };

export interface CallerTaskDeps {
  /** `ip:port` each. */
  readonly callersAddress: string;
  readonly forwardAddress: string;
  /** Limit of the request bodies that are held at the same time, bytes. */
  readonly maxBodyMemoryBytes: number;
  /** Limit of the request bodies that are being read. */
  readonly maxOpenBodies: number;
  /** Limit of the short responses that callers have not read, bytes. */
  readonly maxUnreadResponseBytes: number;
  readonly connections: Pick<GatewayConnections, 'callers' | 'forwards'>;
  /** Limit of the requests of a listener that wait behind earlier ones of their connections, bytes. */
  readonly maxPipelinedBytes: number;
  readonly state: GatewayState;
  readonly configCatchUp: ConfigCatchUp;
  readonly directory: Pick<GatewayDirectory, 'acceptsInMs'>;
  readonly usage: Pick<RouteUsage, 'onRequest'>;
  /** Limits of customers over all gateways. */
  readonly quota: Pick<QuotaTask, 'take'>;
  readonly protocol: RequestProtocol;
  readonly executor: RequestExecutor;
  readonly revocation: Pick<GatewaySettings['customers'], 'revokeMs' | 'revokeFailClosed'>;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
}

export class CallerTask implements Task {
  readonly name = 'callers';

  private readonly callerListener: HttpListener;

  private readonly forwardListener: HttpListener;

  private readonly refusedConnections: RefusedConnections;

  /** Requests of callers that may last longer are refused, monotonic ms. */
  private acceptUntil = Infinity;

  private inFlight = 0;

  private readonly bodyMemory: BodyMemory;

  private readonly unreadResponses: UnreadResponses;

  private readonly turns = new TurnQueue({
    isBacklogLate: () => this.callerListener.isBacklogLate,
    onBacklogLeft: () => this.resetBacklog(),
  });

  /** Resolves at the end of the last stream of a connection. */
  private readonly streams = new WeakMap<Socket, Promise<void>>();

  /** Longest idle timeout of any configuration so far; open connections may still rely on it. */
  private idleTimeoutMs = 0;

  constructor(private readonly deps: CallerTaskDeps) {
    this.refusedConnections = new RefusedConnections(deps.timers);
    const { log } = deps;
    const rejections = new RejectionCount((count) =>
      log.warn('unfinished bodies rejected, as bodies take up too much', { count }),
    );
    this.bodyMemory = new BodyMemory(deps.maxBodyMemoryBytes, {
      maxOpen: deps.maxOpenBodies,
      onReject: (reason) => {
        deps.metrics.onBodyRejected(reason);
        rejections.add();
      },
    });
    const closed = new RejectionCount((count) =>
      log.warn('connections closed whose callers do not read their responses', { count }),
    );
    this.unreadResponses = new UnreadResponses({
      maxBytes: deps.maxUnreadResponseBytes,
      onClosed: () => closed.add(),
    });
    const common = {
      log,
      timers: deps.timers,
      maxHeaderBytes: MAX_HEADER_BYTES,
      maxPipelinedBytes: deps.maxPipelinedBytes,
      onError: (err: unknown) => log.error('request failed', { err }),
      onClientError: (err: NodeJS.ErrnoException, socket: Socket) =>
        this.onClientError(err, socket),
    };
    this.callerListener = new HttpListener({
      ...common,
      address: deps.callersAddress,
      connections: deps.connections.callers,
      handler: (req, res) => this.serve(req, res, false),
    });
    this.forwardListener = new HttpListener({
      ...common,
      address: deps.forwardAddress,
      connections: deps.connections.forwards,
      handler: (req, res) => this.serve(req, res, true),
    });
    this.applyLimits();
  }

  get requestsInFlight(): number {
    return this.inFlight;
  }

  /** Bytes of the request bodies that are held or announced. */
  get heldBodyBytes(): number {
    return this.bodyMemory.heldBytes;
  }

  /** Bytes of the short responses that callers have not read. */
  get unreadResponseBytes(): number {
    return this.unreadResponses.heldBytes;
  }

  async start(): Promise<void> {
    await Promise.all([this.callerListener.listen(), this.forwardListener.listen()]);
  }

  /** Makes all further responses ask callers to close their connections. */
  announceClose(): void {
    this.callerListener.announceClose();
  }

  /**
   * Refuses further requests of callers that may last longer; forwarded requests are still served.
   *
   * @param endAt monotonic ms
   */
  acceptOnlyUntil(endAt: number): void {
    this.acceptUntil = endAt;
  }

  /** Refuses all further requests of callers; forwarded requests are still served. */
  refuseNew(): void {
    this.acceptUntil = -Infinity;
  }

  /** Waits until all requests of callers that have arrived are refused; the end of the listener resets them. */
  refusePending(maxMs: number): Promise<void> {
    return this.callerListener.waitForPending(maxMs);
  }

  async stop(): Promise<void> {
    this.callerListener.destroy();
    this.forwardListener.destroy();
    return Promise.resolve();
  }

  /** Applies the limits of the configuration in force to the listeners. */
  applyLimits(): void {
    const { headersTimeoutMs, idleTimeoutMs } = this.deps.state.config?.limits ?? DEFAULT_LIMITS;
    this.idleTimeoutMs = Math.max(this.idleTimeoutMs, idleTimeoutMs);
    const listenerIdleMs = this.idleTimeoutMs + IDLE_SLACK_MS;
    this.callerListener.setTimeouts({ headersTimeoutMs, idleTimeoutMs: listenerIdleMs });
    this.forwardListener.setTimeouts({ headersTimeoutMs, idleTimeoutMs: listenerIdleMs });
  }

  /** Resets the connections of callers that have waited for long to be accepted. */
  private resetBacklog(): void {
    this.deps.log.warn('connections reset that waited to be accepted', {
      in_flight: this.inFlight,
    });
    void this.callerListener.resetBacklog();
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
    forwarded: boolean,
  ): Promise<void> {
    this.inFlight += 1;
    const response = new CallerResponse(res, forwarded, undefined, this.unreadResponses);
    const allocation = this.bodyMemory.allocate();
    try {
      await this.handle(req, response, forwarded, allocation).finally(() => allocation.release());
      // A caller that reads slowly has not received the response yet.
      await response.closed;
    } finally {
      this.inFlight -= 1;
    }
  }

  private async handle(
    req: IncomingMessage,
    response: CallerResponse,
    forwarded: boolean,
    allocation: BodyAllocation,
  ): Promise<void> {
    const { state, executor, timers } = this.deps;
    const arrivedAt = timers.now();
    const listener = forwarded ? this.forwardListener : this.callerListener;
    const connection = {
      connectionAgeMs: listener.connectionAgeMs(req.socket),
      acceptWaitMs: listener.acceptWaitMs(req.socket),
    };
    const { config } = state;
    if (!config) {
      this.refuse(req, response, ResultCodes.EntryNotReady);
      return;
    }
    const { limits } = config;
    if (headerBytes(req) > limits.maxHeaderBytes) {
      this.refuse(req, response, ResultCodes.HeadersTooLarge);
      return;
    }
    const decoded = this.readHead(req);
    if (decoded.kind === 'invalid') {
      this.refuse(req, response, ResultCodes.InvalidRequest, undefined, decoded.message);
      return;
    }
    if (!forwarded && !this.endsInTime(decoded.head, arrivedAt)) {
      const { id, host } = decoded.head;
      this.refuse(req, response, ResultCodes.EntryDraining, id, undefined, host);
      return;
    }
    const streamBefore = this.streams.get(req.socket);
    if (state.routes.match(decoded.head.host, decoded.head.path)?.kind === RouteKind.Stream) {
      this.streams.set(req.socket, response.closed);
    }
    const forward = forwarded ? readForward(req) : undefined;
    // What arrives while the request waits for a configuration would be queued without a limit.
    const mayWait = state.configBehindMs > 0 || (forward?.configVersion ?? 0) > config.version;
    if (mayWait) holdReading(req);
    if (forward && !(await this.deps.configCatchUp.reach(forward.configVersion, forward.by))) {
      this.refuse(req, response, ResultCodes.ConfigurationBehind, decoded.head.id);
      return;
    }
    const early = await this.admitCustomer(req, { head: decoded.head, config }, forward);
    if (early.kind === 'refused') {
      this.refuse(req, response, early.code, early.head.id, early.detail);
      return;
    }
    if (response.disconnected) return;
    continueReading(req);
    const body = await readRequestBody(req, limits.maxBodyBytes, timers, allocation);
    if (body.kind === 'aborted') return;
    if (body.kind !== 'complete') {
      this.refuse(req, response, BODY_REFUSALS[body.kind], early.head.id);
      return;
    }
    // A stream that is interrupted ends its connection, and with it the responses behind it.
    await streamBefore;
    await this.turns.next();
    if (response.disconnected) {
      const ageMs = Math.round(timers.now() - arrivedAt);
      this.deps.log.info('caller left before its turn', { id: early.head.id, age_ms: ageMs });
      return;
    }
    // The shutdown may have proceeded while the body was received.
    if (!forwarded && !this.endsInTime(early.head, arrivedAt)) {
      const { id, host } = early.head;
      this.refuse(req, response, ResultCodes.EntryDraining, id, undefined, host);
      return;
    }
    const admitted = await this.admitAgain(req, early, forward);
    if (admitted.kind === 'refused') {
      this.refuse(req, response, admitted.code, admitted.head.id, admitted.detail);
      return;
    }
    const { head, route, customer } = admitted;
    const service = route && pickWeightedService(route, this.deps.random);
    if (!route || service === undefined) {
      const isBehind = state.configBehindMs > 0;
      const code = isBehind ? ResultCodes.ConfigurationBehind : ResultCodes.NoSuchPath;
      this.refuse(req, response, code, head.id);
      return;
    }
    if (!forwarded && route.regions.kind === 'only') this.deps.usage.onRequest(route);
    const call = makeCall(
      head,
      body.body,
      route,
      service,
      customer,
      admitted.config,
      arrivedAt,
      forward,
      connection,
    );
    await this.runCharged(call, response, () => executor.run(call, response));
  }

  /** Runs a call within its customer's limit; what a forward costs was charged where it arrived. */
  private async runCharged(
    { customer, forwardedBy, head, route, facts }: Call,
    response: CallerResponse,
    run: () => Promise<void>,
  ): Promise<void> {
    if (!customer || forwardedBy !== undefined) {
      await run();
      return;
    }
    const decision = await this.deps.quota.take({
      customer: customer.name,
      cost: costOf(customer.limit, head.prompt),
      latencyTargetMs: route.latencyTargetMs,
      remainingMs: facts.deadlineAt - this.deps.timers.now(),
    });
    if (decision.kind === 'refused') {
      this.deps.metrics.onRefusal(ResultCodes.RateLimited.name);
      sendResult(response, ResultCodes.RateLimited, decision.retryAfterMs);
      return;
    }
    await run();
    if (!response.mayHaveRun) decision.refund();
  }

  /** Decodes the head of a request, with its API key where the configuration in force has customers. */
  private readHead(req: IncomingMessage): CallHeadResult {
    return this.deps.protocol.readHead(req, this.deps.state.customers !== undefined);
  }

  /**
   * Matches a request and finds its customer, before its body is read. Called once for each request; a
   * request whose route is unknown is admitted by `admitAgain`.
   */
  private async admitCustomer(
    req: IncomingMessage,
    decoded: DecodedHead,
    forward: Forward | undefined,
  ): Promise<Admission> {
    return this.identify(req, decoded, forward);
  }

  /**
   * Admits a request again whose body is complete, if its route was unknown before or the
   * configuration has changed since.
   */
  private async admitAgain(
    req: IncomingMessage,
    early: Admitted,
    forward: Forward | undefined,
  ): Promise<Admission> {
    const { state } = this.deps;
    if (early.route && state.config === early.config) return early;
    await this.waitForRoute(early.head);
    return this.identify(req, early, forward);
  }

  /**
   * Finds the route and the customer of a request by the configuration in force; an unknown key waits
   * for a newer one if there is one.
   */
  private async identify(
    req: IncomingMessage,
    before: DecodedHead,
    forward: Forward | undefined,
    waited = false,
  ): Promise<Admission> {
    const { state, configCatchUp, metrics } = this.deps;
    const { config = before.config } = state;
    const decoded = config === before.config ? undefined : this.readHead(req);
    const head = decoded?.kind === 'call' ? decoded.head : before.head;
    const route = state.routes.match(head.host, head.path);
    const admitted: Admitted = { kind: 'admitted', head, route, config };
    if (!route) return admitted;
    const verdict = this.authenticate(head, route, forward);
    if (verdict.kind === 'accepted') return { ...admitted, ...verdict, kind: 'admitted' };
    if (verdict.kind === 'wait' && !waited) {
      await configCatchUp.reachNewest();
      return this.identify(req, admitted, forward, true);
    }
    const failure = verdict.kind === 'refused' ? verdict.failure : AuthFailure.Outdated;
    metrics.onAuthFailure(failure);
    return { kind: 'refused', head, code: AUTH_REFUSALS[failure], detail: `API key: ${failure}` };
  }

  private authenticate(head: CallHead, route: Route, forward: Forward | undefined): AuthVerdict {
    const { state, revocation } = this.deps;
    const { customers, sourceAgeMs, configBehindMs } = state;
    const forwardedFor = forward?.customer;
    if (!customers) {
      return forwardedFor === undefined
        ? { kind: 'accepted' }
        : { kind: 'refused', failure: AuthFailure.Outdated };
    }
    const credentials = {
      apiKey: head.apiKey ?? { kind: 'missing' as const },
      isPublic: route.isPublic === true,
      ...(forwardedFor === undefined ? {} : { forwardedFor }),
    };
    return authenticate(customers, credentials, { ...revocation, sourceAgeMs, configBehindMs });
  }

  /** Whether a request is answered before this gateway stops accepting requests. */
  private endsInTime(head: CallHead, arrivedAt: number): boolean {
    if (this.acceptUntil === Infinity) return true;
    const route = this.deps.state.routes.match(head.host, head.path);
    return route !== undefined && arrivedAt + longestWaitMs(head, route) <= this.acceptUntil;
  }

  /** Waits for a newer configuration if there is one and the one in force has no route for a request. */
  private async waitForRoute({ host, path }: CallHead): Promise<void> {
    const { state, configCatchUp } = this.deps;
    if (state.configBehindMs === 0 || state.routes.match(host, path)) return;
    await configCatchUp.reachNewest();
  }

  /** Sends a refusal for a request that is not run, and discards the rest of its body. */
  private refuse(
    req: IncomingMessage,
    response: CallerResponse,
    code: ResultCode,
    id?: string,
    detail?: string,
    host?: string,
  ): void {
    const { log, metrics, state, timers } = this.deps;
    log.info('refuse', {
      id,
      url: req.url,
      result: code.name,
      detail,
      config: state.config?.version ?? 0,
      newest_config: state.newestConfigVersion,
      config_behind_ms: Math.round(state.configBehindMs),
      source_age_ms: Math.round(state.sourceAgeMs),
      body_bytes: this.bodyMemory.heldBytes || undefined,
      open_bodies: this.bodyMemory.openBodies || undefined,
    });
    metrics.onRefusal(code.name);
    discardBody(req);
    response.onSent(() => {
      if (!req.complete) lingeringClose(req, timers, true);
    });
    sendResult(response, code, this.retryAfterMs(code, host));
  }

  private retryAfterMs(code: ResultCode, host: string | undefined): number | undefined {
    const { directory, random } = this.deps;
    if (code === ResultCodes.BodyMemoryFull) {
      return BODY_MEMORY_RETRY_AFTER_MS * (1 + random.next() * RETRY_AFTER_SPREAD);
    }
    if (!OTHER_GATEWAY_CODES.has(code)) return undefined;
    const acceptsInMs = host === undefined ? 0 : directory.acceptsInMs(host);
    if (acceptsInMs === 0) return OTHER_GATEWAY_RETRY_AFTER_MS;
    return acceptsInMs * (1 + random.next() * RETRY_AFTER_SPREAD);
  }

  private onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    const bytes = (err as { rawPacket?: Buffer }).rawPacket?.length ?? 0;
    if (this.refusedConnections.discard(socket, bytes)) return;
    const tooLarge = err.code === 'HPE_HEADER_OVERFLOW';
    const tooSlow = err.code === 'ERR_HTTP_REQUEST_TIMEOUT';
    this.deps.log.info('refused a request that could not be parsed', { cause: err.code, bytes });
    if (!socket.writable || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const status = statusLineOf(tooLarge, tooSlow);
    this.refusedConnections.refuse(
      socket,
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}

function statusLineOf(tooLarge: boolean, tooSlow: boolean): string {
  if (tooLarge) return '431 Request Header Fields Too Large';
  return tooSlow ? '408 Request Timeout' : '400 Bad Request';
}

/** Size of the request headers as received, bytes. */
function headerBytes({ rawHeaders }: IncomingMessage): number {
  // Name and value alternate in `rawHeaders`; each line adds a colon, a space and a line end.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

/** Longest time from the arrival of a request to its final response, ms. */
function longestWaitMs({ deadlineMs }: CallHead, { timeoutMs }: Route): number {
  return Math.min(deadlineMs ?? timeoutMs, timeoutMs);
}

/** Reads what another gateway tells about a request that it forwards. */
function readForward({ headers }: IncomingMessage): Forward {
  const requiredVersion = decodeText(headers[VERSION_HEADER]);
  const customer = headers[CUSTOMER_HEADER];
  return {
    by: String(headers[FORWARDED_BY_HEADER] ?? 'unknown'),
    configVersion: Number(headers[CONFIG_HEADER]) || 0,
    attempts: Number(headers[ATTEMPTS_HEADER]) || 1,
    ...(requiredVersion === undefined ? {} : { requiredVersion }),
    // A name that can't be decoded is that of no customer.
    ...(customer === undefined ? {} : { customer: decodeText(customer) ?? '' }),
  };
}

function makeCall(
  head: CallHead,
  body: Buffer,
  route: Route,
  service: string,
  customer: FleetCustomer | undefined,
  config: FleetConfig,
  arrivedAt: number,
  forward: Forward | undefined,
  connection: Pick<Call, 'connectionAgeMs' | 'acceptWaitMs'>,
): Call {
  const waitMs = longestWaitMs(head, route);
  const requiredVersion = forward?.requiredVersion;
  const attempts = forward?.attempts ?? route.maxAttempts;
  return {
    head,
    route,
    service,
    ...(customer ? { customer } : {}),
    priority: priorityScaleOf(config).of(customer, route),
    body,
    forwardedBy: forward?.by,
    ...connection,
    configVersion: config.version,
    ...(requiredVersion === undefined ? {} : { requiredVersion }),
    facts: {
      kind: route.kind,
      resumable: route.resumable,
      maxAttempts: Math.min(attempts, route.maxAttempts),
      deadlineAt: arrivedAt + waitMs - usedBeforeReadMs(connection, waitMs),
      arrivedAt,
      latencyTargetMs: route.latencyTargetMs,
      patienceMs: Math.min(waitMs, route.patienceMs),
      resumed: route.kind === RouteKind.Stream && head.resumeAfter !== undefined,
    },
  };
}
