/** Classes of the learned speed of a target, for logs and metrics. */

export const SpeedClass = {
  Normal: 'normal',
  Slow: 'slow',
  VerySlow: 'very-slow',
} as const;
export type SpeedClass = (typeof SpeedClass)[keyof typeof SpeedClass];

/** Relative factors on times from which a target counts as slow and very slow. */
const SLOW_FACTOR = 1.6;
const VERY_SLOW_FACTOR = 3.5;
/** A target leaves a class below this share of its limit, so that it does not change back and forth. */
const LEAVE_SHARE = 0.8;

/**
 * Class of a target by its relative factor on times.
 *
 * @param before its class so far
 * @example speedClassOf(2, SpeedClass.Normal) // 'slow'
 */
export function speedClassOf(relative: number, before: SpeedClass): SpeedClass {
  const limitOf = (factor: number, isIn: boolean): number => factor * (isIn ? LEAVE_SHARE : 1);
  if (relative >= limitOf(VERY_SLOW_FACTOR, before === SpeedClass.VerySlow)) {
    return SpeedClass.VerySlow;
  }
  return relative >= limitOf(SLOW_FACTOR, before !== SpeedClass.Normal)
    ? SpeedClass.Slow
    : SpeedClass.Normal;
}
