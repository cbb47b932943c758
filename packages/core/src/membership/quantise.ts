/** Rounds load figures, so that small changes are not gossiped. */

const EXACT_BELOW = 4;
const STEPS_PER_DOUBLING = 2;
/** Load figures vary with each request; one step of `quantise` up or down is near. */
const MINOR_CHANGE_ABSOLUTE = 2;
const MINOR_CHANGE_SHARE = 0.4;

/**
 * Rounds to one of two steps per doubling; numbers below 4 are kept.
 *
 * @example quantise(1000) // 1024
 */
export function quantise(value: number): number {
  if (value < EXACT_BELOW) return Math.max(0, Math.round(value));
  const exponent = Math.round(Math.log2(value) * STEPS_PER_DOUBLING) / STEPS_PER_DOUBLING;
  return Math.round(2 ** exponent);
}

/**
 * Whether a figure changed too little to be gossiped at once.
 *
 * @example near(100, 130) // true
 */
export function isMinorChange(a: number, b: number): boolean {
  return Math.abs(a - b) <= Math.max(MINOR_CHANGE_ABSOLUTE, MINOR_CHANGE_SHARE * Math.max(a, b));
}
