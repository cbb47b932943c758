/** How an attempt ended, and what follows from it. */
import type { AttemptOutcome } from '@marjoramcart/core';
import type { HeaderList } from '../ports/request-protocol.js';

export type AttemptEnd =
  /** A whole answer that is not a stream; nothing of it was passed on yet. */
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: HeaderList;
      readonly body: Buffer;
      /** Targets that ran the request; a gateway may have used several. */
      readonly runs: number;
    }
  /** A stream was passed on to its end. */
  | { readonly kind: 'streamed' }
  | { readonly kind: 'not-sent'; readonly message: string }
  | { readonly kind: 'not-run'; readonly misdirected: boolean; readonly retryAfterMs?: number }
  | { readonly kind: 'lost'; readonly message: string };

const SUCCESS_FROM = 200;
const SUCCESS_TO = 300;
const INTERNAL_ERROR = 500;

/** Whether a status means success. */
export function isSuccess(status: number): boolean {
  return status >= SUCCESS_FROM && status < SUCCESS_TO;
}

/** Whether the failure lies with the target, so that it may be gone at another one. */
export function isTargetFailure(end: AttemptEnd): boolean {
  return end.kind === 'lost' || (end.kind === 'answered' && end.status >= INTERNAL_ERROR);
}

/**
 * The outcome of an attempt that did not end the call.
 *
 * @param lostRuns targets that may have run the request when there is no answer
 */
export function outcomeOf(end: AttemptEnd, lostRuns: number): AttemptOutcome {
  switch (end.kind) {
    case 'answered':
      return { kind: 'failed', status: end.status, runs: end.runs };
    case 'not-run':
      return {
        kind: 'not-run',
        ...(end.retryAfterMs === undefined ? {} : { retryAfterMs: end.retryAfterMs }),
      };
    case 'not-sent':
      return { kind: 'not-sent' };
    default:
      return { kind: 'lost', runs: lostRuns };
  }
}
