/** HTTP listener for other daemons: serves `/rpc` and `/forward`. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  ResultCodes,
  RunState,
  allowedRegions,
  checkForward,
  isSuspectVisible,
  parseIdempotencyKey,
  type ConfigView,
  type KeyTable,
  type ResultCode,
  type SuspectRecord,
} from '@marjoramcart/core';
import {
  AUTH_HEADER,
  HttpListener,
  RPC_PATH,
  RpcServer,
  SENDER_HEADER,
  type Logger,
  type MessageAuthenticator,
  type Task,
  type TimerService,
  readRequestBody,
  dropBody,
  type BodyAllocation,
  type BodyMemory,
  lingeringClose,
} from '@marjoramcart/runtime';
import { CallerResponse, type RecordedResponse } from '../relay/caller-response.js';
import type { Call } from '../request/call.js';
import type { CallRunner } from '../request/call-runner.js';
import type { EntryState } from '../state/entry-state.js';
import {
  FORWARD_HEADER,
  FORWARD_PATH,
  bodyHash,
  decodeEnvelope,
  type ForwardEnvelope,
} from './forward-envelope.js';
import { hopOf } from './forward-exchange.js';

const MAX_BODY_BYTES = 5 * 1024 * 1024;
/** The forward header grows with the path and the caller's query. */
const MAX_HEADER_BYTES = 48 * 1024;

export interface PeerTaskOptions {
  readonly address: string;
  readonly state: EntryState;
  readonly timers: TimerService;
  /** Limits the bodies of the calls in progress; absent if they are not limited. */
  readonly bodies?: BodyMemory;
  readonly auth: MessageAuthenticator;
  readonly runner: CallRunner;
  readonly keys: KeyTable<RecordedResponse>;
  /** Called with the revision of a received message. */
  readonly onRevision: (revision: number) => Promise<void>;
  /** Called with suspects (requests that crashed targets) reported by another entry. */
  readonly onSuspects: (records: readonly SuspectRecord[]) => void;
  readonly log: Logger;
}

type AcceptResult =
  | { readonly kind: 'call'; readonly call: Call }
  | { readonly kind: 'refused'; readonly code: ResultCode };

export class PeerTask implements Task {
  readonly name = 'peers';

  private readonly listener: HttpListener;

  private readonly rpc: RpcServer;

  constructor(private readonly options: PeerTaskOptions) {
    this.rpc = new RpcServer(options.auth, options.log);
    this.rpc.method('key.cancel', ({ to, customer, key }) => {
      const parsed = parseIdempotencyKey(key);
      // A process started later on the same address doesn't know the keys of its predecessor.
      if (!parsed || to !== options.state.self.bootId) return { state: 'unknown' };
      return { state: options.keys.cancel(parsed, customer, options.timers.wall()) };
    });
    this.rpc.method('suspect.report', ({ records }) => {
      const { config, self } = options.state;
      // Checked by sender and receiver, since their configurations may differ.
      options.onSuspects(
        records.filter((record) => config && isSuspectVisible(config, record, self.region)),
      );
      return {};
    });
    this.listener = new HttpListener({
      address: options.address,
      log: options.log,
      timers: options.timers,
      handler: (req, res) => this.handle(req, res),
      onError: (err) => options.log.error('peer request failed', { err }),
      maxHeaderBytes: MAX_HEADER_BYTES,
    });
  }

  get address(): string {
    return this.listener.address;
  }

  start(): Promise<void> {
    return this.listener.listen();
  }

