/** Seeded open-loop arrivals: the next call does not wait for the answer to the last. */
import type { RandomSource } from '@marjoramcart/core';

/** The engines' prefix digest covers the first 2,048 characters. */
const PREFIX_CHARACTERS = 4096;

/**
 * Times of calls from the start, in ms, with exponential gaps.
 *
 * @example arrivalTimes(10, 1000, seededRandom(1)).every((at) => at < 1000) // true
 */
export function arrivalTimes(ratePerS: number, durationMs: number, random: RandomSource): number[] {
  const times: number[] = [];
  const gap = (): number => (-1000 * Math.log(1 - random.next())) / ratePerS;
  for (let at = gap(); at < durationMs; at += gap()) times.push(at);
  return times;
}

/**
 * Prompt with a shared prefix; prompts with the same prefix number share their first characters.
 *
 * @example makePrompt(3, 1).startsWith('Manual 3.') // true
 */
export function makePrompt(prefix: number, call: number): string {
  const sentence = `Manual ${prefix}. Check each stake, shackle and guy rope before loading. `;
  return `${sentence.repeat(Math.ceil(PREFIX_CHARACTERS / sentence.length))}\nQuestion ${call}?`;
}
