import type { RandomSource } from '../random-source.js';
import { rendezvousOrder } from '../rendezvous.js';
import type { RoutedRequest, TargetCandidate, TargetPolicy } from './routing-policy.js';
import { leastBy } from './target-load.js';

/** Baseline: the first candidate in rendezvous order of the prefix, regardless of load. */
export class PrefixAffinityTargetPolicy implements TargetPolicy {
  readonly name = 'prefix-affinity';

  choose(
    req: RoutedRequest,
    candidates: readonly TargetCandidate[],
    random: RandomSource,
  ): TargetCandidate | undefined {
    if (req.prefix === undefined) {
      return candidates[Math.floor(random.next() * candidates.length)];
    }
    const order = rendezvousOrder(
      req.prefix,
      candidates.map(({ state }) => state.vm),
    );
    return leastBy(candidates, ({ state }) => order.indexOf(state.vm));
  }
}
