/**
 * Load pattern: long shared parts that each come back every few seconds, from all regions. A part
 * has a home region and, within each region, a home target. All gateways derive them from the same
 * lists, so a part is read once rather than once in each region.
 */
import { rendezvousOrder } from '../rendezvous.js';

/** Choices that are remembered for one list of members. */
const MAX_REMEMBERED = 5000;

/** A region with its weight: the number of its targets. */
export interface WeightedRegion {
  readonly region: string;
  readonly targets: number;
}

export class SharedPartHomes {
  private readonly first = new Map<string, string | undefined>();

  /** Home of a part among the targets of a region. */
  homeTarget(part: string, targets: readonly string[]): string | undefined {
    return this.remember(part, targets);
  }

  /** Home region of a part; a region's chance grows with the number of its targets. */
  homeRegion(part: string, regions: readonly WeightedRegion[]): string | undefined {
    const members = regions.flatMap(({ region, targets }) =>
      Array.from({ length: targets }, (_, index) => `${region}#${index}`),
    );
    return this.remember(part, members)?.split('#')[0];
  }

  private remember(part: string, members: readonly string[]): string | undefined {
    const key = `${part} ${members.join(' ')}`;
    if (this.first.has(key)) return this.first.get(key);
    if (this.first.size >= MAX_REMEMBERED) this.first.clear();
    const [home] = rendezvousOrder(part, members);
    this.first.set(key, home);
    return home;
  }
}
