/** Rendezvous (highest random weight) hashing: stable choices that need no agreement. */
import murmurhash from 'murmurhash';

/**
 * Orders members by their rendezvous score for a key, highest first. Removing a member leaves the
 * order of the others unchanged.
 *
 * @example rendezvousOrder('target-1', ['a', 'b', 'c'])
 */
export function rendezvousOrder(key: string, members: readonly string[]): string[] {
  return (
    members
      // Given a string, the library makes a new encoder for each hash, which takes most of its time.
      .map((member) => ({ member, score: murmurhash.v3(Buffer.from(`${key}\n${member}`)) }))
      .sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
      .map(({ member }) => member)
  );
}
