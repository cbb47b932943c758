/** How fast the targets of a service work. */
import type { Prompt } from './prompt.js';

export interface ServiceSpeed {
  /** Prompt tokens that a target reads in a ms, beside its other work. */
  readonly prefillTokensPerMs: number;
  /** Time of attention for a million pairs of a token that is read and one before it, ms. */
  readonly attentionMsPerMillionPairs: number;
  /** Time to the first byte without any wait, ms; for plain services the time of a request. */
  readonly baseMs: number;
  /** Time for which a request holds its slot, ms. */
  readonly slotMs: number;
  /** Part of the requests that fail at a target in good health. */
  readonly baselineFailureRate: number;
}

const MILLION = 1e6;

/**
 * Time for reading a prompt, ms. It grows with the square of the length.
 *
 * @param warmTokens tokens at the beginning that are cached
 * @example prefillMs(prompt, 5000, pace) // 130
 */
export function estimatePrefillMs({ promptTokens }: Prompt, warmTokens: number, pace: ServiceSpeed): number {
  const cold = Math.max(0, promptTokens - warmTokens);
  const pairs = cold * (warmTokens + cold / 2);
  return cold / pace.prefillTokensPerMs + (pairs / MILLION) * pace.attentionMsPerMillionPairs;
}
