/** Result of an attempt, and its classification for the retry policy. */
import type { AttemptOutcome } from '@marjoramcart/core';
import type { HeaderList } from '../ports/request-protocol.js';

export type AttemptEnd =
  /** A complete response that is not a stream; none of it was sent to the caller yet. */
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: HeaderList;
      readonly body: Buffer;
      /** Number of targets that ran the request; a remote gateway may have used several. */
      readonly runs: number;
    }
  /** A stream was forwarded to the caller until its end. */
  | { readonly kind: 'streamed' }
  /** A response that is too large to be held was forwarded to the caller as it arrived. */
  | { readonly kind: 'relayed'; readonly status: number; readonly complete: boolean }
  /** The request was not written to the connection. */
  | {
      readonly kind: 'not-sent';
      readonly message: string;
      /** The gateway itself decided so, which says nothing about the target. */
      readonly withdrawn?: true;
    }
  /** The receiver reports that it did not run the request. */
  | {
      readonly kind: 'not-run';
      readonly misdirected: boolean;
      readonly retryAfterMs?: number;
      /** A gateway refused it before it sent it to any target. */
      readonly unsent?: true;
    }
  /** The request was sent, and no valid response came; it may have run. */
  | {
      readonly kind: 'lost';
      readonly message: string;
      /** The connection broke, which may mean that the receiver has ended. */
      readonly connectionLost?: true;
      /** Number of targets that had run the request when the response began; absent if it did not. */
      readonly runs?: number;
      /** The gateway gave the stream up, as it could not prove its version; no fault of the target. */
      readonly unproved?: true;
    };

const SUCCESS_FROM = 200;
const SUCCESS_TO = 300;
const INTERNAL_ERROR = 500;

export function isSuccess(status: number): boolean {
  return status >= SUCCESS_FROM && status < SUCCESS_TO;
}

/** Whether the target caused the failure, so that a retry at another target may succeed. */
export function isTargetFailure(end: AttemptEnd): boolean {
  if (end.kind === 'relayed') return !end.complete || end.status >= INTERNAL_ERROR;
  if (end.kind === 'lost') return end.unproved !== true;
  return end.kind === 'answered' && end.status >= INTERNAL_ERROR;
}

/**
 * Outcome of an attempt that did not complete the call, as input of the retry policy.
 *
 * @param lostRuns number of targets that may have run the request when no response came
 */
export function outcomeOf(end: AttemptEnd, lostRuns: number): AttemptOutcome {
  switch (end.kind) {
    case 'answered':
      return { kind: 'failed', status: end.status, runs: end.runs };
    case 'not-run':
      return {
        kind: 'not-run',
        ...(end.retryAfterMs === undefined ? {} : { retryAfterMs: end.retryAfterMs }),
        ...(end.unsent ? { unsent: end.unsent } : {}),
      };
    case 'not-sent':
      return { kind: 'not-sent' };
    default:
      return { kind: 'lost', runs: lostRuns };
  }
}
