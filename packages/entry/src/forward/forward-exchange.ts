/** Forwards a call to an entry of another failure domain or to the owner of its key. */
import type { IncomingMessage } from 'node:http';
import {
  ResultCodes,
  RunState,
  checkForward,
  resultCodeByNumber,
  type ForwardHop,
  type ForwardReason,
  type ForwardViolation,
  type ProcessRef,
  SseFrameParser,
} from '@marjoramcart/core';
import {
  readResponseBody,
  AUTH_HEADER,
  SENDER_HEADER,
  type MessageAuthenticator,
  type RpcClient,
  type TimerService,
  type HttpClient,
} from '@marjoramcart/runtime';
import type { CallerResponse, ResponseMeta } from '../relay/caller-response.js';
import { relayedHeaders, relayStream } from '../relay/relay.js';
import type { Call } from '../request/call.js';
import {
  TARGET_DIED_HEADER,
  FORWARD_HEADER,
  FORWARD_PATH,
  bodyHash,
  encodeEnvelope,
  type ForwardEnvelope,
} from './forward-envelope.js';

/** Part of the remaining time that is reserved for the response. */
const HOP_MARGIN_MS = 5;
const CANCEL_TIMEOUT_MS = 1000;
const FINAL_RESULT_CODES = new Set<number>([
  ResultCodes.Ok.code,
  ResultCodes.RequestCrashesTargets.code,
]);

/** An entry that a call can be forwarded to. */
export interface ForwardTarget extends ForwardHop {
  readonly peerAddress: string;
  /** One-way latency of the configured link, ms. */
  readonly oneWayMs: number;
}

export type ForwardResult =
  | { readonly kind: 'complete'; readonly status: number }
  | { readonly kind: 'error-relayed'; readonly run: RunState }
  | { readonly kind: 'vetoed' }
  /** The other entry has certainly not run the call and never will. */
  | { readonly kind: 'not-run'; readonly message: string }
  | { readonly kind: 'broken'; readonly message: string; readonly died?: boolean };

export interface ForwardOptions {
  readonly call: Call;
  readonly response: CallerResponse;
  readonly entry: ForwardTarget;
  readonly reason: ForwardReason;
  readonly signal: AbortSignal;
  /** Called immediately before the write; false vetoes it. */
  readonly mayWrite: () => boolean;
  /** Called with the number of relayed events; 0 when a whole body is relayed. */
  readonly onEvents: (events: number) => void;
}

export interface ForwardDeps {
  readonly self: ProcessRef;
  readonly httpClient: HttpClient;
  readonly auth: MessageAuthenticator;
  readonly rpc: RpcClient;
  readonly timers: TimerService;
  readonly revision: () => number;
  /** Counts bytes sent over the link to a region or received over it. */
  readonly recordLinkBytes: (region: string, bytes: number) => void;
  /** Regions that may handle the call now. */
  readonly allowedRegions: (call: Call) => readonly string[];
}

export class ForwardExchange {
  constructor(private readonly deps: ForwardDeps) {}

  async run(options: ForwardOptions): Promise<ForwardResult> {
    const { call, entry, reason } = options;
    const { self, httpClient, allowedRegions } = this.deps;
    const visited = [...call.visited, hopOf(self)];
    const findViolation = (): ForwardViolation | undefined =>
      checkForward(visited, entry, reason, allowedRegions(call));
    const violation = findViolation();
    if (violation) return { kind: 'not-run', message: violation.kind };
    const remainingMs = call.deadlineAt - this.deps.timers.now() - entry.oneWayMs - HOP_MARGIN_MS;
    if (remainingMs <= 0)
      return { kind: 'not-run', message: 'not enough time left to forward the request' };
    const header = encodeEnvelope(this.envelope(call, reason, visited, remainingMs));
    const sent = await httpClient.send(
      {
        address: httpClient.dial(entry.peerAddress),
        method: 'POST',
        path: FORWARD_PATH,
        headers: {
          [FORWARD_HEADER]: header,
          [SENDER_HEADER]: self.bootId,
          [AUTH_HEADER]: this.deps.auth.sign({
            path: FORWARD_PATH,
            sender: self.bootId,
            content: header,
          }),
        },
        body: call.body,
        newConnection: !call.repeatable,
      },
      () => findViolation() === undefined && options.mayWrite(),
      options.signal,
    );
    if (sent.kind === 'vetoed') return sent;
    this.deps.recordLinkBytes(entry.region, call.body.length);
    if (sent.kind === 'answer') return this.receive(sent.res, options);
    if (!sent.sent) return { kind: 'not-run', message: sent.message };
    return this.onResponseLost(options, sent.message);
  }

