/**
 * Load pattern: peaks that reach the regions at different times, and shared parts of prompts that
 * are cached in one region only. A request leaves its region when the first byte would come sooner
 * from another one, round trip included, or when reading its shared parts again would take more
 * work than the way there. The state of another region is known by summaries with a lag, which are
 * corrected by what was sent since.
 */
import type { Candidate } from '../exchange/next-request-step.js';
import { latenessMs, recomputeMs, slotWaitMs, type RankedRequest } from './expected-first-byte.js';
import { memoryWaitMs, unsharedTokens } from './memory-use.js';
import { sharedPrefixTokens } from './prompt.js';
import { estimatePrefillMs, type ServiceSpeed } from './service-pace.js';

/** Work of one service in a region, as a gateway there sums it up. */
export interface RegionWork {
  readonly targets: number;
  readonly slots: number;
  readonly requests: number;
  /** Time for reading all prompts that wait, ms. */
  readonly backlogMs: number;
  /** KV memory in use, and all of it, tokens; 0 for plain services. */
  readonly memoryTokens: number;
  readonly memoryCapacityTokens: number;
}

/** Another region that could run the request. */
export interface RegionOption {
  readonly region: string;
  /** A ready gateway there that takes the request. */
  readonly node: string;
  readonly work: RegionWork;
  /** Age of `work`, ms. */
  readonly workAgeMs: number;
  readonly roundTripMs: number;
  /** Requests and their reading, ms, that were sent there since the summary, by all gateways of this region. */
  readonly sentSinceSummary: { readonly requests: number; readonly readMs: number };
  /** Whether the shared parts of the prompt are expected to be cached there. */
  readonly sharedPrefixCached: boolean;
}

/** What leaving the region costs beside its time, ms; covers the lag of summaries and the bytes. */
const LEAVE_COST_MS = 60;
/** Requests are spread unevenly over a region's targets. */
const UNEVENNESS = 1.5;

/**
 * Joins the candidates of the own region and other regions, best first.
 *
 * @param local candidates of the own region
 * @param ownWork work of the own region; absent when other regions need not be compared
 * @example withRegions(local, options, req, pace)
 */
export function rankWithRemoteRegions(
  local: readonly Candidate[],
  options: readonly RegionOption[],
  req: RankedRequest,
  pace: ServiceSpeed,
  ownWork?: Pick<RegionWork, 'requests' | 'slots'>,
): Candidate[] {
  // A target that looks free in a full region will not be free when the next reports come.
  const fullMs = ownWork ? slotWaitMs(ownWork.requests, ownWork.slots, pace) : 0;
  const away = options
    .filter(({ work }) => work.targets > 0)
    .map((option) => remoteCandidate(option, req, pace));
  const here = local.map((candidate) => ({ ...candidate, costMs: candidate.costMs + fullMs }));
  return [...here, ...away].sort((a, b) => a.costMs - b.costMs);
}

function remoteCandidate(
  { work, workAgeMs, sentSinceSummary: sentSince, roundTripMs, sharedPrefixCached: warm, node, region }: RegionOption,
  req: RankedRequest,
  pace: ServiceSpeed,
): Candidate {
  const { prompt } = req;
  const { baseMs } = pace;
  const requests = work.requests + sentSince.requests;
  const backlogMs = ((work.backlogMs + sentSince.readMs) / work.targets) * UNEVENNESS;
  const memoryMs = prompt
    ? memoryWaitMs(work.memoryTokens, unsharedTokens(prompt), work.memoryCapacityTokens, pace.slotMs)
    : 0;
  const expectedWaitMs = slotWaitMs(requests, work.slots, pace) + backlogMs + memoryMs;
  const warmTokens = prompt && warm ? sharedPrefixTokens(prompt) : 0;
  const tokensToRead = prompt ? prompt.promptTokens - warmTokens : 0;
  const readMs = prompt ? estimatePrefillMs(prompt, warmTokens, pace) : 0;
  const expectedFirstByteMs = roundTripMs + expectedWaitMs + baseMs + readMs;
  return {
    destination: { kind: 'peer', node, region },
    expectedWaitMs,
    expectedFirstByteMs,
    ...(prompt ? { deferredFirstByteMs: expectedFirstByteMs } : {}),
    uncachedTokens: tokensToRead,
    prefillMs: readMs,
    loadAgeMs: workAgeMs,
    costMs:
      expectedFirstByteMs +
      latenessMs(expectedFirstByteMs, req) +
      LEAVE_COST_MS +
      recomputeMs(prompt, tokensToRead, pace),
  };
}
