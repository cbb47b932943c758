/** Keeps requests at home while a target is ready there; else takes the shortest wait. */
import type { DomainDecision, DomainOption, DomainPolicy, RoutedRequest } from '@marjoramcart/core';

export class HomeFirstPolicy implements DomainPolicy {
  readonly name = 'home-first';

  choose(_req: RoutedRequest, home: DomainOption, others: readonly DomainOption[]): DomainDecision {
    const scores = [home, ...others].map((option) => ({
      failureDomain: option.failureDomain,
      tail: option.waitMs + 2 * option.oneWayMs,
      cost: 0,
      away: option.oneWayMs,
      total: option.waitMs + 3 * option.oneWayMs,
      excluded: option.readyTargets > 0 ? undefined : 'no ready target',
    }));
    const eligible = scores.filter(({ excluded }) => excluded === undefined);
    const atHome = eligible.find(({ failureDomain }) => failureDomain === home.failureDomain);
    const [nearest] = [...eligible].sort((a, b) => a.total - b.total);
    return { failureDomain: (atHome ?? nearest)?.failureDomain, scores };
  }
}
