import type { RoutedRequest, TargetCandidate, TargetPolicy } from './routing-policy.js';

/** Baseline: each candidate in turn. */
export class RoundRobinTargetPolicy implements TargetPolicy {
  readonly name = 'round-robin';

  private turn = 0;

  choose(_req: RoutedRequest, candidates: readonly TargetCandidate[]): TargetCandidate | undefined {
    const chosen = candidates[this.turn % Math.max(1, candidates.length)];
    this.turn = (this.turn + 1) % Number.MAX_SAFE_INTEGER;
    return chosen;
  }
}
