/**
 * Decides the next step of a request as a pure function of its state. This function enforces that a
 * request runs at most once where it must, that only requests that never run are refused, and that
 * attempts and retries stay within their limits.
 */
import { match } from 'ts-pattern';
import { RouteKind } from '../fleet/fleet-config.js';
import {
  mayHaveArrived,
  mayHaveRun,
  possibleRunsOf,
  sameDestination,
  type AttemptRecord,
  type Destination,
} from './attempt-record.js';

/** Properties of a request that do not change while it is handled. */
export interface RequestFacts {
  readonly kind: RouteKind;
  readonly resumable: boolean;
  /** Maximum number of targets that the request may be sent to. */
  readonly maxAttempts: number;
  /** Deadline of the final response, monotonic ms. */
  readonly deadlineAt: number;
  /** When the request arrived, monotonic ms. */
  readonly arrivedAt: number;
  /** Latency target for the first byte, ms from the arrival. */
  readonly latencyTargetMs: number;
  /** How long the caller waits for the first byte before it disconnects, ms from the arrival. */
  readonly patienceMs: number;
  /** The caller has a part of the stream from an earlier attempt of its own. */
  readonly resumed?: boolean;
}

/** A destination that can accept the request now. */
export interface Candidate {
  readonly destination: Destination;
  /** Expected time until the first byte of the response, ms. */
  readonly expectedFirstByteMs: number;
  /** The part of that time that is spent queued behind other work, ms. */
  readonly expectedWaitMs: number;
  /** The rest of that time at a target of usual speed, ms; absent for a gateway. */
  readonly serviceMs?: number;
  /** Factor on times at the target that was assumed; absent for a gateway. */
  readonly speedFactor?: number;
  /**
   * Expected time until the first byte if all queued requests are served first, ms. Absent where
   * requests are not ordered by priority.
   */
  readonly deferredFirstByteMs?: number;
  /** Prompt tokens that the destination has to prefill; 0 for plain services. */
  readonly uncachedTokens: number;
  /** Prefill time of those tokens, ms. */
  readonly prefillMs: number;
  /** Id of a target with more cached tokens, from which the destination fetches the KV cache. */
  readonly fetchFrom?: string;
  /** Mean time between two events of the streams there, ms; absent if not known. */
  readonly paceMs?: number;
  /** Whether the streams there are too slow for this request. */
  readonly tooSlow?: boolean;
  /** Age of the latest load report for the destination, ms; absent if there is none. */
  readonly loadAgeMs?: number;
  /** Sort key of the candidates: the expected time plus the cost to other requests, ms. */
  readonly costMs: number;
}

/** State of the request and of its destinations at the time of the step. */
export interface StepView {
  readonly now: number;
  readonly attempts: readonly AttemptRecord[];
  /** The head of a response was passed on to the caller. */
  readonly headSent: boolean;
  /** The caller closed its connection. */
  readonly callerDisconnected: boolean;
  /** Best first. */
  readonly candidates: readonly Candidate[];
  /** Destinations that accept no request now but may do so later. */
  readonly unavailable: readonly Destination[];
  /** Time until the next of them is known to accept one, ms; absent if that is not known. */
  readonly opensInMs?: number;
  /**
   * Set when the request or a part of its prompt is known to crash targets: time until it is tried
   * again, ms.
   */
  readonly refusedForMs?: number;
  /** Whether late requests may be served after all others; true if absent. */
  readonly mayDefer?: boolean;
  /** Takes one retry from the budget; false when it is spent. Called at most once. */
  readonly takeRetry: () => boolean;
}

