/** Rendezvous (highest random weight) hashing: processes make the same choice without coordination. */
import murmurhash from 'murmurhash';

/**
 * Sorts members by their rendezvous score for a key, highest first. Removing a member does not change
 * the order of the others.
 *
 * @example rendezvousOrder('target-1', ['a', 'b', 'c'])
 */
export function rendezvousOrder(key: string, members: readonly string[]): string[] {
  return members
    .map((member) => ({ member, score: hashOf(`${key}\n${member}`) }))
    .sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
    .map(({ member }) => member);
}

/** A member with its share of the keys relative to the other members. */
export interface WeightedMember {
  readonly member: string;
  readonly weight: number;
}

/** Maximum number of cached hashes. */
const MAX_CACHED_HASHES = 5000;
const HASH_VALUES = 2 ** 32;

/** Rendezvous hashing for frequent choices; caches the hashes of keys and members. */
export class RendezvousSelector {
  private readonly hashes = new Map<string, number>();

  /**
   * Returns the member with the highest score for a key.
   *
   * @example new RendezvousSelector().choose('part-7', ['target-1', 'target-2'])
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
   * Returns a member that is chosen with a probability proportional to its weight.
   *
   * @example new RendezvousSelector().chooseWeighted('part-7', [{ member: 'north', weight: 9 }])
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

  private hash(value: string): number {
    const cached = this.hashes.get(value);
    if (cached !== undefined) return cached;
    if (this.hashes.size >= MAX_CACHED_HASHES) this.hashes.clear();
    const hash = hashOf(value);
    this.hashes.set(value, hash);
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

/** Weighted rendezvous score: a member has the highest one with a probability proportional to its weight. */
function weightedScore(hash: number, weight: number): number {
  return -weight / Math.log((hash + 1) / (HASH_VALUES + 1));
}

/** 32-bit hash of a string, the same in all processes. */
export function hashOf(value: string): number {
  // For a string, the library creates a new encoder per hash, which takes most of its time.
  return murmurhash.v3(Buffer.from(value));
}

/** Combines the hashes of a key and a member to a score; cheaper than hashing both strings together. */
function mixHashes(a: number, b: number): number {
  /* eslint-disable no-bitwise -- finalizer of MurmurHash3 */
  let mixed = a ^ Math.imul(b, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
  /* eslint-enable no-bitwise */
}
