/** Rendezvous (highest random weight) hashing: stable choices that need no agreement. */
import murmurhash from 'murmurhash';

/** Keys whose scores are kept; hashing a short string costs more than a look-up. */
const MAX_CACHED_KEYS = 2000;

const scoresByKey = new Map<string, Map<string, number>>();

/**
 * Orders members by their rendezvous score for a key, highest first. Removing a member leaves the
 * order of the others unchanged.
 *
 * @example rendezvousOrder('target-1', ['a', 'b', 'c'])
 */
export function rendezvousOrder(key: string, members: readonly string[]): string[] {
  const scores = scoresOf(key);
  return members
    .map((member) => ({ member, score: scoreOf(scores, key, member) }))
    .sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
    .map(({ member }) => member);
}

function scoresOf(key: string): Map<string, number> {
  const known = scoresByKey.get(key);
  if (known) return known;
  const scores = new Map<string, number>();
  // Dropping all bounds the memory without a look-up of the oldest key.
  if (scoresByKey.size >= MAX_CACHED_KEYS) scoresByKey.clear();
  scoresByKey.set(key, scores);
  return scores;
}

function scoreOf(scores: Map<string, number>, key: string, member: string): number {
  const known = scores.get(member);
  if (known !== undefined) return known;
  const score = murmurhash.v3(`${key}\n${member}`);
  scores.set(member, score);
  return score;
}
