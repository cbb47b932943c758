/** What a request costs of its customer's limit. */
import { LimitUnit, type CustomerLimit } from '../fleet/fleet-config.js';
import type { Prompt } from '../routing/prompt.js';

/**
 * Amount of a limit that a request uses, in the unit of the limit; 0 without a limit.
 *
 * @example costOf({ unit: 'requests', perS: 5, burst: 10, plainTokens: 0 }, undefined) // 1
 */
export function costOf(
  limit: CustomerLimit | undefined,
  prompt: Pick<Prompt, 'promptTokens' | 'maxOutputTokens'> | undefined,
): number {
  if (!isLimited(limit)) return 0;
  if (limit.unit === LimitUnit.Requests) return 1;
  const tokens = prompt ? prompt.promptTokens + prompt.maxOutputTokens : 0;
  // A size that is no size must not make a request free or use up the limit of others.
  return Number.isFinite(tokens) && tokens > 0 ? tokens : limit.plainTokens;
}

/** Whether there is a limit; a rate of 0 means that there is none. */
export function isLimited(limit: CustomerLimit | undefined): limit is CustomerLimit {
  return limit !== undefined && limit.perS > 0;
}
