/** Answers of the gateway itself: refusals, which promise that nothing ran, and failures. */
import type { ResultCode } from '@marjoramcart/core';
import { CODE_HEADER, RUN_HEADER, type CallerResponse } from './caller-answer.js';

const MS_PER_S = 1000;

/**
 * Answers with a result code.
 *
 * @param comeBackMs when the caller may return; only for requests that were not run
 * @example sendResult(answer, ResultCodes.NoReadyTarget, 250)
 */
export function sendResult(answer: CallerResponse, code: ResultCode, comeBackMs?: number): void {
  const { code: number, name, run, message, next } = code;
  const body = JSON.stringify({ error: { code: number, name, run, message, next } });
  const retryAfter =
    comeBackMs === undefined ? [] : ['Retry-After', (comeBackMs / MS_PER_S).toFixed(3)];
  answer.send(
    code.status,
    [
      'Content-Type',
      'application/json',
      CODE_HEADER,
      String(number),
      RUN_HEADER,
      run,
      ...retryAfter,
    ],
    Buffer.from(body),
  );
}
