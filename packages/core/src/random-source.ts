/** Seeded random number generator, passed to policies so that their choices are reproducible. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers in [0, 1). */
export interface RandomSource {
  next(): number;
}

/**
 * Creates a random source that returns the same sequence for the same seed.
 *
 * @example seededRandom(7).next() === seededRandom(7).next() // true
 */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformFloat64(generator) };
}

/**
 * Up to `count` different items, chosen at random.
 *
 * @example sampleItems(['a', 'b', 'c'], 2, random) // ['c', 'a']
 */
export function sampleItems<Item>(
  items: readonly Item[],
  count: number,
  random: RandomSource,
): Item[] {
  if (count <= 0) return [];
  const rest = [...items];
  return Array.from({ length: Math.min(count, rest.length) }, () => {
    const index = Math.floor(random.next() * rest.length);
    const chosen = rest[index] as Item;
    rest[index] = rest.at(-1) as Item;
    rest.pop();
    return chosen;
  });
}
