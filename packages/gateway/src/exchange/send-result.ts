/** Responses that the gateway generates itself: refusals, which guarantee that nothing ran, and failures. */
import type { ResultCode } from '@marjoramcart/core';
import { CODE_HEADER, RUN_HEADER, type CallerResponse } from './caller-response.js';

const MS_PER_S = 1000;
const STATUS_UNAUTHORIZED = 401;

/**
 * Sends a response with a result code.
 *
 * @param retryAfterMs time after which the caller may retry; only for requests that were not run
 * @example sendResult(response, ResultCodes.NoReadyTarget, 250)
 */
export function sendResult(
  response: CallerResponse,
  code: ResultCode,
  retryAfterMs?: number,
): void {
  const { code: number, name, run, message, next } = code;
  const body = JSON.stringify({ error: { code: number, name, run, message, next } });
  const retryAfter =
    retryAfterMs === undefined ? [] : ['Retry-After', (retryAfterMs / MS_PER_S).toFixed(3)];
  const challenge = code.status === STATUS_UNAUTHORIZED ? ['WWW-Authenticate', 'Bearer'] : [];
  response.setRunState(run);
  response.send(
    code.status,
    [
      'Content-Type',
      'application/json',
      CODE_HEADER,
      String(number),
      RUN_HEADER,
      run,
      ...challenge,
      ...retryAfter,
    ],
    Buffer.from(body),
  );
}
