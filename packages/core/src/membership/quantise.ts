/** Rounds load figures and ignores small changes of them, to save gossip traffic. */

const EXACT_BELOW = 4;
const STEPS_PER_DOUBLING = 2;
/** Load figures vary with each request, so one step of `quantise` up or down is a minor change. */
const MINOR_CHANGE_ABSOLUTE = 2;
const MINOR_CHANGE_SHARE = 0.4;

/**
 * Rounds to one of two logarithmic steps per doubling; numbers below 4 are rounded to integers.
 *
 * @example quantise(1000) // 1024
 */
export function quantise(value: number): number {
  if (value < EXACT_BELOW) return Math.max(0, Math.round(value));
  const exponent = Math.round(Math.log2(value) * STEPS_PER_DOUBLING) / STEPS_PER_DOUBLING;
  return Math.round(2 ** exponent);
}

/**
 * Whether the difference between two figures is too small to be gossiped immediately.
 *
 * @example isMinorChange(100, 130) // true
 */
export function isMinorChange(a: number, b: number): boolean {
  return Math.abs(a - b) <= Math.max(MINOR_CHANGE_ABSOLUTE, MINOR_CHANGE_SHARE * Math.max(a, b));
}
