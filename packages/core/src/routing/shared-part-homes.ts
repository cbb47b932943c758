/**
 * Load pattern: long shared parts that each come back every few seconds, from all regions. A part
 * has a home region and, within each region, a home target. All gateways derive them from the same
 * lists, so a part is read once rather than once in each region.
 */
import { hashOf, mixHashes } from '../rendezvous.js';

/** Hashes that are remembered. */
const MAX_REMEMBERED = 5000;

/** A region with its weight: the number of its targets. */
export interface WeightedRegion {
  readonly region: string;
  readonly targets: number;
}

interface ScoredMember {
  readonly member: string;
  readonly score: number;
}

export class SharedPartHomes {
  private readonly hashes = new Map<string, number>();

  /** Home of a part among the targets of a region. */
  homeTarget(part: string, targets: readonly string[]): string | undefined {
    const partHash = this.hash(part);
    return highest(
      targets.map((member) => ({ member, score: mixHashes(partHash, this.hash(member)) })),
    );
  }

  /** Home region of a part; a region's chance grows with the number of its targets. */
  homeRegion(part: string, regions: readonly WeightedRegion[]): string | undefined {
    const partHash = this.hash(part);
    return highest(
      regions
        .filter(({ targets }) => targets > 0)
        .map(({ region, targets }) => ({
          member: region,
          score: weighted(mixHashes(partHash, this.hash(region)), targets),
        })),
    );
  }

  private hash(text: string): number {
    const known = this.hashes.get(text);
    if (known !== undefined) return known;
    if (this.hashes.size >= MAX_REMEMBERED) this.hashes.clear();
    const hash = hashOf(text);
    this.hashes.set(text, hash);
    return hash;
  }
}

const HASHES = 2 ** 32;

/** Rendezvous score with a weight: the chance of the highest score is proportional to it. */
function weighted(hash: number, weight: number): number {
  return -weight / Math.log((hash + 1) / (HASHES + 1));
}

function highest(members: readonly ScoredMember[]): string | undefined {
  return members.reduce<ScoredMember | undefined>(
    (best, next) =>
      !best || next.score > best.score || (next.score === best.score && next.member < best.member)
        ? next
        : best,
    undefined,
  )?.member;
}
