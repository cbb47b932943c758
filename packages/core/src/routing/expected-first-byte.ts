/**
 * Ranks targets by the expected time to the first byte: queueing, prefill of the tokens that are
 * neither cached nor fetched from another target, and the target's speed. Time after the latency
 * target, failures and the recomputation of shared prefixes add to the cost.
 */
import type { Candidate } from '../exchange/next-request-step.js';
import { memoryWaitMs, unsharedTokens } from './kv-memory-usage.js';
import { sharedPrefixTokens, type Prompt } from './prompt.js';
import { estimatePrefillMs, type ServiceSpeed } from './service-speed.js';
import { paceRiskCostMs, streamImpactCostMs, type GapTargets } from './stream-impact.js';
import { USUAL_BASELINE, type SpeedFactors } from './target-speed.js';
import type { TargetWork } from './target-work.js';

/** A target that accepts requests now. */
export interface RankedTarget {
  readonly id: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Version of its software; undefined if it is not known. */
  readonly softwareVersion?: string | undefined;
  readonly work: TargetWork;
  /** Whether the shared prefix of the prompt is expected in its cache, whichever gateway sent it. */
  readonly sharedPrefixCached: boolean;
  /** Whether it is ranked as if it were of usual speed, to find out whether it has recovered. */
  readonly trial?: boolean;
}

/** Properties of a request that the ranking depends on. */
export interface RankedRequest {
  /** Absent for plain services. */
  readonly prompt?: Prompt;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly latencyTargetMs: number;
  /** Share of the requests that wait at engines which this one does not overtake; 1 if absent. */
  readonly shareAhead?: number;
  /** Absent where streams have no gap targets. */
  readonly gapTargets?: GapTargets;
}

/** Length of the prompt's prefix that a target has cached. */
interface CachedPrefix {
  readonly target: RankedTarget;
  readonly cachedTokens: number;
}

/** Weight of the time to recompute a shared prefix, in addition to the caller's wait for it. */
const RECOMPUTE_WEIGHT = 4;
/** Weight of a KV fetch relative to recomputing the same tokens, from the prices users pay for both. */
const FETCH_WEIGHT = 0.15;
/** Duration of a fetch between targets of one failure domain: fixed part and time per token. */
const FETCH_START_MS = 3;
const FETCH_MS_PER_TOKEN = 0.002;
/** A shorter missing prefix is recomputed rather than fetched. */
const MIN_FETCHED_TOKENS = 100;
/** Weight of the time beyond `LATE_FROM_SHARE` of the latency target. */
const LATE_WEIGHT = 2;
/** Share of the latency target above which the first byte is likely to be late. */
const LATE_FROM_SHARE = 0.8;
/** Cost of a failed request as a multiple of the latency target. */
const FAILURE_COST_LATENCY_TARGETS = 3;
/** Excess over the baseline failure rate that is ignored. */
const FAILURE_TOLERANCE = 0.08;
/** Cost of a request at a full target that need not wait, relative to its service time. */
const BUSY_WEIGHT = 0.25;
/** A target counts as full above this share of its slots. */
const FULL_SHARE = 0.95;

/**
 * Ranks the candidates for a request, best first.
 *
 * @example rankTargets(req, targets, speed, now)[0] // { destination, expectedFirstByteMs, ... }
 */
export function rankTargets(
  req: RankedRequest,
  targets: readonly RankedTarget[],
  speed: ServiceSpeed,
  now: number,
): Candidate[] {
  const { prompt } = req;
  const candidates = prompt
    ? engineCandidates({ ...req, prompt }, targets, speed, now)
    : targets.map((target) => plainCandidate(req, target, speed, now));
  return candidates.sort((a, b) => a.costMs - b.costMs);
}

function engineCandidates(
  req: RankedRequest & { readonly prompt: Prompt },
  targets: readonly RankedTarget[],
  speed: ServiceSpeed,
  now: number,
): Candidate[] {
  const cachedPrefixes = targets.map((target) => ({
    target,
    cachedTokens: Math.max(
      target.work.cachedTokens(req.prompt),
      target.sharedPrefixCached ? sharedPrefixTokens(req.prompt) : 0,
    ),
  }));
  const sources = longestBySourceKey(cachedPrefixes);
  return cachedPrefixes.map((cachedPrefix) =>
    engineCandidate(req, cachedPrefix, sources.get(sourceKeyOf(cachedPrefix.target)), speed, now),
  );
}

