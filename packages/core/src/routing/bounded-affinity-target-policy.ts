/** Default target policy: prefix affinity within a load bound, otherwise sampled candidates. */
import type { ServiceWeights } from '../config/config-schema.js';
import type { RandomSource } from '../random-source.js';
import { rendezvousOrder } from '../rendezvous.js';
import { packTargets } from './pack-targets.js';
import type { RoutedRequest, TargetCandidate, TargetPolicy } from './routing-policy.js';
import { correctedOutstanding, leastBy, relativeLoad } from './target-load.js';

export interface BoundedAffinityOptions {
  /** Number of candidates sampled when no target with affinity is within the bound. */
  readonly samples: number;
  /** Maximum load of a target with affinity, as a multiple of the mean load. */
  readonly loadFactor: number;
  /** Number of preferred targets per prefix, in rendezvous order. */
  readonly replicas: number;
  /** Share of a target's concurrency above which a packed service uses another target. */
  readonly packFill: number;
  /** A packed target with a longer reported wait counts as full, ms. */
  readonly packWaitMs: number;
  /** A packed request may use a target that caches its prefix up to this multiple of concurrency. */
  readonly overfill: number;
}

export const BOUNDED_AFFINITY_DEFAULTS: BoundedAffinityOptions = {
  samples: 2,
  loadFactor: 1.25,
  replicas: 1,
  packFill: 0.7,
  packWaitMs: 200,
  overfill: 1.05,
};

/**
 * Prefers targets that cache the request's prefix, according to cache events (hints) and rendezvous
 * order, while their corrected load is within a multiple of the mean. Otherwise samples candidates at
 * random and uses the least loaded one.
 *
 * A decode step of a small batch takes nearly as long as one of a large batch. Model services whose
 * cost has a higher weight than their tail latency are therefore packed onto as few targets as possible.
 *
 * @example new BoundedAffinityTargetPolicy().choose(req, candidates, seededRandom(1))
 */
export class BoundedAffinityTargetPolicy implements TargetPolicy {
  readonly name = 'bounded-affinity';

  private readonly options: BoundedAffinityOptions;

  constructor(options: Partial<BoundedAffinityOptions> = {}) {
    this.options = { ...BOUNDED_AFFINITY_DEFAULTS, ...options };
  }

  choose(
    req: RoutedRequest,
    candidates: readonly TargetCandidate[],
    random: RandomSource,
    weights?: ServiceWeights,
  ): TargetCandidate | undefined {
    if (candidates.length <= 1) return candidates[0];
    if (req.prefix !== undefined && weights !== undefined && weights.cost > weights.tail) {
      return this.choosePacked(req, packTargets(req, candidates, this.options), random);
    }
    return this.chooseByPrefix(req, candidates) ?? this.chooseSampled(candidates, random);
  }

  /** Allows more load for cached prefixes, since recomputing a prefix costs more than a short wait. */
  private choosePacked(
    req: RoutedRequest,
    packed: readonly TargetCandidate[],
    random: RandomSource,
  ): TargetCandidate | undefined {
    const { overfill } = this.options;
    const bound = this.outstandingBound(packed);
    const hinted = packed.filter((candidate) => isHinted(req, candidate));
    const within = hinted.filter(
      (candidate) => correctedOutstanding(candidate) + 1 <= bound(candidate),
    );
    const nearlyWithin = hinted.filter((candidate) => relativeLoad(candidate) < overfill);
    return (
      leastBy(within, relativeLoad) ??
      this.chooseByPrefix(req, packed) ??
      leastBy(nearlyWithin, relativeLoad) ??
      this.chooseSampled(packed, random)
    );
  }

  private chooseByPrefix(
    req: RoutedRequest,
    candidates: readonly TargetCandidate[],
  ): TargetCandidate | undefined {
    const { prefix } = req;
    if (prefix === undefined) return undefined;
    const bound = this.outstandingBound(candidates);
    const within = candidates.filter(
      (candidate) => correctedOutstanding(candidate) + 1 <= bound(candidate),
    );
    const order = rendezvousOrder(
      prefix,
      candidates.map(({ state }) => state.vm),
    ).slice(0, this.options.replicas);
    const preferred = within.filter(({ state }) => order.includes(state.vm));
    const hinted = within.filter((candidate) => isHinted(req, candidate));
    const both = preferred.filter((candidate) => hinted.includes(candidate));
    // Among the preferred targets the first in rendezvous order is chosen, so that a prefix stays on
    // one target until that target reaches the bound.
    const first = (list: readonly TargetCandidate[]): TargetCandidate | undefined =>
      leastBy(list, ({ state }) => order.indexOf(state.vm));
    return first(both) ?? leastBy(hinted, relativeLoad) ?? first(preferred);
  }

  /** Maximum number of requests at a target, in proportion to its concurrency. */
  private outstandingBound(
    candidates: readonly TargetCandidate[],
  ): (candidate: TargetCandidate) => number {
    const sum = (value: (candidate: TargetCandidate) => number): number =>
      candidates.reduce((total, candidate) => total + value(candidate), 0);
    const mean =
      (sum(correctedOutstanding) + 1) /
      Math.max(
        1,
        sum(({ state }) => state.concurrency),
      );
    // Above its concurrency a target queues requests, which costs more than recomputing the prefix.
    return ({ state: { concurrency } }) =>
      Math.min(concurrency, Math.ceil(this.options.loadFactor * mean * concurrency));
  }

  private chooseSampled(
    candidates: readonly TargetCandidate[],
    random: RandomSource,
  ): TargetCandidate | undefined {
    const rest = [...candidates];
    const sampled = Array.from(
      { length: Math.min(this.options.samples, rest.length) },
      () => rest.splice(Math.floor(random.next() * rest.length), 1)[0],
    ).filter((candidate) => candidate !== undefined);
    return leastBy(sampled, relativeLoad);
  }
}

function isHinted({ prefix }: RoutedRequest, { state }: TargetCandidate): boolean {
  return prefix !== undefined && (state.cachedPrefixes?.includes(prefix) ?? false);
}
