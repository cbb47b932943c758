/** Estimates the load of a target from its lagging report and from local request counts. */
import type { TargetCandidate } from './routing-policy.js';

/**
 * Estimated requests at the target now: the reported ones, plus those that this process sent and minus
 * those that ended since the report. Never less than the requests of this process in flight.
 *
 * @example correctedOutstanding(candidate) // 12
 */
export function correctedOutstanding(candidate: TargetCandidate): number {
  const { state, sentSinceReport, endedSinceReport = 0, inFlight } = candidate;
  return Math.max(inFlight, state.running + state.queued + sentSinceReport - endedSinceReport);
}

/**
 * Requests at the target relative to its concurrency; above 1 new requests are queued.
 *
 * @example relativeLoad(candidate) // 0.4
 */
export function relativeLoad(candidate: TargetCandidate): number {
  return correctedOutstanding(candidate) / Math.max(1, candidate.state.concurrency);
}

/**
 * Returns the item with the smallest value; the first one on a tie.
 *
 * @example leastBy(candidates, relativeLoad)
 */
export function leastBy<Item>(
  items: readonly Item[],
  value: (item: Item) => number,
): Item | undefined {
  return items.reduce<{ item: Item; value: number } | undefined>((best, item) => {
    const itemValue = value(item);
    return best && best.value <= itemValue ? best : { item, value: itemValue };
  }, undefined)?.item;
}
