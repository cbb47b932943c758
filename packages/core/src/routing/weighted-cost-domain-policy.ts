/** Domain policy of the gateway: weighted cost of each choice, with a margin in favour of home. */
import type { ServiceWeights } from '../config/text-schema.js';
import { planPrefill, transferMs } from './kv-export.js';
import type {
  DomainDecision,
  DomainOption,
  DomainPolicy,
  DomainScore,
  RoutedRequest,
} from './routing-policy.js';
import { leastBy } from './target-load.js';

export interface WeightedCostOptions {
  /** What sending a request to another region costs at weight 1, in ms. */
  readonly remoteRegionMs: number;
  /** Home must cost more than the best other choice by this much, in ms. */
  readonly marginMs: number;
  /** Bytes on the link for each token of a streamed answer. */
  readonly responseBytesPerToken: number;
  /** Figures of other domains that are older than this are not used, in ms. */
  readonly maxAgeMs: number;
  /** Share of the latency target from which a request counts as late. */
  readonly lateShare: number;
  /** Least weight of the first-token time above that share. */
  readonly lateWeight: number;
}

export const WEIGHTED_COST_DEFAULTS: WeightedCostOptions = {
  remoteRegionMs: 50,
  marginMs: 100,
  responseBytesPerToken: 200,
  maxAgeMs: 10_000,
  lateShare: 0.2,
  lateWeight: 4,
};

/**
 * Cost of a choice in ms of weighted time: `tail` is the expected first-token time, `cost` the
 * prefill lost to a cold cache and the time that the request's bytes occupy the link, `away` a
 * fixed amount for another region. Another domain of the home region has no link cost and no away
 * term. Another domain is chosen only when home costs more by the margin.
 *
 * @example new WeightedCostDomainPolicy().choose(req, home, others, weights).failureDomain
 */
export class WeightedCostDomainPolicy implements DomainPolicy {
  readonly name = 'weighted-cost';

  private readonly options: WeightedCostOptions;

  constructor(options: Partial<WeightedCostOptions> = {}) {
    this.options = { ...WEIGHTED_COST_DEFAULTS, ...options };
  }

  choose(
    req: RoutedRequest,
    home: DomainOption,
    others: readonly DomainOption[],
    weights: ServiceWeights,
  ): DomainDecision {
    const homeScore = this.score(req, home, home, weights);
    const otherScores = others.map((option) => this.score(req, home, option, weights));
    const eligible = otherScores.filter(({ excluded }) => excluded === undefined);
    const best = leastBy(eligible, ({ total }) => total);
    const scores = [homeScore, ...otherScores];
    const homeUsable = homeScore.excluded === undefined;
    const leave = best && (!homeUsable || homeScore.total > best.total + this.options.marginMs);
    if (!leave) return homeUsable ? { failureDomain: home.failureDomain, scores } : { scores };
    const option = others.find(({ failureDomain }) => failureDomain === best.failureDomain);
    return {
      failureDomain: best.failureDomain,
      scores,
      exportKv: option ? planPrefill(option).exportKv : false,
    };
  }

  private score(
    req: RoutedRequest,
    home: DomainOption,
    option: DomainOption,
    weights: ServiceWeights,
  ): DomainScore {
    const isAway = option.region !== home.region;
    const plan = planPrefill(option);
    const linkBytes = isAway ? this.linkBytes(req) + plan.kvBytes : 0;
    const linkMs = option.linkMbitPerS ? transferMs(linkBytes, option.linkMbitPerS) : 0;
    const lostPrefillMs = Math.max(0, option.prefillMs - home.prefillMs);
    const tail = this.tailCost(
      2 * option.oneWayMs + option.waitMs + plan.prefillMs,
      req.latencyTargetMs,
      weights.tail,
    );
    const cost = weights.cost * ((plan.exportKv ? 0 : lostPrefillMs) + linkMs);
    const away = isAway ? weights.away * this.options.remoteRegionMs : 0;
    const excluded = this.exclusion(option, option === home, linkBytes);
    return {
      failureDomain: option.failureDomain,
      tail,
      cost,
      away,
      total: tail + cost + away,
      ...(excluded === undefined ? {} : { excluded }),
    };
  }

  /** A small weight must not hold requests at home that will be late or refused there. */
  private tailCost(firstTokenMs: number, latencyTargetMs = Infinity, weight = 1): number {
    const { lateShare, lateWeight } = this.options;
    const lateMs = Math.max(0, firstTokenMs - lateShare * latencyTargetMs);
    return weight * (firstTokenMs - lateMs) + Math.max(weight, lateWeight) * lateMs;
  }

  private exclusion(option: DomainOption, isHome: boolean, linkBytes: number): string | undefined {
    if (option.readyTargets <= 0) return 'no ready target';
    if (isHome) return undefined;
    if (option.ageMs > this.options.maxAgeMs) return 'figures too old';
    if (linkBytes > (option.linkBudgetBytes ?? Infinity)) return 'link budget spent';
    return undefined;
  }

  private linkBytes(req: RoutedRequest): number {
    return req.bodyBytes + req.maxTokens * this.options.responseBytesPerToken;
  }
}
