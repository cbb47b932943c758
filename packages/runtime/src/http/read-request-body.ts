/** Reads a request body with limits for its size, total time and minimum rate. */
import type { IncomingMessage } from 'node:http';
import type { TimerService } from '../timers/timer-service.js';
import type { BodyAllocation } from './body-memory.js';
import { bodyPacer } from './body-pacer.js';
import { collectBody } from './collect-body.js';

export const RequestBodyTiming = {
  TimeoutMs: 15_000,
  /**
   * Limit of the time that includes waiting for turns of a body in tiny chunks. 4 MB in one-byte chunks
   * take some 10 s of a core, and 40 s on a VM with a quarter of one.
   */
  MaxTotalMs: 60_000,
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
 * Reads a body to its end. With any result but `complete` the rest is not read, except for what has
 * arrived already, which is discarded, and the caller of this function must close the connection.
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
  const startedAt = timers.now();
  return new Promise((resolve) => {
    let stopCheck = (): void => undefined;
    const collector = collectBody(req, { maxBytes, allocation }, (result) => {
      stopCheck();
      resolve(result);
    });
    const isTooSlow = (): boolean => {
      const totalMs = timers.now() - startedAt;
      // A client is not slow while the gateway does not read what it sent.
      const elapsedMs = totalMs - bodyPacer.waitedMs(req);
      const minBytes =
        ((elapsedMs - RequestBodyTiming.RateGraceMs) / 1000) * RequestBodyTiming.MinBytesPerS;
      const isLate =
        elapsedMs >= RequestBodyTiming.TimeoutMs || totalMs >= RequestBodyTiming.MaxTotalMs;
      return isLate || collector.size < minBytes;
    };
    stopCheck = timers.every(RequestBodyTiming.CheckIntervalMs, () => {
      if (!isTooSlow()) return;
      // What arrived during a pause of the process is read in the poll before an immediate.
      setImmediate(() => {
        if (isTooSlow()) collector.stop({ kind: 'too-slow' });
      });
    });
    collector.start();
  });
}
