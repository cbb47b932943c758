/**
 * Failure-domain policy of `explain` when no other is named: the cost terms of docs/design.md,
 * section 10, without a margin.
 */
import type { DomainOption, DomainPolicy, DomainScore } from '@marjoramcart/core';
import { MembershipTiming } from '@marjoramcart/core';
import { PluginKind, registerPlugin } from '@marjoramcart/runtime';

export const ESTIMATE_POLICY = 'estimate';

/** Cost in ms of sending a request to another region, at a weight of 1. */
const AWAY_COST_MS = 100;

/**
 * Creates the policy.
 *
 * @example createEstimatePolicy().name // 'estimate'
 */
export function createEstimatePolicy(): DomainPolicy {
  return {
    name: ESTIMATE_POLICY,
    choose(req, home, others, weights) {
      const scores = [home, ...others].map((option): DomainScore => {
        const tail = weights.tail * (2 * option.oneWayMs + option.waitMs + option.prefillMs);
        const extraPrefillMs = Math.max(0, option.prefillMs - home.prefillMs);
        const cost = weights.cost * (extraPrefillMs + linkMs(option, req.bodyBytes));
        const away = option.region === home.region ? 0 : weights.away * AWAY_COST_MS;
        const { failureDomain } = option;
        const excluded = exclusionOf(option, req.bodyBytes);
        return { failureDomain, tail, cost, away, total: tail + cost + away, excluded };
      });
      const best = scores
        .filter(({ excluded }) => excluded === undefined)
        .reduce<DomainScore | undefined>(
          (least, score) => (least && least.total <= score.total ? least : score),
          undefined,
        );
      return { failureDomain: best?.failureDomain, scores };
    },
  };
}

/** Time that the request's bytes occupy the link. */
function linkMs({ linkMbitPerS }: DomainOption, bytes: number): number {
  return linkMbitPerS === undefined ? 0 : (bytes * 8) / (linkMbitPerS * 1000);
}

function exclusionOf(option: DomainOption, bytes: number): string | undefined {
  if (option.readyTargets === 0) return 'no ready target';
  if (option.ageMs > MembershipTiming.SummaryExpiryMs) return 'its summary has expired';
  if (option.linkBudgetBytes !== undefined && option.linkBudgetBytes < bytes) {
    return 'the link has no bytes left';
  }
  return undefined;
}

registerPlugin({
  kind: PluginKind.RoutingPolicy,
  name: ESTIMATE_POLICY,
  create: createEstimatePolicy,
});