export const RefusalReason = {
  NoTarget: 'no-target',
  Overload: 'overload',
  RetryBudget: 'retry-budget',
  CrashesTargets: 'crashes-targets',
  Deadline: 'deadline',
  UnknownVersion: 'unknown-version',
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

export type RequestStep =
  | {
      readonly kind: 'attempt';
      readonly candidate: Candidate;
      readonly retry: boolean;
      /** The response will be late in any case, so requests that can be in time go first. */
      readonly deferred: boolean;
    }
  /** Evaluate the request again after this time. */
  | { readonly kind: 'wait'; readonly delayMs: number }
  /** Refuse the request, which was not run and never will be. */
  | { readonly kind: 'refuse'; readonly reason: RefusalReason; readonly retryAfterMs: number }
  /** Pass on the error response of the attempt with this index. */
  | { readonly kind: 'pass-on'; readonly attempt: number }
  /** Report that the request may have run but has no response. */
  | { readonly kind: 'fail'; readonly timedOut: boolean }
  /** Abort a partly sent response so that the caller sees that it is incomplete. */
  | { readonly kind: 'cut' }
  /** Stop handling the request, since the caller has disconnected. */
  | { readonly kind: 'abandon' };

/** A request that has not run waits for a destination for at most this share of the latency target. */
const MAX_NO_TARGET_WAIT_SHARE = 0.125;
/** The same for one that goes on with a stream, for which few destinations may do. */
const MAX_RESUMED_WAIT_SHARE = 0.5;
/** A request is in time if its first byte is expected within this share of the latency target. */
const IN_TIME_SHARE = 0.9;
/** A request is also in time if it is queued for at most this share of the latency target. */
const IN_TIME_WAIT_SHARE = 0.4;
/** A late first byte has to be expected within this share of `patienceMs`. */
const DEFERRED_SHARE = 0.6;
/** Limit on attempts in which no target can have run the request; `maxAttempts` does not count them. */
const MAX_ATTEMPTS_WITHOUT_RUN = 4;
/** Retry delay when no target or gateway reported a longer one. */
const DEFAULT_RETRY_AFTER_MS = 500;
const MIN_RETRY_AFTER_MS = 100;
/** If the excess wait is below this share of the latency target, callers retry right after it. */
const SHORT_EXCESS_WAIT_SHARE = 0.3;
/** Delay added to twice the excess wait for callers whose response will be late in any case. */
const EXTRA_RETRY_DELAY_MS = 500;
/** Largest retry delay as a share of the time left; callers honour up to a third of that time. */
const MAX_RETRY_AFTER_SHARE = 0.2;
/** Time after which streams that are too slow are expected to be faster again. */
const SLOW_STREAMS_WAIT_MS = 500;
/** Unavailable destinations are checked again after this time. */
const RECHECK_MS = 75;
/** A request with less time left than this is not sent. */
const MIN_REMAINING_MS = 30;

/**
 * Decides the next step of a request.
 *
 * @example nextRequestStep(facts, view) // { kind: 'attempt', candidate, retry: false, deferred: false }
 */
export function nextRequestStep(facts: RequestFacts, view: StepView): RequestStep {
  if (view.callerDisconnected) return { kind: 'abandon' };
  const { attempts, now } = view;
  const started = attempts.some(mayHaveRun);
  const timedOut = facts.deadlineAt - now < MIN_REMAINING_MS;
  if (timedOut) return finalStep(view, RefusalReason.Deadline);
  if (view.refusedForMs !== undefined) return finalStep(view, RefusalReason.CrashesTargets);
  if (view.headSent && !facts.resumable) return { kind: 'cut' };
  if (started && !mayRepeat(facts)) return finalStep(view, RefusalReason.NoTarget);
  const runs = attempts.reduce((sum, attempt) => sum + possibleRunsOf(attempt), 0);
  const attemptsWithoutRun = attempts.filter((attempt) => !mayHaveRun(attempt)).length;
  if (runs >= facts.maxAttempts || attemptsWithoutRun > MAX_ATTEMPTS_WITHOUT_RUN) {
    return finalStep(view, RefusalReason.NoTarget);
  }
  const untried = view.candidates.filter(({ destination }) => isUntried(view, destination));
  const [best] = untried;
  if (!best) return stepWithoutCandidate(facts, view);
  // A partly served request is not refused for overload, since the work done for it would be lost.
  const partlyServed = started || view.headSent || facts.resumed === true;
  const fastEnough = partlyServed ? untried : untried.filter(({ tooSlow }) => tooSlow !== true);
  const [bestPaced] = fastEnough;
  if (!bestPaced) return refuseOverload(facts, best, now, SLOW_STREAMS_WAIT_MS);
  const immediate = partlyServed || isInTime(facts, bestPaced, now);
  const deferred = (): Candidate | undefined =>
    view.mayDefer === false ? undefined : earliestDeferred(facts, fastEnough, now);
  const chosen = immediate ? bestPaced : deferred();
  if (!chosen) return refuseOverload(facts, bestPaced, now);
  // An attempt that was never sent to a target did not load one, so it needs no retry budget.
  const retry = attempts.some(mayHaveArrived);
  if (retry && !view.takeRetry()) return finalStep(view, RefusalReason.RetryBudget);
  return { kind: 'attempt', candidate: chosen, retry, deferred: !immediate };
}

/**
 * Whether the request would be sent to another destination if its attempt at this one were lost
 * now. A stalled attempt is aborted only in that case, since its response may still arrive.
 *
 * @param view `takeRetry` must only check the budget, without taking a retry from it
 * @example wouldRetryAfterLoss(facts, view, { kind: 'target', id: 'i-1' })
 */
export function wouldRetryAfterLoss(
  facts: RequestFacts,
  view: StepView,
  destination: Destination,
): boolean {
  const lost: AttemptRecord = { destination, outcome: { kind: 'lost', runs: 1 } };
  const step = nextRequestStep(facts, { ...view, attempts: [...view.attempts, lost] });
  return step.kind === 'attempt';
}

/** Whether the request may run a second time. */
export function mayRepeat(facts: Pick<RequestFacts, 'kind' | 'resumable'>): boolean {
  return match(facts.kind)
    .with(RouteKind.Repeatable, () => true)
    .with(RouteKind.Stream, () => facts.resumable)
    .with(RouteKind.Single, () => false)
    .exhaustive();
}

/** Whether the request has not been sent to the destination yet. */
function isUntried({ attempts }: StepView, destination: Destination): boolean {
  return !attempts.some((attempt) => sameDestination(attempt.destination, destination));
}

function stepWithoutCandidate(facts: RequestFacts, view: StepView): RequestStep {
  const { now } = view;
  const mayBecomeAvailable = view.unavailable.some((destination) => isUntried(view, destination));
  const waitedMs = now - facts.arrivedAt;
  const waitShare = facts.resumed === true ? MAX_RESUMED_WAIT_SHARE : MAX_NO_TARGET_WAIT_SHARE;
  const maxWaitMs = view.attempts.some(mayHaveRun)
    ? facts.deadlineAt - now
    : facts.latencyTargetMs * waitShare - waitedMs;
  if (mayBecomeAvailable && RECHECK_MS <= maxWaitMs) return { kind: 'wait', delayMs: RECHECK_MS };
  const longestMs = (facts.deadlineAt - now) * MAX_RETRY_AFTER_SHARE;
  return finalStep(view, RefusalReason.NoTarget, Math.min(view.opensInMs ?? 0, longestMs));
}

/** Whether the first byte is expected in time, or the request is queued only for a short time. */
function isInTime(facts: RequestFacts, best: Candidate, now: number): boolean {
  const waitedMs = now - facts.arrivedAt;
  const { latencyTargetMs } = facts;
  if (waitedMs + best.expectedFirstByteMs <= latencyTargetMs * IN_TIME_SHARE) return true;
  // Engines serve requests that can be in time before late ones; plain services have one queue.
  const inTimeMs = best.deferredFirstByteMs === undefined ? Infinity : latencyTargetMs;
  return (
    waitedMs + best.expectedWaitMs <= latencyTargetMs * IN_TIME_WAIT_SHARE &&
    waitedMs + best.expectedFirstByteMs <= inTimeMs
  );
}

/** The destination with the earliest first byte for a late request, within the caller's patience. */
function earliestDeferred(
  facts: RequestFacts,
  candidates: readonly Candidate[],
  now: number,
): Candidate | undefined {
  const latestMs = facts.patienceMs * DEFERRED_SHARE - (now - facts.arrivedAt);
  const [first] = candidates
    .filter(({ deferredFirstByteMs = Infinity }) => deferredFirstByteMs <= latestMs)
    .sort((a, b) => (a.deferredFirstByteMs ?? 0) - (b.deferredFirstByteMs ?? 0));
  return first?.deferredFirstByteMs === undefined
    ? undefined
    : { ...first, expectedFirstByteMs: first.deferredFirstByteMs };
}

/** Refuses a request whose first byte would be late, early enough for the caller to retry. */
function refuseOverload(
  facts: RequestFacts,
  best: Candidate,
  now: number,
  minExcessMs = -Infinity,
): RequestStep {
  const waitExcessMs = best.expectedWaitMs - facts.latencyTargetMs * IN_TIME_WAIT_SHARE;
  const excessWaitMs = Math.max(waitExcessMs, minExcessMs);
  return {
    kind: 'refuse',
    reason: RefusalReason.Overload,
    retryAfterMs: overloadRetryAfterMs(excessWaitMs, facts, now),
  };
}

/**
 * Retry delay of a caller that was refused for overload, ms. After a short wait the response may
 * still meet the latency target. After a long one it is late in any case, so callers are told to
 * retry only well after the queued work is done: a second refusal may be final for them.
 */
function overloadRetryAfterMs(excessWaitMs: number, facts: RequestFacts, now: number): number {
  if (excessWaitMs <= facts.latencyTargetMs * SHORT_EXCESS_WAIT_SHARE) {
    return Math.max(MIN_RETRY_AFTER_MS, excessWaitMs);
  }
  const longestMs = (facts.deadlineAt - now) * MAX_RETRY_AFTER_SHARE;
  return Math.max(MIN_RETRY_AFTER_MS, Math.min(longestMs, excessWaitMs * 2 + EXTRA_RETRY_DELAY_MS));
}

/**
 * The final step of a request that gets no further attempt.
 *
 * @param opensInMs time until a destination is known to accept a request
 */
function finalStep(view: StepView, reason: RefusalReason, opensInMs = 0): RequestStep {
  if (view.headSent) return { kind: 'cut' };
  const { attempts } = view;
  const failed = attempts.findLastIndex(({ outcome }) => outcome.kind === 'failed');
  if (failed >= 0) return { kind: 'pass-on', attempt: failed };
  if (attempts.some(mayHaveRun)) {
    return { kind: 'fail', timedOut: reason === RefusalReason.Deadline };
  }
  const reportedMs = attempts
    .map(({ outcome }) => (outcome.kind === 'not-run' ? outcome.retryAfterMs : undefined))
    .filter((ms) => ms !== undefined);
  const retryAfterMs = Math.max(
    view.refusedForMs ?? DEFAULT_RETRY_AFTER_MS,
    opensInMs,
    ...reportedMs,
  );
  return { kind: 'refuse', reason, retryAfterMs };
}
