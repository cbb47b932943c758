/** Passes the answer of a target on to the caller, and tells whether it was complete. */
import type { IncomingMessage } from 'node:http';
import { SseFrameParser } from '@marjoramcart/core';
import { completeMeta, type CallerResponse, type HeaderFields } from './answer.js';

export type RelayResult =
  | { readonly kind: 'complete' }
  | { readonly kind: 'truncated'; readonly message: string }
  /** The sender ended its stream with an error event, which was passed on. */
  | { readonly kind: 'error-passed-on' }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'protocol-fault'; readonly message: string };

export interface StreamContext {
  readonly response: CallerResponse;
  /** Survives a resume on another connection. */
  readonly frames: SseFrameParser;
  readonly target: string;
  /** Region of the target; the own one when left out. */
  readonly region?: string;
  readonly attempts: number;
  /** Called for each chunk with whole events, with their number. */
  readonly onEvents: (events: number) => void;
}

const NOT_PASSED_ON = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'upgrade',
  'trailer',
  'stream-id',
  'proxy-authenticate',
]);

/**
 * Headers of a target's answer that the caller gets.
 *
 * @example passedOnHeaders({ 'content-type': 'text/plain', connection: 'close' })
 */
export function relayedHeaders(headers: IncomingMessage['headers']): HeaderFields {
  return Object.fromEntries(
    Object.entries(headers).filter(
      (field): field is [string, string | string[]] =>
        field[1] !== undefined &&
        !NOT_PASSED_ON.has(field[0]) &&
        !field[0].startsWith('marjoramcart-'),
    ),
  );
}

/** Relays server-sent events frame by frame, at the pace of the caller. */
export function relayStream(res: IncomingMessage, ctx: StreamContext): Promise<RelayResult> {
  const { response: answer, frames } = ctx;
  return new Promise((resolve) => {
    let settled = false;
    const finish = (result: RelayResult): void => {
      if (settled) return;
      settled = true;
      res.removeAllListeners('data');
      if (result.kind !== 'complete') res.destroy();
      resolve(result);
    };
    res.on('data', (chunk: Buffer) => {
      const before = frames.events;
      const whole = frames.push(chunk);
      if (whole) {
        if (!answer.hasStarted) {
          answer.start(
            200,
            relayedHeaders(res.headers),
            completeMeta(ctx.target, ctx.attempts, ctx.region),
          );
        }
        ctx.onEvents(frames.events - before);
        if (!answer.write(whole)) {
          res.pause();
          answer.onDrain(() => res.resume());
        }
      }
      if (frames.error) finish({ kind: 'protocol-fault', message: frames.error.kind });
      else if (frames.errorSeen) finish({ kind: 'error-passed-on' });
    });
    res.on('end', () => {
      if (res.complete && frames.complete) finish({ kind: 'complete' });
      else finish({ kind: 'truncated', message: 'the stream ended without [DONE]' });
    });
    res.on('error', (err) => finish({ kind: 'truncated', message: err.message }));
    res.on('close', () => finish({ kind: 'truncated', message: 'connection closed' }));
  });
}
