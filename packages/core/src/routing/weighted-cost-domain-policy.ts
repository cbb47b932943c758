/** Default domain policy: lowest weighted cost, with a margin in favour of the local failure domain. */
import type { ServiceWeights } from '../config/config-schema.js';
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
  /** Cost of forwarding a request to a remote region at weight 1, ms. */
  readonly remoteRegionMs: number;
  /** Another domain is chosen only if the local one costs more by at least this margin, ms. */
  readonly marginMs: number;
  /** Bytes on the link per token of a streamed response. */
  readonly responseBytesPerToken: number;
  /** Maximum age of the figures of other domains, ms. */
  readonly maxAgeMs: number;
  /** Share of the latency target above which the first-token time counts as late. */
  readonly lateShare: number;
  /** Minimum weight of the first-token time above that share. */
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
 * The cost of an option is weighted time in ms: `tail` is the expected first-token time, `cost` the
 * additional prefill with a cold cache and the time that the request's bytes occupy the link, `away` a
 * fixed amount for a remote region. Other domains of the local region have no link cost and no `away`
 * term. Another domain is chosen only if the local one costs more by the margin.
 *
 * @example new WeightedCostDomainPolicy().choose(req, local, others, weights).failureDomain
 */
export class WeightedCostDomainPolicy implements DomainPolicy {
  readonly name = 'weighted-cost';

  private readonly options: WeightedCostOptions;

  constructor(options: Partial<WeightedCostOptions> = {}) {
    this.options = { ...WEIGHTED_COST_DEFAULTS, ...options };
  }

  choose(
    req: RoutedRequest,
    local: DomainOption,
    others: readonly DomainOption[],
    weights: ServiceWeights,
  ): DomainDecision {
    const localScore = this.score(req, local, local, weights);
    const otherScores = others.map((option) => this.score(req, local, option, weights));
    const eligible = otherScores.filter(({ excluded }) => excluded === undefined);
    const best = leastBy(eligible, ({ total }) => total);
    const scores = [localScore, ...otherScores];
    const localUsable = localScore.excluded === undefined;
    const forward = best && (!localUsable || localScore.total > best.total + this.options.marginMs);
    if (!forward) return localUsable ? { failureDomain: local.failureDomain, scores } : { scores };
    const option = others.find(({ failureDomain }) => failureDomain === best.failureDomain);
    return {
      failureDomain: best.failureDomain,
      scores,
      exportKv: option ? planPrefill(option).exportKv : false,
    };
  }

  private score(
    req: RoutedRequest,
    local: DomainOption,
    option: DomainOption,
    weights: ServiceWeights,
  ): DomainScore {
    const isRemoteRegion = option.region !== local.region;
    const plan = planPrefill(option);
    const linkBytes = isRemoteRegion ? this.linkBytes(req) + plan.kvBytes : 0;
    const linkMs = option.linkMbitPerS ? transferMs(linkBytes, option.linkMbitPerS) : 0;
    const lostPrefillMs = Math.max(0, option.prefillMs - local.prefillMs);
    const tail = this.tailCost(
      2 * option.oneWayMs + option.waitMs + plan.prefillMs,
      req.latencyTargetMs,
      weights.tail,
    );
    const cost = weights.cost * ((plan.exportKv ? 0 : lostPrefillMs) + linkMs);
    const away = isRemoteRegion ? weights.away * this.options.remoteRegionMs : 0;
    const excluded = this.exclusion(option, option === local, linkBytes);
    return {
      failureDomain: option.failureDomain,
      tail,
      cost,
      away,
      total: tail + cost + away,
      ...(excluded === undefined ? {} : { excluded }),
    };
  }

  /** A small weight must not keep requests local that will be late or refused there. */
  private tailCost(firstTokenMs: number, latencyTargetMs = Infinity, weight = 1): number {
    const { lateShare, lateWeight } = this.options;
    const lateMs = Math.max(0, firstTokenMs - lateShare * latencyTargetMs);
    return weight * (firstTokenMs - lateMs) + Math.max(weight, lateWeight) * lateMs;
  }

  private exclusion(option: DomainOption, isLocal: boolean, linkBytes: number): string | undefined {
    if (option.readyTargets <= 0) return 'no ready target';
    if (isLocal) return undefined;
    if (option.ageMs > this.options.maxAgeMs) return 'figures too old';
    if (linkBytes > (option.linkBudgetBytes ?? Infinity)) return 'link budget spent';
    return undefined;
  }

  private linkBytes(req: RoutedRequest): number {
    return req.bodyBytes + req.maxTokens * this.options.responseBytesPerToken;
  }
}
