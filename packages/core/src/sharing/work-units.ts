/** Size of a request in units of work, in which scarce capacity is divided between customers. */
import type { Prompt } from '../routing/prompt.js';

/** One token of output takes about as long as ten tokens of prefill. */
export const UNITS_PER_OUTPUT_TOKEN = 10;
const PLAIN_UNITS = 1;

/**
 * Work of a request: one unit per prompt token; plain requests have no size and count as one unit.
 * Figures are only compared within a service, so both kinds need no common scale.
 *
 * @example workUnitsOf({ promptTokens: 500, expectedOutputTokens: 20, ... }) // 700
 */
export function workUnitsOf(
  prompt: Pick<Prompt, 'promptTokens' | 'expectedOutputTokens'> | undefined,
): number {
  if (!prompt) return PLAIN_UNITS;
  const units = prompt.promptTokens + UNITS_PER_OUTPUT_TOKEN * prompt.expectedOutputTokens;
  return Number.isFinite(units) && units > 0 ? units : PLAIN_UNITS;
}
