/** Runs one attempt of a call on a target, relays the response and resumes broken streams. */
import type { IncomingMessage } from 'node:http';
import { type TargetState, SseFrameParser } from '@marjoramcart/core';
import {
  discardResponse,
  readResponseBody,
  type TimerService,
  type HttpClient,
} from '@marjoramcart/runtime';
import { completeMeta, type CallerResponse } from '../relay/caller-response.js';
import { relayedHeaders, relayStream, type RelayResult } from '../relay/relay.js';
import type { Call } from '../request/call.js';

const MAX_RESUMES = 3;
const RESUME_DELAY_MS = 50;
const CANCEL_TIMEOUT_MS = 2000;

/** Result of an attempt. Only `complete` and `error-relayed` have ended the response. */
export type AttemptResult =
  | { readonly kind: 'complete'; readonly status: number }
  | { readonly kind: 'error-relayed' }
  | { readonly kind: 'vetoed' }
  | { readonly kind: 'not-sent'; readonly message: string }
  /** The target responded that it is overloaded or unavailable. */
  | { readonly kind: 'busy'; readonly status: number }
  | { readonly kind: 'broken'; readonly reused: boolean; readonly message: string }
  | { readonly kind: 'too-large' };

export interface AttemptOptions {
  readonly call: Call;
  readonly target: TargetState;
  readonly response: CallerResponse;
  readonly attempts: number;
  readonly signal: AbortSignal;
  /** Called immediately before the write; false vetoes it. */
  readonly mayWrite: () => boolean;
  /** Called with the number of relayed events; 0 when a whole body is relayed. */
  readonly onEvents: (events: number) => void;
}

const BUSY_STATUSES = new Set([429, 502, 503]);

export class TargetExchange {
  constructor(
    private readonly httpClient: HttpClient,
    private readonly timers: TimerService,
  ) {}

  async run(options: AttemptOptions): Promise<AttemptResult> {
    const { call, target, signal } = options;
    const sent = await this.httpClient.send(
      {
        address: this.httpClient.dial(target.address),
        method: call.method,
        path: call.path,
        headers: this.headers(call),
        body: call.body,
        newConnection: !call.repeatable,
      },
      options.mayWrite,
      signal,
    );
    if (sent.kind === 'vetoed') return sent;
    if (sent.kind === 'failed') {
      return sent.sent
        ? { kind: 'broken', reused: sent.reused, message: sent.message }
        : { kind: 'not-sent', message: sent.message };
    }
    const { res } = sent;
    return isEventStream(res) ? this.receiveStream(res, options) : this.receiveBody(res, options);
  }

  private headers(call: Call): Record<string, string> {
    const remainingMs = Math.max(1, Math.round(call.deadlineAt - this.timers.now()));
    return {
      ...(call.contentType === undefined ? {} : { 'content-type': call.contentType }),
      accept: call.stream ? 'text/event-stream' : '*/*',
      'marjoramcart-customer': call.customer.id,
      'marjoramcart-deadline-ms': String(remainingMs),
      ...(call.key ? { 'idempotency-key': call.key.text } : {}),
    };
  }

  private async receiveBody(res: IncomingMessage, options: AttemptOptions): Promise<AttemptResult> {
    const { response, call, target, attempts } = options;
    const status = res.statusCode ?? 502;
    const body = await readResponseBody(res);
    if (body.kind === 'too-large') return body;
    if (body.kind === 'truncated') return { kind: 'broken', reused: false, message: body.message };
    if (call.repeatable && BUSY_STATUSES.has(status)) return { kind: 'busy', status };
    options.onEvents(0);
    response.send(
      status,
      relayedHeaders(res.headers),
      body.body,
      completeMeta(target.vm, attempts),
    );
    return { kind: 'complete', status };
  }

  private async receiveStream(
    res: IncomingMessage,
    options: AttemptOptions,
  ): Promise<AttemptResult> {
    const { response, target } = options;
    const frames = new SseFrameParser();
    const ctx = {
      response,
      frames,
      target: target.vm,
      attempts: options.attempts,
      onEvents: options.onEvents,
    };
    const streamId = headerText(res, 'stream-id');
    const first = await relayStream(res, ctx);
    const last =
      first.kind === 'truncated' && streamId !== undefined
        ? await this.resume(streamId, options, ctx, MAX_RESUMES, first)
        : first;
    // The engine would keep the broken stream running for a resume that will not come.
    if (last.kind !== 'complete' && streamId !== undefined) {
      void this.cancel(target.address, streamId);
    }
    if (last.kind === 'complete') {
      response.end();
      return { kind: 'complete', status: 200 };
    }
    if (last.kind === 'error-relayed') {
      response.abort();
      return last;
    }
    if (last.kind === 'too-large') return last;
    return { kind: 'broken', reused: false, message: last.message };
  }

  /** Continues a broken stream on the same target, after the last relayed event. */
  private async resume(
    streamId: string,
    options: AttemptOptions,
    ctx: Parameters<typeof relayStream>[1],
    resumesLeft: number,
    broken: RelayResult,
  ): Promise<RelayResult> {
    const { signal, target } = options;
    if (
      resumesLeft === 0 ||
      signal.aborted ||
      (ctx.frames.events > 0 && ctx.frames.lastId === undefined)
    ) {
      return broken;
    }
    ctx.frames.reset();
    const sent = await this.httpClient.send(
      {
        address: this.httpClient.dial(target.address),
        method: 'GET',
        path: `/v1/streams/${encodeURIComponent(streamId)}`,
        headers: { 'last-event-id': String(ctx.frames.lastId ?? 0), accept: 'text/event-stream' },
        body: Buffer.alloc(0),
        newConnection: true,
      },
      () => true,
      signal,
    );
    if (sent.kind !== 'answer') return broken;
    if (sent.res.statusCode !== 200 || !isEventStream(sent.res)) {
      discardResponse(sent, this.timers);
      return broken;
    }
    const result = await relayStream(sent.res, ctx);
    if (result.kind !== 'truncated') return result;
    await new Promise<void>((resolve) => {
      this.timers.after(RESUME_DELAY_MS, resolve);
    });
    return this.resume(streamId, options, ctx, resumesLeft - 1, result);
  }

  private async cancel(address: string, streamId: string): Promise<void> {
    const sent = await this.httpClient.send(
      {
        address: this.httpClient.dial(address),
        method: 'DELETE',
        path: `/v1/streams/${encodeURIComponent(streamId)}`,
        headers: {},
        body: Buffer.alloc(0),
        newConnection: false,
      },
      () => true,
      AbortSignal.timeout(CANCEL_TIMEOUT_MS),
    );
    if (sent.kind === 'answer') discardResponse(sent, this.timers);
  }
}

function isEventStream(res: IncomingMessage): boolean {
  return (
    res.statusCode === 200 && (res.headers['content-type'] ?? '').startsWith('text/event-stream')
  );
}

function headerText(res: IncomingMessage, name: string): string | undefined {
  const value = res.headers[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}
