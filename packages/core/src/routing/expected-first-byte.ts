/**
 * Load pattern: prompts of very different sizes that share long parts, with prefill as the
 * bottleneck. Places are compared by the time until the first byte (prompts that are read before,
 * the reading of what is neither cached there nor fetched from another target, the target's own
 * pace), by the part of it that comes after the latency target, and by the work that reading a
 * shared part again takes from other requests.
 */
import type { Candidate } from '../exchange/next-request-step.js';
import { memoryWaitMs, unsharedTokens } from './memory-use.js';
import { sharedPrefixTokens, type Prompt } from './prompt.js';
import { estimatePrefillMs, type ServiceSpeed } from './service-pace.js';
import type { TargetWork } from './target-work.js';

/** A target that may be used now. */
export interface RankedTarget {
  readonly id: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly work: TargetWork;
  /** The shared parts of the prompt are expected in its cache, whoever sent them. */
  readonly sharedPrefixCached: boolean;
}

/** What the ranking depends on in a request. */
export interface RankedRequest {
  /** Absent for plain services. */
  readonly prompt?: Prompt;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly latencyTargetMs: number;
}

/** Beginning of a prompt that a target holds. */
interface Holding {
  readonly target: RankedTarget;
  readonly warmTokens: number;
}

/** Weight of the time for reading shared parts again, beside the caller's own wait for it. */
const REREAD_WEIGHT = 4;
/** Weight of a fetch relative to reading the same parts again, by the users' prices of both. */
const FETCH_WEIGHT = 0.15;
/** Time of a fetch between targets of one failure domain: its start, and for each token. */
const FETCH_START_MS = 3;
const FETCH_MS_PER_TOKEN = 0.002;
/** Shorter parts are read again rather than fetched. */
const MIN_FETCHED_TOKENS = 100;
/** Weight of the time after the latency target. */
const LATE_WEIGHT = 2;
/** Part of the latency target after which the first byte may well be late. */
const LATE_FROM_PART = 0.8;
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
  pace: ServiceSpeed,
  now: number,
): Candidate[] {
  const { prompt } = req;
  const candidates = prompt
    ? rankEngines({ ...req, prompt }, targets, pace, now)
    : targets.map((target) => ratePlain(req, target, pace, now));
  return candidates.sort((a, b) => a.costMs - b.costMs);
}

function rankEngines(
  req: RankedRequest & { readonly prompt: Prompt },
  targets: readonly RankedTarget[],
  pace: ServiceSpeed,
  now: number,
): Candidate[] {
  const holdings = targets.map((target) => ({
    target,
    warmTokens: Math.max(
      target.work.cachedTokens(req.prompt),
      target.sharedPrefixCached ? sharedPrefixTokens(req.prompt) : 0,
    ),
  }));
  const sources = fullestByDomain(holdings);
  return holdings.map((holding) =>
    rateEngine(req, holding, sources.get(holding.target.failureDomain), pace, now),
  );
}

function rateEngine(
  req: RankedRequest & { readonly prompt: Prompt },
  holding: Holding,
  fullest: Holding | undefined,
  pace: ServiceSpeed,
  now: number,
): Candidate {
  const { prompt, priority } = req;
  const { target, warmTokens } = holding;
  const { work, slots } = target;
  const holdsMore = fullest && fullest.warmTokens >= warmTokens + MIN_FETCHED_TOKENS;
  const source = holdsMore ? fullest : undefined;
  const fetchedTokens = source ? source.warmTokens - warmTokens : 0;
  const readMs =
    estimatePrefillMs(prompt, warmTokens + fetchedTokens, pace) +
    (source ? FETCH_START_MS + fetchedTokens * FETCH_MS_PER_TOKEN : 0);
  const placeWaitMs =
    slotWaitMs(work.requests(now), slots, pace) * work.latencyFactor +
    memoryWaitMs(
      work.memoryTokens(now),
      unsharedTokens(prompt),
      work.memoryCapacityTokens,
      pace.slotMs,
    );
  const expectedWaitMs = placeWaitMs + work.prompts.waitMs(priority, now);
  const ownMs = (pace.baseMs + readMs) * work.latencyFactor;
  const tokensToRead = Math.max(0, prompt.promptTokens - warmTokens - fetchedTokens);
  const expectedFirstByteMs = expectedWaitMs + ownMs;
  return {
    destination: { kind: 'target', id: target.id },
    expectedFirstByteMs,
    expectedWaitMs,
    deferredFirstByteMs: placeWaitMs + work.prompts.backlogMs(now) + ownMs,
    uncachedTokens: tokensToRead,
    prefillMs: readMs,
    ...(source ? { fetchFrom: source.target.id } : {}),
    ...loadAge(work.reportAgeMs(now)),
    costMs:
      expectedFirstByteMs +
      latenessMs(expectedFirstByteMs, req) +
      failureMs(work, req, pace, now) +
      recomputeMs(prompt, tokensToRead, pace) +
      (fetchedTokens / pace.prefillTokensPerMs) * REREAD_WEIGHT * FETCH_WEIGHT,
  };
}