  stop(): Promise<void> {
    return this.listener.close();
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.method === 'POST' && req.url === RPC_PATH) await this.rpc.handle(req, res);
    else if (req.method === 'POST' && req.url === FORWARD_PATH) await this.handleForward(req, res);
    else res.writeHead(404, { connection: 'close' }).end();
  }

  private async handleForward(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { log, timers } = this.options;
    const arrivedAt = timers.now();
    const envelope = this.authenticate(req);
    if (!envelope) {
      log.warn('forward refused: not authenticated', { from: req.socket.remoteAddress });
      this.refuse(req, res, ResultCodes.PeerUnauthenticated);
      return;
    }
    await this.options.onRevision(envelope.revision);
    // The deadline counts from the arrival, since the request may wait for a sync.
    const accepted = this.accept(envelope, arrivedAt);
    if (accepted.kind === 'refused') {
      this.refuse(req, res, accepted.code, envelope.key);
      return;
    }
    const allocation = this.options.bodies?.allocate();
    try {
      await this.runForward(req, res, envelope, accepted.call, allocation);
    } finally {
      allocation?.release();
    }
  }

  /** Reads the body of an accepted forward and runs its call. */
  private async runForward(
    req: IncomingMessage,
    res: ServerResponse,
    envelope: ForwardEnvelope,
    accepted: Call,
    allocation: BodyAllocation | undefined,
  ): Promise<void> {
    const { state, timers } = this.options;
    const body = await readRequestBody(req, MAX_BODY_BYTES, timers, allocation);
    if (body.kind === 'no-memory') {
      this.refuse(req, res, ResultCodes.BodyMemoryFull, envelope.key);
      return;
    }
    if (body.kind !== 'complete' || bodyHash(body.body) !== envelope.bodyHash) {
      this.refuse(req, res, ResultCodes.InvalidRequest, envelope.key);
      return;
    }
    const response = this.createResponse(res, envelope.key !== undefined);
    const call = { ...accepted, body: body.body };
    const forwardedByOwner = envelope.reason === 'load' && call.key?.bootId !== state.self.bootId;
    await this.options.runner.run(call, response, forwardedByOwner);
  }

  private authenticate(req: IncomingMessage): ForwardEnvelope | undefined {
    const header = String(req.headers[FORWARD_HEADER] ?? '');
    const result = this.options.auth.verify(req.headers[AUTH_HEADER] as string | undefined, {
      path: FORWARD_PATH,
      sender: String(req.headers[SENDER_HEADER] ?? ''),
      content: header,
    });
    return result.kind === 'accepted' ? decodeEnvelope(header) : undefined;
  }

  /** Runs the checks that need no body: configuration, residency, forward loop and key. */
  private accept(envelope: ForwardEnvelope, arrivedAt: number): AcceptResult {
    const { state } = this.options;
    const { config, self } = state;
    if (!config) return refusal(ResultCodes.EntryNotReady);
    const customer = config.customersById.get(envelope.customer);
    const service = Object.hasOwn(config.services, envelope.service)
      ? config.services[envelope.service]
      : undefined;
    if (!customer || !service) return refusal(ResultCodes.UnknownService);
    const allowed = allowedRegions(config, customer, service);
    const violation = checkForward(envelope.visited, hopOf(self), envelope.reason, allowed);
    if (violation) {
      this.options.log.warn('forward refused', { reason: violation.kind });
      const residency = violation.kind === 'region-not-allowed';
      return refusal(residency ? ResultCodes.RegionNotAllowed : ResultCodes.ForwardRefused);
    }
    const key = envelope.key === undefined ? undefined : parseIdempotencyKey(envelope.key);
    if (envelope.reason === 'key' && key?.bootId !== self.bootId) {
      return refusal(ResultCodes.ForwardRefused);
    }
    if (!envelope.repeatable && !key) return refusal(ResultCodes.KeyRequired);
    return { kind: 'call', call: callOf(envelope, { customer, service, key, arrivedAt }) };
  }

  private refuse(
    req: IncomingMessage,
    res: ServerResponse,
    code: ResultCode,
    keyText?: string,
  ): void {
    // A connection reset would make the outcome of this refusal unknown to the sender.
    const onWritten = (): void => lingeringClose(req, this.options.timers, false);
    dropBody(req);
    this.createResponse(res, false).fail(
      { code, run: this.mayHaveRun(keyText) ? RunState.Unknown : code.run, attempts: 0 },
      { close: true, ...(!req.complete && { onWritten }) },
    );
  }

  /** An earlier request with the key may have run here, by an earlier configuration. */
  private mayHaveRun(keyText = ''): boolean {
    const { keys, timers } = this.options;
    const key = parseIdempotencyKey(keyText);
    return key !== undefined && keys.mayHaveRun(key, timers.wall());
  }

  private createResponse(res: ServerResponse, record: boolean): CallerResponse {
    const { state } = this.options;
    return new CallerResponse(res, {
      commonHeaders: () => ({
        'marjoramcart-revision': String(state.revision),
        'marjoramcart-entry': state.self.bootId,
        'marjoramcart-region': state.self.region,
      }),
      record,
    });
  }
}

function refusal(code: ResultCode): AcceptResult {
  return { kind: 'refused', code };
}

function callOf(
  envelope: ForwardEnvelope,
  known: {
    readonly customer: Call['customer'];
    readonly service: ConfigView['services'][string];
    readonly key: Call['key'];
    readonly arrivedAt: number;
  },
): Call {
  return {
    id: envelope.id,
    customer: known.customer,
    service: envelope.service,
    config: known.service,
    method: envelope.method,
    path: envelope.path,
    contentType: envelope.contentType,
    body: Buffer.alloc(0),
    stream: envelope.stream,
    repeatable: envelope.repeatable,
    key: known.key,
    digest: envelope.digest,
    routed: {
      service: envelope.service,
      prefix: envelope.prefix,
      promptTokens: envelope.promptTokens,
      maxTokens: envelope.maxTokens,
      bodyBytes: 0,
    },
    arrivedAt: known.arrivedAt,
    deadlineAt: known.arrivedAt + envelope.deadlineMs,
    visited: envelope.visited,
  };
}
