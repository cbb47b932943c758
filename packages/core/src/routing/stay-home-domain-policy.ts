import type {
  DomainDecision,
  DomainOption,
  DomainPolicy,
  RoutedRequest,
} from './routing-policy.js';
import { waitScore } from './wait-score.js';

/** Baseline: runs every request at home, whatever the wait. */
export class StayHomeDomainPolicy implements DomainPolicy {
  readonly name = 'stay-home';

  choose(_req: RoutedRequest, home: DomainOption): DomainDecision {
    const scores = [waitScore(home)];
    return home.readyTargets > 0 ? { failureDomain: home.failureDomain, scores } : { scores };
  }
}