function ratePlain(
  req: RankedRequest,
  { id, slots, work }: RankedTarget,
  pace: ServiceSpeed,
  now: number,
): Candidate {
  const expectedWaitMs = slotWaitMs(work.requests(now), slots, pace) * work.latencyFactor;
  const expectedFirstByteMs = expectedWaitMs + pace.baseMs * work.latencyFactor;
  return {
    destination: { kind: 'target', id },
    expectedFirstByteMs,
    expectedWaitMs,
    uncachedTokens: 0,
    prefillMs: 0,
    ...loadAge(work.reportAgeMs(now)),
    costMs:
      expectedFirstByteMs + latenessMs(expectedFirstByteMs, req) + failureMs(work, req, pace, now),
  };
}

function loadAge(loadAgeMs: number | undefined): Pick<Candidate, 'loadAgeMs'> {
  return loadAgeMs === undefined ? {} : { loadAgeMs };
}

/** The target of each failure domain that holds most of the prompt. */
function fullestByDomain(holdings: readonly Holding[]): Map<string, Holding> {
  const fullest = new Map<string, Holding>();
  holdings.forEach((holding) => {
    const { failureDomain } = holding.target;
    const best = fullest.get(failureDomain);
    if (!best || holding.warmTokens > best.warmTokens) fullest.set(failureDomain, holding);
  });
  return fullest;
}

/**
 * What reading shared parts again costs other requests, ms.
 *
 * @example rereadMs(prompt, 6000, pace) // 160
 */
export function recomputeMs(
  prompt: Prompt | undefined,
  tokensToRead: number,
  { prefillTokensPerMs }: ServiceSpeed,
): number {
  if (!prompt) return 0;
  const shared = sharedPrefixTokens(prompt);
  const own = prompt.promptTokens - shared;
  const again = Math.min(shared, Math.max(0, tokensToRead - own));
  return (again / prefillTokensPerMs) * REREAD_WEIGHT;
}

/** Cost of a first byte that comes after most of the latency target. */
export function latenessMs(
  expectedFirstByteMs: number,
  { latencyTargetMs }: Pick<RankedRequest, 'latencyTargetMs'>,
): number {
  return Math.max(0, expectedFirstByteMs - latencyTargetMs * LATE_FROM_PART) * LATE_WEIGHT;
}

function failureMs(
  work: TargetWork,
  { latencyTargetMs }: RankedRequest,
  { baselineFailureRate: usualFailureRate }: ServiceSpeed,
  now: number,
): number {
  const excess = work.failureRate(now) - usualFailureRate - FAILURE_TOLERANCE;
  return Math.max(0, excess) * FAILURE_COST * latencyTargetMs;
}

/**
 * Time until one of the slots is free, ms.
 *
 * @param requests requests that run or wait
 * @example slotWaitMs(70, 64, pace)
 */
export function slotWaitMs(requests: number, slots: number, { slotMs }: ServiceSpeed): number {
  const full = slots * FULL_PART;
  return requests < full ? 0 : ((requests - full + 1) / Math.max(1, slots)) * slotMs;
}