function engineCandidate(
  req: RankedRequest & { readonly prompt: Prompt },
  cachedPrefix: CachedPrefix,
  longest: CachedPrefix | undefined,
  speed: ServiceSpeed,
  now: number,
): Candidate {
  const { prompt, priority } = req;
  const { target, cachedTokens } = cachedPrefix;
  const { work, slots } = target;
  const factors = assumedFactors(target, speed, now);
  const hasMore = longest && longest.cachedTokens >= cachedTokens + MIN_FETCHED_TOKENS;
  const source = hasMore ? longest : undefined;
  const fetchedTokens = source ? source.cachedTokens - cachedTokens : 0;
  const prefillMs =
    estimatePrefillMs(prompt, cachedTokens + fetchedTokens, speed) +
    (source ? FETCH_START_MS + fetchedTokens * FETCH_MS_PER_TOKEN : 0);
  const slotAndMemoryWaitMs =
    targetSlotWaitMs(work.requests(now), slots, factors, speed) +
    memoryWaitMs(
      work.memoryTokens(now),
      unsharedTokens(prompt),
      work.memoryCapacityTokens,
      speed.slotMs,
    );
  // This gateway knows the prompts that it sent itself; reports count those of the others.
  const othersBacklogMs = work.waitingOfOthers(now) * (speed.promptMs ?? 0);
  const prefillWaitMs = Math.max(
    work.prefillQueue.waitMs(priority, now),
    othersBacklogMs * (req.shareAhead ?? 1),
  );
  const expectedWaitMs = slotAndMemoryWaitMs + prefillWaitMs;
  const paceMs = work.paceMs(now);
  const usualServiceMs = speed.baseMs + prefillMs;
  const serviceMs = usualServiceMs * factors.absolute;
  const backlogMs = Math.max(work.prefillQueue.backlogMs(now), othersBacklogMs);
  const uncachedTokens = Math.max(0, prompt.promptTokens - cachedTokens - fetchedTokens);
  const expectedFirstByteMs = expectedWaitMs + serviceMs;
  return {
    destination: { kind: 'target', id: target.id },
    expectedFirstByteMs,
    expectedWaitMs,
    serviceMs: usualServiceMs,
    speedFactor: factors.absolute,
    deferredFirstByteMs: slotAndMemoryWaitMs + backlogMs + serviceMs,
    uncachedTokens,
    prefillMs,
    ...(source ? { fetchFrom: source.target.id } : {}),
    ...(paceMs === undefined ? {} : { paceMs }),
    ...loadAge(work.reportAgeMs(now)),
    costMs:
      expectedFirstByteMs +
      latenessCostMs(expectedFirstByteMs, req) +
      busyCostMs(target, factors, speed, now) +
      failureCostMs(work, req, speed, now) +
      recomputeCostMs(prompt, uncachedTokens, speed) +
      paceRiskCostMs(paceMs, req.gapTargets ?? {}, req.latencyTargetMs) +
      streamImpactCostMs(
        {
          streams: work.requests(now),
          prefillMs: prefillMs * factors.absolute,
          laterPrefillMs: backlogMs - prefillWaitMs,
          eventGapMs:
            (speed.eventGapMs ?? 0) * work.speed.gapFactor(speed.baseline ?? USUAL_BASELINE, now),
        },
        req.gapTargets ?? {},
      ) +
      (fetchedTokens / speed.prefillTokensPerMs) * RECOMPUTE_WEIGHT * FETCH_WEIGHT,
  };
}

function plainCandidate(
  req: RankedRequest,
  target: RankedTarget,
  speed: ServiceSpeed,
  now: number,
): Candidate {
  const { id, slots, work } = target;
  const factors = assumedFactors(target, speed, now);
  const expectedWaitMs = targetSlotWaitMs(work.requests(now), slots, factors, speed);
  const expectedFirstByteMs = expectedWaitMs + speed.baseMs * factors.absolute;
  return {
    destination: { kind: 'target', id },
    expectedFirstByteMs,
    expectedWaitMs,
    serviceMs: speed.baseMs,
    speedFactor: factors.absolute,
    uncachedTokens: 0,
    prefillMs: 0,
    ...loadAge(work.reportAgeMs(now)),
    costMs:
      expectedFirstByteMs +
      latenessCostMs(expectedFirstByteMs, req) +
      busyCostMs(target, factors, speed, now) +
      failureCostMs(work, req, speed, now),
  };
}

