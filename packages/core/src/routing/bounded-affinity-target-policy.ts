/** Target policy of the gateway: prefix affinity within a load bound, else sampled candidates. */
import type { ServiceWeights } from '../config/text-schema.js';
import type { RandomSource } from '../random-source.js';
import { rendezvousOrder } from '../rendezvous.js';
import { packTargets } from './pack-targets.js';
import type { RoutedRequest, TargetCandidate, TargetPolicy } from './routing-policy.js';
import { correctedOutstanding, leastBy, relativeLoad } from './target-load.js';

export interface BoundedAffinityOptions {
  /** Candidates that are drawn when no target with affinity is within the bound. */
  readonly samples: number;
  /** A target with affinity may hold this multiple of the mean load. */
  readonly loadFactor: number;
  /** Targets per prefix, first in rendezvous order, that are preferred. */
  readonly replicas: number;
  /** Part of a target's concurrency above which a packed service uses one more target. */
  readonly packFill: number;
  /** A packed target whose reported wait is longer has no room, in ms. */
  readonly packWaitMs: number;
  /** A packed request joins a target that holds its prefix up to this multiple of concurrency. */
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
 * Prefers targets that hold the request's prefix, by cache events (hints) and by rendezvous order,
 * as long as their corrected load is within a multiple of the mean. Otherwise draws candidates and
 * takes the least loaded of them.
 *
 * A decode step of a small batch takes nearly as long as one of a large batch. Model services whose
 * cost weighs more than their tail latency are therefore packed on as few targets as hold them.
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

  /** Holds on to cached prefixes for longer, since a computed prefix costs more than a short wait. */
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
    // The first in rendezvous order wins among the preferred, so that a prefix stays on one target
    // until that target reaches the bound.
    const first = (list: readonly TargetCandidate[]): TargetCandidate | undefined =>
      leastBy(list, ({ state }) => order.indexOf(state.vm));
    return first(both) ?? leastBy(hinted, relativeLoad) ?? first(preferred);
  }

  /** Requests that a target may hold, in proportion to its concurrency. */
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
    // Above its concurrency a target queues, which costs more than computing the prefix again.
    return ({ state: { concurrency } }) =>
      Math.min(concurrency, Math.ceil(this.options.loadFactor * mean * concurrency));
  }

  private chooseSampled(
    candidates: readonly TargetCandidate[],
    random: RandomSource,
  ): TargetCandidate | undefined {
    const rest = [...candidates];
    const drawn = Array.from(
      { length: Math.min(this.options.samples, rest.length) },
      () => rest.splice(Math.floor(random.next() * rest.length), 1)[0],
    ).filter((candidate) => candidate !== undefined);
    return leastBy(drawn, relativeLoad);
  }
}

function isHinted({ prefix }: RoutedRequest, { state }: TargetCandidate): boolean {
  return prefix !== undefined && (state.cachedPrefixes?.includes(prefix) ?? false);
}
