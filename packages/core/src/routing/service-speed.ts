/** Measured speed of the targets of a service. */
import type { Prompt } from './prompt.js';
import type { SpeedBaseline } from './target-speed.js';

export interface ServiceSpeed {
  /** Prefill throughput of a target alongside its other work, tokens per ms. */
  readonly prefillTokensPerMs: number;
  /** Attention time per million pairs of a prefilled token and an earlier token, ms. */
  readonly attentionMsPerMillionPairs: number;
  /** Time to the first byte without queueing or prefill, ms; for plain services the request time. */
  readonly baseMs: number;
  /** Time for which a request occupies its slot, ms. */
  readonly slotMs: number;
  /** Mean prefill time of the service's prompts, ms; absent for plain services. */
  readonly promptMs?: number;
  /** Share of the requests that fail at a healthy target. */
  readonly baselineFailureRate: number;
  /** Usual gap between two events of a stream, ms; absent while it is not known. */
  readonly eventGapMs?: number;
  /**
   * Whether targets are told apart by learned speeds; true if absent. Off where no target tells how long
   * work takes there.
   */
  readonly learnsSpeeds?: boolean;
  /** Median speed of the targets as this gateway sees them; absent if they are as estimated. */
  readonly baseline?: SpeedBaseline;
}

const MILLION = 1e6;

/**
 * Estimates the prefill time of a prompt, ms. It grows quadratically with the length.
 *
 * @param cachedTokens length of the cached prefix in tokens
 * @example estimatePrefillMs(prompt, 5000, speed) // 130
 */
export function estimatePrefillMs(
  { promptTokens }: Prompt,
  cachedTokens: number,
  speed: ServiceSpeed,
): number {
  const uncached = Math.max(0, promptTokens - cachedTokens);
  const pairs = uncached * (cachedTokens + uncached / 2);
  return uncached / speed.prefillTokensPerMs + (pairs / MILLION) * speed.attentionMsPerMillionPairs;
}
