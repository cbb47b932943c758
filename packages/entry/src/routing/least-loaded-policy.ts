/** Sends a request to the target with the lowest load by report and own corrections. */
import type {
  RandomSource,
  RoutedRequest,
  TargetCandidate,
  TargetPolicy,
} from '@marjoramcart/core';

export class LeastLoadedPolicy implements TargetPolicy {
  readonly name = 'least-loaded';

  choose(
    _req: RoutedRequest,
    candidates: readonly TargetCandidate[],
    random: RandomSource,
  ): TargetCandidate | undefined {
    return candidates
      .map((candidate) => ({ candidate, load: loadOf(candidate), tie: random.next() }))
      .sort((a, b) => a.load - b.load || a.tie - b.tie)[0]?.candidate;
  }
}

function loadOf({ state, sentSinceReport, inFlight }: TargetCandidate): number {
  const running = Math.max(state.running + state.queued + sentSinceReport, inFlight);
  return running / Math.max(1, state.concurrency);
}
