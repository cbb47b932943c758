/** Seeded random numbers that policies take as an argument. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers in [0, 1). */
export interface RandomSource {
  next(): number;
}

/**
 * Random source that gives the same numbers for the same seed.
 *
 * @example seededRandom(7).next() === seededRandom(7).next() // true
 */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformFloat64(generator) };
}
