/**
 * Load pattern: long shared parts that each come back every few seconds, from all regions. A part
 * has a home region and, within each region, a home target. All gateways derive them from the same
 * lists, so a part is read once rather than once in each region.
 */
import { RendezvousSelector } from '../rendezvous.js';

/** A region with its weight: the number of its targets. */
export interface WeightedRegion {
  readonly region: string;
  readonly targets: number;
}

export class SharedPrefixAffinity {
  private readonly choice = new RendezvousSelector();

  /** Home of a part among the targets of a region. */
  preferredTarget(part: string, targets: readonly string[]): string | undefined {
    return this.choice.choose(part, targets);
  }

  /** Home region of a part; a region's chance grows with the number of its targets. */
  preferredRegion(part: string, regions: readonly WeightedRegion[]): string | undefined {
    return this.choice.chooseWeighted(
      part,
      regions.map(({ region, targets }) => ({ member: region, weight: targets })),
    );
  }
}
