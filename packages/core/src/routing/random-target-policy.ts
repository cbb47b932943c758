import type { RandomSource } from '../random-source.js';
import type { RoutedRequest, TargetCandidate, TargetPolicy } from './routing-policy.js';

/** Baseline: every candidate with equal probability. */
export class RandomTargetPolicy implements TargetPolicy {
  readonly name = 'random';

  choose(
    _req: RoutedRequest,
    candidates: readonly TargetCandidate[],
    random: RandomSource,
  ): TargetCandidate | undefined {
    return candidates[Math.floor(random.next() * candidates.length)];
  }
}
