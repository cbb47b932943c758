import type {
  DomainDecision,
  DomainOption,
  DomainPolicy,
  RoutedRequest,
} from './routing-policy.js';
import { leastBy } from './target-load.js';
import { waitScore } from './wait-score.js';

/** Baseline: sends every request where the reported wait plus the round trip is least. */
export class LeastWaitDomainPolicy implements DomainPolicy {
  readonly name = 'least-wait';

  choose(_req: RoutedRequest, home: DomainOption, others: readonly DomainOption[]): DomainDecision {
    const scores = [home, ...others].map(waitScore);
    const best = leastBy(
      scores.filter(({ excluded }) => excluded === undefined),
      ({ total }) => total,
    );
    return { failureDomain: best?.failureDomain, scores };
  }
}
