import type {
  DomainDecision,
  DomainOption,
  DomainPolicy,
  RoutedRequest,
} from './routing-policy.js';
import { leastBy } from './target-load.js';
import { waitScore } from './wait-score.js';

/** Baseline: sends every request to the domain with the lowest reported wait plus round trip. */
export class LeastWaitDomainPolicy implements DomainPolicy {
  readonly name = 'least-wait';

  choose(
    _req: RoutedRequest,
    local: DomainOption,
    others: readonly DomainOption[],
  ): DomainDecision {
    const scores = [local, ...others].map(waitScore);
    const best = leastBy(
      scores.filter(({ excluded }) => excluded === undefined),
      ({ total }) => total,
    );
    return { failureDomain: best?.failureDomain, scores };
  }
}
