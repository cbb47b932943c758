/** Discards responses whose bodies are not needed. */
import type { TimerService } from '../timers/timer-service.js';
import type { ResponseReceived } from './http-client.js';

const MAX_DISCARDED_BYTES = 64 * 1024;
const MAX_DISCARD_MS = 1000;

/**
 * Drains a response so that its connection can be reused. Closes the connection if the body is large
 * or does not end soon, as an endless one would be read for ever, and if the request was not written to
 * its end, as the rest would be held until its receiver reads on.
 *
 * @example discardResponse(received, timers)
 */
export function discardResponse(
  { req, res }: Pick<ResponseReceived, 'req' | 'res'>,
  timers: TimerService,
): void {
  res.on('error', () => undefined);
  if (!req.writableFinished) {
    res.destroy();
    return;
  }
  const stopTimer = timers.after(MAX_DISCARD_MS, () => res.destroy());
  let size = 0;
  res.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_DISCARDED_BYTES) res.destroy();
  });
  res.on('close', stopTimer);
}
