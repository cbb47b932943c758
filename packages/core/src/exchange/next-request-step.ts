/**
 * The next step of a request, as a pure function of what is known of it. At most once, true
 * refusals, the number of attempts and the retry budget are properties of this function.
 */
import { match } from 'ts-pattern';
import { RouteKind } from '../fleet/fleet-config.js';
import { mayHaveRun, possibleRunsOf, sameDestination, type AttemptRecord, type Place } from './attempt-record.js';

/** What stays the same while a request is handled. */
export interface RequestFacts {
  readonly kind: RouteKind;
  readonly resumable: boolean;
  /** Most targets that the request may be sent to. */
  readonly maxAttempts: number;
  /** When the final answer is due, monotonic ms. */
  readonly deadlineAt: number;
  /** When the request arrived, monotonic ms. */
  readonly arrivedAt: number;
  /** Time to the first byte that the caller aims for, ms from the arrival. */
  readonly latencyTargetMs: number;
  /** How long the caller waits for the first byte before it leaves, ms from the arrival. */
  readonly patienceMs: number;
}

/** A place that could take the request now. */
export interface Candidate {
  readonly destination: Place;
  /** Expected time until the first byte of the answer, ms. */
  readonly expectedFirstByteMs: number;
  /** Part of that time which is spent waiting for other work, ms. */
  readonly expectedWaitMs: number;
  /**
   * Expected time until the first byte when all waiting requests go first, ms. Absent where
   * requests are not ordered by priority.
   */
  readonly deferredFirstByteMs?: number;
  /** Prompt tokens that the place has to read; 0 for plain services. */
  readonly uncachedTokens: number;
  /** Time that the place needs to read them, ms. */
  readonly prefillMs: number;
  /** Id of a target that holds more of the prompt, from which the place fetches it. */
  readonly fetchFrom?: string;
  /** Age of what other gateways or the target told of the load there, ms; absent without any. */
  readonly loadAgeMs?: number;
  /** What the candidates are ordered by: the expected time and what the choice costs others, ms. */
  readonly costMs: number;
}

/** What is known at the time of the step. */
export interface StepView {
  readonly now: number;
  readonly attempts: readonly AttemptRecord[];
  /** The head of an answer was passed on to the caller. */
  readonly headSent: boolean;
  /** The caller closed its connection. */
  readonly callerGone: boolean;
  /** Best first. */
  readonly candidates: readonly Candidate[];
  /** Places that take no request now and may do so later. */
  readonly closed: readonly Place[];
  /** Whether the retry budget allows one more attempt. Called at most once. */
  readonly takeRetry: () => boolean;
}

