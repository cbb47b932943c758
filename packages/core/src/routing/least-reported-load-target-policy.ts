import type { RandomSource } from '../random-source.js';
import type { RoutedRequest, TargetCandidate, TargetPolicy } from './routing-policy.js';

/** Baseline: the lowest reported load, not corrected for requests sent since the report. */
export class LeastReportedLoadTargetPolicy implements TargetPolicy {
  readonly name = 'least-reported-load';

  choose(
    _req: RoutedRequest,
    candidates: readonly TargetCandidate[],
    random: RandomSource,
  ): TargetCandidate | undefined {
    const load = ({ state }: TargetCandidate): number =>
      (state.running + state.queued) / Math.max(1, state.concurrency);
    const least = Math.min(...candidates.map(load));
    const equals = candidates.filter((candidate) => load(candidate) === least);
    return equals[Math.floor(random.next() * equals.length)];
  }
}
