/** Random selection of peers. */
import type { RandomSource } from '@marjoramcart/core';

/** Returns up to `count` of the values in random order. */
export function pickRandom<Value>(
  random: RandomSource,
  values: readonly Value[],
  count: number,
): Value[] {
  return values
    .map((value) => ({ value, rank: random.next() }))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, count)
    .map(({ value }) => value);
}
