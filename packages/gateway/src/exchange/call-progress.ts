/** State of a call while it is handled: its attempts and what was sent to the caller. */
import {
  possibleRunsOf,
  type AttemptRecord,
  type StreamSource,
  type VersionScope,
} from '@marjoramcart/core';
import type { BodyAllocation } from '@marjoramcart/runtime';
import type { SharedRequest } from '../sharing/capacity-sharing.js';
import type { AttemptEnd } from './attempt-end.js';
import type { Call } from './call.js';
import type { CallerResponse } from './caller-response.js';

export interface CallProgress {
  readonly call: Call;
  readonly response: CallerResponse;
  readonly attempts: AttemptRecord[];
  /** Counts the request for its customer; absent where capacity is not divided. */
  readonly shared?: SharedRequest;
  /** Memory for the responses of targets, which are held until the caller has received one. */
  readonly memory: BodyAllocation;
  /** Id of the last complete stream event that was sent to the caller, over all attempts. */
  lastEventId: number | undefined;
  /** Targets that may go on with the stream, once the caller has received a part of it. */
  scope: VersionScope;
  /** Where the stream comes from, once the caller has received a part of it. */
  source: StreamSource | undefined;
  /** Last error response of a target, which is sent to the caller when no retry follows. */
  failure: Extract<AttemptEnd, { kind: 'answered' }> | undefined;
}

/** Number of targets that may have run the call. */
export function runsSoFar({ attempts }: CallProgress): number {
  return attempts.reduce((sum, attempt) => sum + possibleRunsOf(attempt), 0);
}

/** Number of targets that may still be tried. */
export function attemptsLeft(progress: CallProgress): number {
  return Math.max(1, progress.call.facts.maxAttempts - runsSoFar(progress));
}
