/**
 * Assigns each shared prefix a preferred region and, within each region, a preferred target. All
 * gateways derive them from the same lists, so that a long prefix which recurs in all regions every
 * few seconds is prefilled once rather than once per region.
 */
import { RendezvousSelector } from '../rendezvous.js';

/** A region with its weight: the number of its targets. */
export interface WeightedRegion {
  readonly region: string;
  readonly targets: number;
}

export class SharedPrefixAffinity {
  private readonly selector = new RendezvousSelector();

  /** Preferred target of a prefix among the targets of a region. */
  preferredTarget(prefix: string, targets: readonly string[]): string | undefined {
    return this.selector.choose(prefix, targets);
  }

  /** Preferred region of a prefix, with a probability proportional to the region's targets. */
  preferredRegion(prefix: string, regions: readonly WeightedRegion[]): string | undefined {
    return this.selector.chooseWeighted(
      prefix,
      regions.map(({ region, targets }) => ({ member: region, weight: targets })),
    );
  }
}
