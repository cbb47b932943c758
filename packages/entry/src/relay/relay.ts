/** Relays a target's response to the caller and reports whether it was complete. */
import type { IncomingMessage } from 'node:http';
import { SseFrameParser } from '@marjoramcart/core';
import { completeMeta, type CallerResponse, type HeaderFields } from './caller-response.js';

export type RelayResult =
  | { readonly kind: 'complete' }
  | { readonly kind: 'truncated'; readonly message: string }
  /** The sender ended its stream with an error event, which was relayed. */
  | { readonly kind: 'error-relayed' }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'protocol-fault'; readonly message: string };

export interface StreamContext {
  readonly response: CallerResponse;
  /** Kept when the stream is resumed on another connection. */
  readonly frames: SseFrameParser;
  readonly target: string;
  /** Region of the target; defaults to the local region. */
  readonly region?: string;
  readonly attempts: number;
  /** Called with the number of complete events of each chunk. */
  readonly onEvents: (events: number) => void;
}

const NOT_RELAYED_HEADERS = new Set([
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
 * Headers of a target's response that are relayed to the caller.
 *
 * @example relayedHeaders({ 'content-type': 'text/plain', connection: 'close' })
 */
export function relayedHeaders(headers: IncomingMessage['headers']): HeaderFields {
  return Object.fromEntries(
    Object.entries(headers).filter(
      (field): field is [string, string | string[]] =>
        field[1] !== undefined &&
        !NOT_RELAYED_HEADERS.has(field[0]) &&
        !field[0].startsWith('marjoramcart-'),
    ),
  );
}

/** Relays server-sent events frame by frame, with backpressure from the caller. */
export function relayStream(res: IncomingMessage, ctx: StreamContext): Promise<RelayResult> {
  const { response, frames } = ctx;
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
      const completeEvents = frames.push(chunk);
      if (completeEvents) {
        if (!response.hasStarted) {
          response.start(
            200,
            relayedHeaders(res.headers),
            completeMeta(ctx.target, ctx.attempts, ctx.region),
          );
        }
        ctx.onEvents(frames.events - before);
        if (!response.write(completeEvents)) {
          res.pause();
          response.onDrain(() => res.resume());
        }
      }
      if (frames.error) finish({ kind: 'protocol-fault', message: frames.error.kind });
      else if (frames.errorSeen) finish({ kind: 'error-relayed' });
    });
    res.on('end', () => {
      if (res.complete && frames.complete) finish({ kind: 'complete' });
      else finish({ kind: 'truncated', message: 'the stream ended without [DONE]' });
    });
    res.on('error', (err) => finish({ kind: 'truncated', message: err.message }));
    res.on('close', () => finish({ kind: 'truncated', message: 'connection closed' }));
    if (res.destroyed) finish({ kind: 'truncated', message: 'the stream broke off' });
  });
}
