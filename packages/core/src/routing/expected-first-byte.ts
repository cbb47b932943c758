/**
 * Load pattern: prompts of very different sizes that share long parts, with prefill as the
 * bottleneck. Targets are compared by the time until the first byte: prompt tokens that wait there,
 * tokens of the request that are not cached there, and the target's own pace. A shared part stays
 * with the first target of its rendezvous order until another target would answer sooner even
 * though it has to read the part.
 */
import type { Candidate } from '../exchange/next-request-step.js';
import { rendezvousOrder } from '../rendezvous.js';
import { sharedPartOf, type Prompt } from './prompt.js';
import type { TargetWork } from './target-work.js';

/** A target that may be used now. */
export interface RankedTarget {
  readonly id: string;
  readonly slots: number;
  readonly work: TargetWork;
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

/** Latency targets that a failed request costs. */
const FAILURE_COST = 3;
/** Difference in the failure rate that is ignored. */
const FAILURE_TOLERANCE = 0.08;
/** Above this part of its slots a target is taken to be full when it is compared with others. */
const FULL_PART = 0.95;

/**
 * Candidates for a request, best first.
 *
 * @example rankTargets(req, targets, pace, now)[0] // { place, expectedFirstByteMs, expectedWaitMs }
 */
export function rankTargets(
  req: RankedRequest,
  targets: readonly RankedTarget[],
  pace: ServicePace,
  now: number,
): Candidate[] {
  const shared = req.prompt ? sharedPartOf(req.prompt) : undefined;
  const [home] =
    shared === undefined
      ? []
      : rendezvousOrder(
          shared,
          targets.map(({ id }) => id),
        );
  return targets
    .map((target) => rate(req, target, target.id === home, pace, now))
    .sort((a, b) => a.cost - b.cost)
    .map(({ candidate }) => candidate);
}

function rate(
  req: RankedRequest,
  target: RankedTarget,
  isHome: boolean,
  pace: ServicePace,
  now: number,
): { readonly candidate: Candidate; readonly cost: number } {
  const { work, slots } = target;
  const slotWaitMs = waitForSlot(work.requests(now), slots, pace);
  const tokensAhead = req.prompt ? work.pendingTokens(now, req.priority) : 0;
  const ownTokens = req.prompt ? work.uncachedTokens(req.prompt, isHome) : 0;
  const factor = work.slowness;
  const expectedWaitMs = (slotWaitMs + tokensAhead / pace.prefillTokensPerMs) * factor;
  const expectedFirstByteMs =
    expectedWaitMs + (pace.baseMs + ownTokens / pace.prefillTokensPerMs) * factor;
  const excess = work.failureRate(now) - pace.usualFailureRate - FAILURE_TOLERANCE;
  const failureCost = Math.max(0, excess) * FAILURE_COST * req.latencyTargetMs;
  return {
    candidate: {
      place: { kind: 'target', id: target.id },
      expectedFirstByteMs,
      expectedWaitMs,
    },
    cost: expectedFirstByteMs + failureCost,
  };
}

/** Time until one of the slots is free, when all requests take about the base time. */
function waitForSlot(requests: number, slots: number, { baseMs }: ServicePace): number {
  const full = slots * FULL_PART;
  return requests < full ? 0 : ((requests - full + 1) / Math.max(1, slots)) * baseMs;
}
