import type { DomainOption, DomainScore } from './routing-policy.js';

/** Score by reported wait and round trip alone, as the baselines use it. */
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
