/**
 * Ranks local targets against remote regions. A request is forwarded if the first byte would arrive
 * sooner from there, including the round trip, or if recomputing its shared prefix locally would cost
 * more. Summaries of remote regions lag behind, so they are corrected by what was sent since.
 */
import type { Candidate } from '../exchange/next-request-step.js';
import {
  latenessCostMs,
  recomputeCostMs,
  slotWaitMs,
  type RankedRequest,
} from './expected-first-byte.js';
import { memoryWaitMs, unsharedTokens } from './kv-memory-usage.js';
import { sharedPrefixTokens } from './prompt.js';
import { paceRiskCostMs, streamImpactCostMs } from './stream-impact.js';
import { estimatePrefillMs, type ServiceSpeed } from './service-speed.js';

/** Load of one service in a region, as summarized by a gateway there. */
export interface RegionWork {
  readonly targets: number;
  readonly slots: number;
  readonly requests: number;
  /** Prefill time of all queued prompts, ms. */
  readonly backlogMs: number;
  /** Used and total KV memory, tokens; 0 for plain services. */
  readonly memoryTokens: number;
  readonly memoryCapacityTokens: number;
  /** Mean time between two events of the streams there, ms; the previous release does not tell it. */
  readonly paceMs?: number;
}

/** A remote region that could run the request. */
export interface RegionOption {
  readonly region: string;
  /** A ready gateway there that accepts the request. */
  readonly node: string;
  readonly work: RegionWork;
  /** Age of `work`, ms. */
  readonly workAgeMs: number;
  readonly roundTripMs: number;
  /** Requests that the gateways of this region sent there since the summary, and their prefill time. */
  readonly sentSinceSummary: { readonly requests: number; readonly prefillMs: number };
  /** Whether the shared prefix of the prompt is expected to be cached there. */
  readonly sharedPrefixCached: boolean;
}

/** Additional cost of a remote region, ms; covers the lag of summaries and the bytes sent. */
const REMOTE_REGION_COST_MS = 60;
/** Factor on the mean backlog, since requests are spread unevenly over a region's targets. */
const UNEVEN_LOAD_FACTOR = 1.5;

/**
 * Merges the candidates of the local region and of remote regions, best first.
 *
 * @param local candidates of the local region
 * @param localWork load of the local region; absent when remote regions need not be compared
 * @example rankWithRemoteRegions(local, options, req, speed)
 */
export function rankWithRemoteRegions(
  local: readonly Candidate[],
  options: readonly RegionOption[],
  req: RankedRequest,
  speed: ServiceSpeed,
  localWork?: Pick<RegionWork, 'requests' | 'slots'>,
): Candidate[] {
  // In a full region, a target that looks free will be busy by the next report.
  const fullRegionWaitMs = localWork ? slotWaitMs(localWork.requests, localWork.slots, speed) : 0;
  const remote = options
    .filter(({ work }) => work.targets > 0)
    .map((option) => remoteCandidate(option, req, speed));
  const localCandidates = local.map((candidate) => ({
    ...candidate,
    costMs: candidate.costMs + fullRegionWaitMs,
  }));
  return [...localCandidates, ...remote].sort((a, b) => a.costMs - b.costMs);
}

function remoteCandidate(
  {
    work,
    workAgeMs,
    sentSinceSummary,
    roundTripMs,
    sharedPrefixCached,
    node,
    region,
  }: RegionOption,
  req: RankedRequest,
  speed: ServiceSpeed,
): Candidate {
  const { prompt } = req;
  const { baseMs } = speed;
  const requests = work.requests + sentSinceSummary.requests;
  const backlogMs =
    ((work.backlogMs + sentSinceSummary.prefillMs) / work.targets) * UNEVEN_LOAD_FACTOR;
  const memoryMs = prompt
    ? memoryWaitMs(
        work.memoryTokens,
        unsharedTokens(prompt),
        work.memoryCapacityTokens,
        speed.slotMs,
      )
    : 0;
  const expectedWaitMs = slotWaitMs(requests, work.slots, speed) + backlogMs + memoryMs;
  const cachedTokens = prompt && sharedPrefixCached ? sharedPrefixTokens(prompt) : 0;
  const uncachedTokens = prompt ? prompt.promptTokens - cachedTokens : 0;
  const prefillMs = prompt ? estimatePrefillMs(prompt, cachedTokens, speed) : 0;
  const expectedFirstByteMs = roundTripMs + expectedWaitMs + baseMs + prefillMs;
  return {
    destination: { kind: 'peer', node, region },
    expectedWaitMs,
    expectedFirstByteMs,
    ...(prompt ? { deferredFirstByteMs: expectedFirstByteMs } : {}),
    uncachedTokens,
    prefillMs,
    ...(work.paceMs === undefined ? {} : { paceMs: work.paceMs }),
    loadAgeMs: workAgeMs,
    costMs:
      expectedFirstByteMs +
      latenessCostMs(expectedFirstByteMs, req) +
      REMOTE_REGION_COST_MS +
      recomputeCostMs(prompt, uncachedTokens, speed) +
      paceRiskCostMs(work.paceMs, req.gapTargets ?? {}, req.latencyTargetMs) +
      streamImpactCostMs(
        { streams: requests / work.targets, prefillMs, laterPrefillMs: 0, eventGapMs: 0 },
        req.gapTargets ?? {},
      ),
  };
}
