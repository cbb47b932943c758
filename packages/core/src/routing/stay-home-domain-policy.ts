import type {
  DomainDecision,
  DomainOption,
  DomainPolicy,
  RoutedRequest,
} from './routing-policy.js';
import { waitScore } from './wait-score.js';

/** Baseline: runs every request in the local failure domain, regardless of the wait. */
export class StayHomeDomainPolicy implements DomainPolicy {
  readonly name = 'stay-home';

  choose(_req: RoutedRequest, local: DomainOption): DomainDecision {
    const scores = [waitScore(local)];
    return local.readyTargets > 0 ? { failureDomain: local.failureDomain, scores } : { scores };
  }
}
