/** Discards responses whose bodies are not needed. */
import type { IncomingMessage } from 'node:http';
import type { TimerService } from '../timers/timer-service.js';

const MAX_DISCARDED_BYTES = 64 * 1024;
const MAX_DISCARD_MS = 1000;

/**
 * Drains a response so that its connection can be reused. Closes the connection if the body is large
 * or does not end soon, as an endless one would be read for ever.
 *
 * @example discardResponse(res, timers)
 */
export function discardResponse(res: IncomingMessage, timers: TimerService): void {
  const stopTimer = timers.after(MAX_DISCARD_MS, () => res.destroy());
  let size = 0;
  res.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_DISCARDED_BYTES) res.destroy();
  });
  res.on('error', () => undefined);
  res.on('close', stopTimer);
}