export const RefusalReason = {
  NoTarget: 'no-target',
  Overload: 'overload',
  RetryBudget: 'retry-budget',
  Deadline: 'deadline',
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

export type RequestStep =
  | {
      readonly kind: 'attempt';
      readonly candidate: Candidate;
      readonly retry: boolean;
      /** The answer will be late in any case, so requests that can be in time go first. */
      readonly deferred: boolean;
    }
  /** Look again after this time. */
  | { readonly kind: 'wait'; readonly delayMs: number }
  /** The request was not run and never will be. */
  | { readonly kind: 'refuse'; readonly reason: RefusalReason; readonly retryAfterMs: number }
  /** Pass on the failure answer of the attempt with this index. */
  | { readonly kind: 'pass-on'; readonly attempt: number }
  /** The request may have run and has no answer. */
  | { readonly kind: 'fail'; readonly timedOut: boolean }
  /** End an answer that is partly passed on, visibly incomplete. */
  | { readonly kind: 'cut' }
  | { readonly kind: 'abandon' };

/** Waiting beyond this part of the latency target is left to the caller, who is told to return. */
const MAX_WAIT_PART = 0.125;
/** Part of the latency target that may be used up when the first byte is expected. */
const ADMITTED_PART = 0.9;
/** Part of the latency target that a request of any size may wait for other work. */
const ADMITTED_WAIT_PART = 0.4;
/** Part of the caller's patience within which a late first byte has to be expected. */
const DEFERRED_PART = 0.6;
/** Attempts in which no target can have run the request, which are not bound by `maxAttempts`. */
const MAX_UNRUN_ATTEMPTS = 4;
/** Callers that have no better figure return after this time. */
const DEFAULT_COME_BACK_MS = 500;
const MIN_COME_BACK_MS = 100;
/** Up to this part of the latency target a caller returns as soon as there is room. */
const SHORT_WAIT_PART = 0.3;
/** Time beyond the work ahead for callers that are late in any case. */
const LATER_MS = 500;
/** Part of the time left that a caller is told to stay away; callers honour up to a third. */
const MAX_COME_BACK_PART = 0.2;
/** Closed places are looked at again after this time. */
const RECHECK_MS = 75;
/** A request with less time left is not worth sending. */
const MIN_USEFUL_MS = 30;

/**
 * Decides what happens next with a request.
 *
 * @example nextRequestStep(facts, view) // { kind: 'attempt', candidate, retry: false }
 */
export function nextRequestStep(facts: RequestFacts, view: StepView): RequestStep {
  if (view.callerGone) return { kind: 'abandon' };
  const { attempts, now } = view;
  const started = attempts.some(mayHaveRun);
  const timedOut = facts.deadlineAt - now < MIN_USEFUL_MS;
  if (timedOut) return giveUp(view, RefusalReason.Deadline);
  if (view.headSent && !facts.resumable) return { kind: 'cut' };
  if (started && !mayRepeat(facts)) return giveUp(view, RefusalReason.NoTarget);
  const runs = attempts.reduce((sum, attempt) => sum + possibleRunsOf(attempt), 0);
  const unrun = attempts.filter((attempt) => !mayHaveRun(attempt)).length;
  if (runs >= facts.maxAttempts || unrun > MAX_UNRUN_ATTEMPTS) {
    return giveUp(view, RefusalReason.NoTarget);
  }
  const untried = view.candidates.filter(({ destination: place }) => isUntried(view, place));
  const [best] = untried;
  if (!best) return withoutCandidate(facts, view);
  // A request that is partly served is finished, since its work would be lost otherwise.
  const urgent = started || view.headSent || isInTime(facts, best, now);
  const chosen = urgent ? best : latePlace(facts, untried, now);
  if (!chosen) return overload(facts, best, now);
  // An attempt that never left the process put no load on a target.
  const retry = attempts.some(({ outcome }) => outcome.kind !== 'not-sent');
  if (retry && !view.takeRetry()) return giveUp(view, RefusalReason.RetryBudget);
  return { kind: 'attempt', candidate: chosen, retry, deferred: !urgent };
}

/**
 * Whether the request would be sent to another place if its attempt at a place were lost now. An
 * attempt that stalls is given up only then, since its answer may still come.
 *
 * @param view `takeRetry` only looks whether the budget allows one more attempt
 * @example wouldMove(facts, view, { kind: 'target', id: 'i-1' })
 */
export function wouldRetryAfterLoss(facts: RequestFacts, view: StepView, place: Place): boolean {
  const lost: AttemptRecord = { destination: place, outcome: { kind: 'lost', runs: 1 } };
  const step = nextRequestStep(facts, { ...view, attempts: [...view.attempts, lost] });
  return step.kind === 'attempt';
}

/** Whether a second run does no harm. */
export function mayRepeat(facts: Pick<RequestFacts, 'kind' | 'resumable'>): boolean {
  return match(facts.kind)
    .with(RouteKind.Repeatable, () => true)
    .with(RouteKind.Stream, () => facts.resumable)
    .with(RouteKind.Single, () => false)
    .exhaustive();
}

/** Whether the request was not sent to a place before. */
function isUntried({ attempts }: StepView, place: Place): boolean {
  return !attempts.some((attempt) => sameDestination(attempt.destination, place));
}

function withoutCandidate(facts: RequestFacts, view: StepView): RequestStep {
  const { now } = view;
  const mayOpen = view.closed.some((place) => isUntried(view, place));
  const waitedMs = now - facts.arrivedAt;
  const maxWaitMs = view.attempts.some(mayHaveRun)
    ? facts.deadlineAt - now
    : facts.latencyTargetMs * MAX_WAIT_PART - waitedMs;
  if (mayOpen && RECHECK_MS <= maxWaitMs) return { kind: 'wait', delayMs: RECHECK_MS };
  return giveUp(view, RefusalReason.NoTarget);
}

/** Whether the first byte is expected within the latency target, or waits for little else. */
function isInTime(facts: RequestFacts, best: Candidate, now: number): boolean {
  const waitedMs = now - facts.arrivedAt;
  const { latencyTargetMs } = facts;
  if (waitedMs + best.expectedFirstByteMs <= latencyTargetMs * ADMITTED_PART) return true;
  // Engines serve what can be in time before what can't; plain services have one queue.
  const admittedMs = best.deferredFirstByteMs === undefined ? Infinity : latencyTargetMs;
  return (
    waitedMs + best.expectedWaitMs <= latencyTargetMs * ADMITTED_WAIT_PART &&
    waitedMs + best.expectedFirstByteMs <= admittedMs
  );
}

/** The place that serves a late request first, while the caller still waits for it. */
function latePlace(
  facts: RequestFacts,
  candidates: readonly Candidate[],
  now: number,
): Candidate | undefined {
  const latestMs = facts.patienceMs * DEFERRED_PART - (now - facts.arrivedAt);
  const [first] = candidates
    .filter(({ deferredFirstByteMs: lastFirstByteMs = Infinity }) => lastFirstByteMs <= latestMs)
    .sort((a, b) => (a.deferredFirstByteMs ?? 0) - (b.deferredFirstByteMs ?? 0));
  return first?.deferredFirstByteMs === undefined
    ? undefined
    : { ...first, expectedFirstByteMs: first.deferredFirstByteMs };
}

/** Refuses a request whose first byte would come too late, while the caller can still return. */
function overload(facts: RequestFacts, best: Candidate, now: number): RequestStep {
  const surplusMs = best.expectedWaitMs - facts.latencyTargetMs * ADMITTED_WAIT_PART;
  return {
    kind: 'refuse',
    reason: RefusalReason.Overload,
    retryAfterMs: comeBackAfter(surplusMs, facts, now),
  };
}

/**
 * When a caller that was refused for overload returns. A short wait may still end within the latency
 * target. After a long one the answer is late in any case, so the callers of a peak are told to
 * return later than the work ahead takes, as they may be refused for good the second time.
 */
function comeBackAfter(surplusMs: number, facts: RequestFacts, now: number): number {
  if (surplusMs <= facts.latencyTargetMs * SHORT_WAIT_PART) {
    return Math.max(MIN_COME_BACK_MS, surplusMs);
  }
  const longestMs = (facts.deadlineAt - now) * MAX_COME_BACK_PART;
  return Math.max(MIN_COME_BACK_MS, Math.min(longestMs, surplusMs * 2 + LATER_MS));
}

/** The final answer of a request that gets no further attempt. */
function giveUp(view: StepView, reason: RefusalReason): RequestStep {
  if (view.headSent) return { kind: 'cut' };
  const { attempts } = view;
  const failed = attempts.findLastIndex(({ outcome }) => outcome.kind === 'failed');
  if (failed >= 0) return { kind: 'pass-on', attempt: failed };
  if (attempts.some(mayHaveRun)) {
    return { kind: 'fail', timedOut: reason === RefusalReason.Deadline };
  }
  const told = attempts
    .map(({ outcome }) => (outcome.kind === 'not-run' ? outcome.retryAfterMs : undefined))
    .filter((ms) => ms !== undefined);
  const comeBackMs = Math.max(DEFAULT_COME_BACK_MS, ...told);
  return { kind: 'refuse', reason, retryAfterMs: comeBackMs };
}
