/** Rendezvous (highest random weight) hashing: stable choices that need no agreement. */
import murmurhash from 'murmurhash';

/**
 * Orders members by their rendezvous score for a key, highest first. Removing a member leaves the
 * order of the others unchanged.
 *
 * @example rendezvousOrder('target-1', ['a', 'b', 'c'])
 */
export function rendezvousOrder(key: string, members: readonly string[]): string[] {
  return members
    .map((member) => ({ member, score: hashOf(`${key}\n${member}`) }))
    .sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
    .map(({ member }) => member);
}

/** A member with the share of the keys that it gets, relative to the others. */
export interface WeightedMember {
  readonly member: string;
  readonly weight: number;
}

/** Hashes that are remembered. */
const MAX_REMEMBERED = 5000;
const HASHES = 2 ** 32;

/** Choices by rendezvous hashing that are made often; hashes of keys and members are kept. */
export class RendezvousSelector {
  private readonly hashes = new Map<string, number>();

  /**
   * The member with the highest score for a key.
   *
   * @example new RendezvousChoice().choose('part-7', ['target-1', 'target-2'])
   */
  choose(key: string, members: readonly string[]): string | undefined {
    const keyHash = this.hash(key);
    const best = members.reduce<ScoredMember | undefined>((highest, member) => {
      const next = { member, score: mixHashes(keyHash, this.hash(member)) };
      return highest === undefined || isHigher(next, highest) ? next : highest;
    }, undefined);
    return best?.member;
  }

  /**
   * A member whose chance is proportional to its weight.
   *
   * @example new RendezvousChoice().chooseWeighted('part-7', [{ member: 'north', weight: 9 }])
   */
  chooseWeighted(key: string, members: readonly WeightedMember[]): string | undefined {
    const keyHash = this.hash(key);
    const scored = members
      .filter(({ weight }) => weight > 0)
      .map(({ member, weight }) => ({
        member,
        score: weightedScore(mixHashes(keyHash, this.hash(member)), weight),
      }));
    const [first, ...others] = scored;
    return others.reduce(
      (best, next) => (best === undefined || isHigher(next, best) ? next : best),
      first,
    )?.member;
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

interface ScoredMember {
  readonly member: string;
  readonly score: number;
}

function isHigher(a: ScoredMember, b: ScoredMember): boolean {
  return a.score > b.score || (a.score === b.score && a.member < b.member);
}

/** Rendezvous score with a weight: the chance of the highest score is proportional to it. */
function weightedScore(hash: number, weight: number): number {
  return -weight / Math.log((hash + 1) / (HASHES + 1));
}

function hashOf(text: string): number {
  // Given a string, the library makes a new encoder for each hash, which takes most of its time.
  return murmurhash.v3(Buffer.from(text));
}

/** Score of a member for a key from the hashes of both, cheaper than hashing both texts. */
function mixHashes(a: number, b: number): number {
  /* eslint-disable no-bitwise -- finalizer of MurmurHash3 */
  let mixed = a ^ Math.imul(b, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
  /* eslint-enable no-bitwise */
}
