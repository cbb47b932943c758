import type { RoutedRequest, TargetCandidate, TargetPolicy } from './routing-policy.js';

/** Baseline: all candidates in turn. */
export class RoundRobinTargetPolicy implements TargetPolicy {
  readonly name = 'round-robin';

  private nextIndex = 0;

  choose(_req: RoutedRequest, candidates: readonly TargetCandidate[]): TargetCandidate | undefined {
    const chosen = candidates[this.nextIndex % Math.max(1, candidates.length)];
    this.nextIndex = (this.nextIndex + 1) % Number.MAX_SAFE_INTEGER;
    return chosen;
  }
}
