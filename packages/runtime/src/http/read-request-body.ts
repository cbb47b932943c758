/** Reads a request body with limits for its size, total time and minimum rate. */
import type { IncomingMessage } from 'node:http';
import type { TimerService } from '../timers/timer-service.js';
import type { BodyAllocation } from './body-memory.js';

export const RequestBodyTiming = {
  TimeoutMs: 15_000,
  MinBytesPerS: 1024,
  /** Time not counted in the minimum rate, so that a short stall at the start is allowed. */
  RateGraceMs: 2000,
  CheckIntervalMs: 500,
} as const;

export type RequestBodyResult =
  | { readonly kind: 'complete'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'too-slow' }
  /** The memory for bodies is used up; nothing was read if the request announced its length. */
  | { readonly kind: 'no-memory' }
  | { readonly kind: 'aborted' };

/**
 * Reads a body to its end. With any result but `complete` the rest stays unread and the caller of
 * this function must close the connection.
 *
 * @param allocation memory for the body, which the caller of this function releases; absent if it is
 *   not limited
 * @example const result = await readRequestBody(req, 4_194_304, timers)
 */
export function readRequestBody(
  req: IncomingMessage,
  maxBytes: number,
  timers: TimerService,
  allocation?: BodyAllocation,
): Promise<RequestBodyResult> {
  const announcedBytes = Number(req.headers['content-length'] ?? 0);
  if (announcedBytes > maxBytes) return Promise.resolve({ kind: 'too-large' });
  if (allocation?.grow(announcedBytes) === false) return Promise.resolve({ kind: 'no-memory' });
  const isAnnounced = req.headers['content-length'] !== undefined;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const startedAt = timers.now();
    let size = 0;
    let settled = false;
    let stopCheck = (): void => undefined;
    const finish = (result: RequestBodyResult): void => {
      if (settled) return;
      settled = true;
      stopCheck();
      if (result.kind !== 'complete') {
        req.removeAllListeners('data');
        req.pause();
      }
      resolve(result);
    };
    stopCheck = timers.every(RequestBodyTiming.CheckIntervalMs, () => {
      const elapsedMs = timers.now() - startedAt;
      const minBytes =
        ((elapsedMs - RequestBodyTiming.RateGraceMs) / 1000) * RequestBodyTiming.MinBytesPerS;
      if (elapsedMs >= RequestBodyTiming.TimeoutMs || size < minBytes) finish({ kind: 'too-slow' });
    });
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) finish({ kind: 'too-large' });
      else if (!isAnnounced && allocation?.grow(chunk.length) === false) {
        finish({ kind: 'no-memory' });
      } else chunks.push(chunk);
    });
    req.on('end', () => finish({ kind: 'complete', body: Buffer.concat(chunks) }));
    req.on('error', () => finish({ kind: 'aborted' }));
    req.on('close', () => finish({ kind: 'aborted' }));
  });
}
