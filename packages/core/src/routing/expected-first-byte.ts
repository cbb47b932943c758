/**
 * Load pattern: prompts of very different sizes that share long parts, with prefill as the
 * bottleneck. Places are compared by the time until the first byte (prompt tokens that wait there,
 * tokens of the request that are not cached there, the target's own pace) and by the work that
 * reading a shared part again takes from other requests. A shared part therefore stays with its
 * home until another place would answer clearly sooner.
 */
import type { Candidate } from '../exchange/next-request-step.js';
import { sharedTokensOf, type Prompt } from './prompt.js';
import type { TargetWork } from './target-work.js';

/** A target that may be used now. */
export interface RankedTarget {
  readonly id: string;
  readonly slots: number;
  readonly work: TargetWork;
  /** The shared parts of the prompt are expected in its cache, whoever sent them. */
  readonly holdsShared: boolean;
}

/** What the ranking depends on in a request. */
export interface RankedRequest {
  /** Absent for plain services. */
  readonly prompt?: Prompt;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly latencyTargetMs: number;
}

/** Speed of a service's targets. */
export interface ServicePace {
  /** Prompt tokens that a target reads in a ms, beside its other work. */
  readonly prefillTokensPerMs: number;
  /** Time to the first byte without any wait, ms; for plain services the time of a request. */
  readonly baseMs: number;
  /** Part of the requests that fail at a target in good health. */
  readonly usualFailureRate: number;
}

/** Weight of the time for reading shared parts again, beside the caller's own wait for it. */
export const REREAD_WEIGHT = 4;

/** Latency targets that a failed request costs. */
const FAILURE_COST = 3;
/** Difference in the failure rate that is ignored. */
const FAILURE_TOLERANCE = 0.08;
/** Above this part of its slots a target is taken to be full. */
const FULL_PART = 0.95;

/**
 * Candidates for a request, best first.
 *
 * @example rankTargets(req, targets, pace, now)[0] // { place, expectedFirstByteMs, ... }
 */
export function rankTargets(
  req: RankedRequest,
  targets: readonly RankedTarget[],
  pace: ServicePace,
  now: number,
): Candidate[] {
  return targets.map((target) => rate(req, target, pace, now)).sort((a, b) => a.costMs - b.costMs);
}

function rate(
  req: RankedRequest,
  { id, slots, work, holdsShared }: RankedTarget,
  pace: ServicePace,
  now: number,
): Candidate {
  const { prompt, priority, latencyTargetMs } = req;
  const { prefillTokensPerMs, baseMs, usualFailureRate } = pace;
  const tokensAhead = prompt ? work.pendingTokens(now, prefillTokensPerMs, priority) : 0;
  const tokensToRead = prompt ? work.uncachedTokens(prompt, holdsShared) : 0;
  const slotWaitMs = waitForSlot(work.requests(now), slots, pace);
  const expectedWaitMs = (slotWaitMs + tokensAhead / prefillTokensPerMs) * work.slowness;
  const expectedFirstByteMs =
    expectedWaitMs + (baseMs + tokensToRead / prefillTokensPerMs) * work.slowness;
  const excess = work.failureRate(now) - usualFailureRate - FAILURE_TOLERANCE;
  const failureMs = Math.max(0, excess) * FAILURE_COST * latencyTargetMs;
  return {
    place: { kind: 'target', id },
    expectedFirstByteMs,
    expectedWaitMs,
    tokensToRead,
    costMs: expectedFirstByteMs + failureMs + rereadMs(prompt, tokensToRead, pace),
  };
}

/**
 * What reading shared parts again costs other requests, ms.
 *
 * @example rereadMs(prompt, 6000, pace) // 160
 */
export function rereadMs(
  prompt: Prompt | undefined,
  tokensToRead: number,
  { prefillTokensPerMs }: ServicePace,
): number {
  if (!prompt) return 0;
  const shared = sharedTokensOf(prompt);
  const own = prompt.promptTokens - shared;
  const again = Math.min(shared, Math.max(0, tokensToRead - own));
  return (again / prefillTokensPerMs) * REREAD_WEIGHT;
}

/** Time until one of the slots is free, when all requests take about the base time. */
function waitForSlot(requests: number, slots: number, { baseMs }: ServicePace): number {
  const full = slots * FULL_PART;
  return requests < full ? 0 : ((requests - full + 1) / Math.max(1, slots)) * baseMs;
}
