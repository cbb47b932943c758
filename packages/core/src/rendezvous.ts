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

/**
 * 32-bit hash of a text.
 *
 * @example hashOf('target-1')
 */
export function hashOf(text: string): number {
  // Given a string, the library makes a new encoder for each hash, which takes most of its time.
  return murmurhash.v3(Buffer.from(text));
}

/**
 * Rendezvous score of a member for a key, from the hashes of both. Cheaper than hashing both texts
 * for each choice.
 *
 * @example mixHashes(hashOf('part-7'), hashOf('target-1'))
 */
export function mixHashes(a: number, b: number): number {
  /* eslint-disable no-bitwise -- finalizer of MurmurHash3 */
  let mixed = a ^ Math.imul(b, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
  /* eslint-enable no-bitwise */
}