  private envelope(
    call: Call,
    reason: ForwardReason,
    visited: readonly ForwardHop[],
    deadlineMs: number,
  ): ForwardEnvelope {
    return {
      id: call.id,
      reason,
      customer: call.customer.id,
      service: call.service,
      method: call.method,
      path: call.path,
      contentType: call.contentType,
      stream: call.stream,
      repeatable: call.repeatable,
      key: call.key?.text,
      prefix: call.routed.prefix,
      promptTokens: call.routed.promptTokens,
      maxTokens: call.routed.maxTokens,
      deadlineMs: Math.floor(deadlineMs),
      digest: call.digest,
      bodyHash: bodyHash(call.body),
      revision: this.deps.revision(),
      visited: [...visited],
    };
  }

  private async receive(res: IncomingMessage, options: ForwardOptions): Promise<ForwardResult> {
    const { response, entry } = options;
    const meta = metaOf(res);
    res.on('data', (chunk: Buffer) => this.deps.recordLinkBytes(entry.region, chunk.length));
    const isStream = (res.headers['content-type'] ?? '').startsWith('text/event-stream');
    if (isStream && res.statusCode === 200) return this.stream(res, options, meta);
    const body = await readResponseBody(res);
    if (body.kind !== 'complete') return this.onResponseLost(options, body.kind);
    // Without a result code the response is not from an entry, so the outcome is unknown.
    if (!meta)
      return this.onResponseLost(options, `status ${res.statusCode} without a result code`);
    // A process started later on the owner's address doesn't know the owner's keys.
    const isOtherProcess = res.headers['marjoramcart-entry'] !== options.entry.bootId;
    if (options.reason === 'key' && isOtherProcess)
      return this.onResponseLost(options, 'the owner of the key has ended');
    // The owner of a key knows its outcome, so its response is always relayed to the caller. A
    // refused suspect must not be retried here, where its deaths may not be known yet.
    const isFinal = options.reason === 'key' || FINAL_RESULT_CODES.has(meta.code.code);
    if (isFinal) {
      options.onEvents(0);
      response.send(res.statusCode ?? 502, relayedHeaders(res.headers), body.body, meta);
      return { kind: 'complete', status: res.statusCode ?? 502 };
    }
    if (meta.run === RunState.NotRun) return { kind: 'not-run', message: meta.code.name };
    return {
      kind: 'broken',
      message: meta.code.name,
      died: res.headers[TARGET_DIED_HEADER] === '1',
    };
  }

  private async stream(
    res: IncomingMessage,
    options: ForwardOptions,
    meta: ResponseMeta | undefined,
  ): Promise<ForwardResult> {
    const { response, entry } = options;
    const result = await relayStream(res, {
      response,
      frames: new SseFrameParser(),
      target: meta?.target ?? entry.bootId,
      region: meta?.region ?? entry.region,
      attempts: meta?.attempts ?? 1,
      onEvents: options.onEvents,
    });
    if (result.kind === 'complete') {
      response.end();
      return { kind: 'complete', status: 200 };
    }
    if (result.kind === 'error-relayed') {
      response.abort();
      return { kind: 'error-relayed', run: RunState.Unknown };
    }
    return { kind: 'broken', message: result.kind };
  }

  /**
   * Result of a call that was sent but has no usable response. Only a confirmed cancel of its key
   * proves that it has not run.
   */
  private async onResponseLost(options: ForwardOptions, message: string): Promise<ForwardResult> {
    const { call, entry, reason } = options;
    if (!call.key || reason === 'key') return { kind: 'broken', message };
    const result = await this.deps.rpc.call(
      entry.peerAddress,
      'key.cancel',
      { from: this.deps.self, to: entry.bootId, customer: call.customer.id, key: call.key.text },
      CANCEL_TIMEOUT_MS,
    );
    return result.kind === 'ok' && result.value.state === 'cancelled'
      ? { kind: 'not-run', message }
      : { kind: 'broken', message };
  }
}

/**
 * This process as a hop of a forward path.
 *
 * @example hopOf(self).region
 */
export function hopOf({ bootId, failureDomain, region }: ProcessRef): ForwardHop {
  return { bootId, failureDomain, region };
}

function metaOf(res: IncomingMessage): ResponseMeta | undefined {
  const code = resultCodeByNumber(Number(res.headers['marjoramcart-code']));
  const run = Object.values(RunState).find((state) => state === res.headers['marjoramcart-run']);
  const target = res.headers['marjoramcart-target'];
  const region = res.headers['marjoramcart-region'];
  if (!code || !run) return undefined;
  return {
    code,
    run,
    target: typeof target === 'string' ? target : undefined,
    region: typeof region === 'string' ? region : undefined,
    attempts: Number(res.headers['marjoramcart-attempts'] ?? 1),
  };
}
