/**
 * Default failure-domain policy of `explain`: the cost terms of docs/design.md, section 10, without
 * a margin.
 */
import type { DomainOption, DomainPolicy, DomainScore } from '@marjoramcart/core';
import { MembershipTiming } from '@marjoramcart/core';
import { PluginKind, registerPlugin } from '@marjoramcart/runtime';

export const ESTIMATE_POLICY = 'estimate';

/** Cost of sending a request to a remote region, at a weight of 1. */
const REMOTE_REGION_COST_MS = 100;

/**
 * Creates the policy, which chooses the eligible failure domain with the lowest total cost.
 *
 * @example createEstimatePolicy().name // 'estimate'
 */
export function createEstimatePolicy(): DomainPolicy {
  return {
    name: ESTIMATE_POLICY,
    choose(req, local, others, weights) {
      const scores = [local, ...others].map((option): DomainScore => {
        const tail = weights.tail * (2 * option.oneWayMs + option.waitMs + option.prefillMs);
        const extraPrefillMs = Math.max(0, option.prefillMs - local.prefillMs);
        const cost = weights.cost * (extraPrefillMs + linkTransferMs(option, req.bodyBytes));
        const away = option.region === local.region ? 0 : weights.away * REMOTE_REGION_COST_MS;
        const { failureDomain } = option;
        const excluded = exclusionReason(option, req.bodyBytes);
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

/** Time that the link needs to transfer the request's bytes, in ms. */
function linkTransferMs({ linkMbitPerS }: DomainOption, bytes: number): number {
  return linkMbitPerS === undefined ? 0 : (bytes * 8) / (linkMbitPerS * 1000);
}

function exclusionReason(option: DomainOption, bytes: number): string | undefined {
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
