/** Configured links between regions. */
import type { EntryState } from '../state/entry-state.js';

const SAME_REGION_ONE_WAY_MS = 1;

/**
 * Link between two regions; the configuration may list it under either region.
 *
 * @example linkOf(state, 'north', 'west').oneWayMs // 80
 */
export function linkOf(
  state: Pick<EntryState, 'config'>,
  from: string,
  to: string,
): { oneWayMs: number; mbitPerS: number | undefined } {
  if (from === to) return { oneWayMs: SAME_REGION_ONE_WAY_MS, mbitPerS: undefined };
  const regions = state.config?.regions ?? {};
  const link = regions[from]?.links[to] ?? regions[to]?.links[from];
  return { oneWayMs: link?.one_way ?? 0, mbitPerS: link?.mbit_per_s };
}
