/** What is known of a call while it is handled. */
import { possibleRunsOf, type AttemptRecord } from '@marjoramcart/core';
import type { AttemptEnd } from './attempt-end.js';
import type { Call } from './call.js';
import type { CallerResponse } from './caller-answer.js';

export interface CallProgress {
  readonly call: Call;
  readonly response: CallerResponse;
  readonly attempts: AttemptRecord[];
  /** Last whole event of a stream that was passed on, over all attempts. */
  lastEvent: number | undefined;
  /** Failure answer of a target that can be passed on. */
  failure: Extract<AttemptEnd, { kind: 'answered' }> | undefined;
}

/** Targets that may have run the call. */
export function runsSoFar({ attempts }: CallProgress): number {
  return attempts.reduce((sum, attempt) => sum + possibleRunsOf(attempt), 0);
}

/** Targets that may still run the call. */
export function attemptsLeft(progress: CallProgress): number {
  return Math.max(1, progress.call.facts.maxAttempts - runsSoFar(progress));
}
