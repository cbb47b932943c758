import type { DomainOption, DomainScore } from './routing-policy.js';

/** Score of the baseline policies: reported wait plus round trip. */
export function waitScore(option: DomainOption): DomainScore {
  const tail = option.waitMs + 2 * option.oneWayMs;
  return {
    failureDomain: option.failureDomain,
    tail,
    cost: 0,
    away: 0,
    total: tail,
    ...(option.readyTargets > 0 ? {} : { excluded: 'no ready target' }),
  };
}
