/** Load of a target, from its lagging report and from what this process knows itself. */
import type { TargetCandidate } from './routing-policy.js';

/**
 * Requests at the target now: the report, plus what this process sent and minus what it saw end
 * since the report. Never less than the requests of this process that are still running.
 *
 * @example correctedOutstanding(candidate) // 12
 */
export function correctedOutstanding(candidate: TargetCandidate): number {
  const { state, sentSinceReport, endedSinceReport = 0, inFlight } = candidate;
  return Math.max(inFlight, state.running + state.queued + sentSinceReport - endedSinceReport);
}

/**
 * Requests at the target for each one that it can run; above 1 new requests wait.
 *
 * @example relativeLoad(candidate) // 0.4
 */
export function relativeLoad(candidate: TargetCandidate): number {
  return correctedOutstanding(candidate) / Math.max(1, candidate.state.concurrency);
}

/**
 * The candidate with the least value; the first of equals.
 *
 * @example leastBy(candidates, relativeLoad)
 */
export function leastBy<Item>(
  items: readonly Item[],
  value: (item: Item) => number,
): Item | undefined {
  return items.reduce<{ item: Item; value: number } | undefined>((best, item) => {
    const own = value(item);
    return best && best.value <= own ? best : { item, value: own };
  }, undefined)?.item;
}
