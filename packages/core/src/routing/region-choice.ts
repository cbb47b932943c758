/**
 * Load pattern: peaks that reach the regions at different times. A request leaves its region when
 * the first byte would come sooner from another one, round trip included. The state of another
 * region is known by summaries with a lag, which are corrected by what this gateway sent since.
 */
import type { Candidate } from '../exchange/next-request-step.js';
import type { Prompt } from './prompt.js';
import type { ServicePace } from './expected-first-byte.js';

/** Work of one service in a region, as a gateway there sums it up. */
export interface RegionWork {
  readonly targets: number;
  readonly slots: number;
  readonly requests: number;
  readonly pendingTokens: number;
}

/** Another region that could run the request. */
export interface RegionOption {
  readonly region: string;
  /** A ready gateway there that takes the request. */
  readonly node: string;
  readonly work: RegionWork;
  readonly roundTripMs: number;
  /** Requests and tokens that were sent there since the summary, by all gateways of this region. */
  readonly sentSince: { readonly requests: number; readonly tokens: number };
  /** Whether the shared parts of the prompt were sent there before. */
  readonly warm: boolean;
}

/** Difference that makes a request leave its region, ms; it covers the lag of summaries. */
const LEAVE_MARGIN_MS = 40;
/** Below this part of the latency target a request stays in its region. */
const STAY_PART = 0.3;
/** Requests are spread unevenly over a region's targets. */
const UNEVENNESS = 1.5;

/**
 * The candidates of the own region, behind other regions that answer clearly sooner.
 *
 * @param local candidates of the own region, best first
 * @param latencyTargetMs of the route
 * @example withRegions(local, options, prompt, pace, 600)
 */
export function withRegions(
  local: readonly Candidate[],
  options: readonly RegionOption[],
  prompt: Prompt | undefined,
  pace: ServicePace,
  latencyTargetMs: number,
): Candidate[] {
  const [best] = local;
  const away = options
    .filter(({ work }) => work.targets > 0)
    .map((option) => remoteCandidate(option, prompt, pace))
    .sort((a, b) => a.expectedFirstByteMs - b.expectedFirstByteMs);
  if (!best) return away;
  if (best.expectedFirstByteMs <= latencyTargetMs * STAY_PART) return [...local, ...away];
  const sooner = away.filter(
    ({ expectedFirstByteMs }) => expectedFirstByteMs + LEAVE_MARGIN_MS < best.expectedFirstByteMs,
  );
  const rest = away.filter((candidate) => !sooner.includes(candidate));
  return [...sooner, ...local, ...rest];
}

function remoteCandidate(
  option: RegionOption,
  prompt: Prompt | undefined,
  pace: ServicePace,
): Candidate {
  const { work, sentSince, roundTripMs, warm } = option;
  const tokens = ((work.pendingTokens + sentSince.tokens) / work.targets) * UNEVENNESS;
  const requests = work.requests + sentSince.requests;
  const slotWaitMs = (Math.max(0, requests + 1 - work.slots) / work.slots) * pace.baseMs;
  const expectedWaitMs = slotWaitMs + tokens / pace.prefillTokensPerMs;
  const ownTokens = prompt ? tokensToRead(prompt, warm) : 0;
  return {
    place: { kind: 'peer', node: option.node, region: option.region },
    expectedWaitMs,
    expectedFirstByteMs:
      roundTripMs + expectedWaitMs + pace.baseMs + ownTokens / pace.prefillTokensPerMs,
  };
}

function tokensToRead({ parts, promptTokens }: Prompt, warm: boolean): number {
  if (!warm) return promptTokens;
  return parts.at(-1)?.tokens ?? promptTokens;
}