function assumedFactors(
  { work, trial = false }: RankedTarget,
  { baseline = USUAL_BASELINE, learnsSpeeds = true }: ServiceSpeed,
  now: number,
): SpeedFactors {
  if (!learnsSpeeds) return { absolute: work.latencyFactor, relative: 1 };
  const factors = work.speedFactors(baseline, now);
  return trial ? { absolute: factors.absolute / factors.relative, relative: 1 } : factors;
}

function loadAge(loadAgeMs: number | undefined): Pick<Candidate, 'loadAgeMs'> {
  return loadAgeMs === undefined ? {} : { loadAgeMs };
}

/** The target of each failure domain with the longest cached prefix of the prompt. */
/** Targets fetch cached tokens within their failure domain, from those of their own software version. */
function sourceKeyOf({ failureDomain, softwareVersion }: RankedTarget): string {
  return `${failureDomain}\n${softwareVersion ?? ''}`;
}

function longestBySourceKey(cachedPrefixes: readonly CachedPrefix[]): Map<string, CachedPrefix> {
  const longest = new Map<string, CachedPrefix>();
  cachedPrefixes.forEach((cachedPrefix) => {
    const key = sourceKeyOf(cachedPrefix.target);
    const best = longest.get(key);
    if (!best || cachedPrefix.cachedTokens > best.cachedTokens) longest.set(key, cachedPrefix);
  });
  return longest;
}

/**
 * Cost to other requests of recomputing a shared prefix, ms.
 *
 * @example recomputeMs(prompt, 6000, speed) // 160
 */
export function recomputeCostMs(
  prompt: Prompt | undefined,
  uncachedTokens: number,
  { prefillTokensPerMs }: ServiceSpeed,
): number {
  if (!prompt) return 0;
  const shared = sharedPrefixTokens(prompt);
  const unshared = prompt.promptTokens - shared;
  const recomputed = Math.min(shared, Math.max(0, uncachedTokens - unshared));
  return (recomputed / prefillTokensPerMs) * RECOMPUTE_WEIGHT;
}

/** Cost of a first byte that is late or likely to be late, ms. */
export function latenessCostMs(
  expectedFirstByteMs: number,
  { latencyTargetMs }: Pick<RankedRequest, 'latencyTargetMs'>,
): number {
  return Math.max(0, expectedFirstByteMs - latencyTargetMs * LATE_FROM_SHARE) * LATE_WEIGHT;
}

function failureCostMs(
  work: TargetWork,
  { latencyTargetMs }: RankedRequest,
  { baselineFailureRate }: ServiceSpeed,
  now: number,
): number {
  const excess = work.failureRate(now) - baselineFailureRate - FAILURE_TOLERANCE;
  return Math.max(0, excess) * FAILURE_COST_LATENCY_TARGETS * latencyTargetMs;
}

/**
 * Expected time until a slot is free, ms.
 *
 * @param requests running and queued requests
 * @example slotWaitMs(70, 64, speed)
 */
export function slotWaitMs(requests: number, slots: number, { slotMs }: ServiceSpeed): number {
  const fullSlots = slots * FULL_SHARE;
  return requests < fullSlots ? 0 : ((requests - fullSlots + 1) / Math.max(1, slots)) * slotMs;
}

/**
 * Requests that a target handles well at the same time: fewer than its slots if it is slower than the
 * others, so that work is in proportion to speed. A faster one takes no more than its slots.
 *
 * @param relative factor on times relative to the median of the service
 * @example usefulSlots(16, 2) // 8
 */
export function usefulSlots(slots: number, relative: number): number {
  return Math.max(Math.min(slots, 1), slots / Math.max(1, relative));
}

/** Expected time until a target of this speed has a free slot, ms. */
function targetSlotWaitMs(
  requests: number,
  slots: number,
  { absolute, relative }: SpeedFactors,
  speed: ServiceSpeed,
): number {
  // Fewer useful slots already stand for the longer time that each of them is occupied.
  const rest = absolute / Math.max(1, relative);
  return slotWaitMs(requests, usefulSlots(slots, relative), speed) * rest;
}

/** Cost of the requests that run at a target, so that equal targets get equal work while none is full, ms. */
function busyCostMs(
  { work, slots }: RankedTarget,
  { relative }: SpeedFactors,
  { baseMs, learnsSpeeds = true }: ServiceSpeed,
  now: number,
): number {
  if (!learnsSpeeds) return 0;
  const share = work.requests(now) / Math.max(1, usefulSlots(slots, relative));
  return Math.min(1, share) * baseMs * BUSY_WEIGHT;
}
