/** Seeded open-loop arrivals: calls start on schedule and do not wait for earlier responses. */
import type { RandomSource } from '@marjoramcart/core';

/** Longer than the first 2,048 characters that the engines' prefix digest covers. */
const PREFIX_CHARACTERS = 4096;

/**
 * Start times of a Poisson process, in ms from the start of the run.
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
 * Builds a prompt; prompts with the same prefix number share their prefix.
 *
 * @example makePrompt(3, 1).startsWith('Manual 3.') // true
 */
export function makePrompt(prefix: number, call: number): string {
  const sentence = `Manual ${prefix}. Check each stake, shackle and guy rope before loading. `;
  return `${sentence.repeat(Math.ceil(PREFIX_CHARACTERS / sentence.length))}\nQuestion ${call}?`;
}
