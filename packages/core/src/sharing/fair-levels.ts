/** Weighted max-min fair division of a capacity between demands. */

export interface WeightedDemand {
  readonly demand: number;
  /** Amount that is given in any case; at most the demand. */
  readonly least: number;
  readonly weight: number;
}

/** A point at which the sum of the amounts begins to grow faster or slower with the level. */
interface Bend {
  readonly level: number;
  readonly slopeChange: number;
}

/**
 * Largest amount per unit of weight, such that the amounts (`fairAmount`) add up to the capacity;
 * infinite if it covers all demands.
 *
 * @example fairLevel([{ demand: 9, least: 0, weight: 1 }, { demand: 1, least: 0, weight: 1 }], 5) // 4
 */
export function fairLevel(demands: readonly WeightedDemand[], capacity: number): number {
  const asked = demands.reduce((sum, { demand }) => sum + demand, 0);
  if (asked <= capacity) return Infinity;
  const bends = demands
    .flatMap(({ demand, least, weight }): Bend[] => [
      { level: least / weight, slopeChange: weight },
      { level: demand / weight, slopeChange: -weight },
    ])
    .sort((a, b) => a.level - b.level);
  let missing = capacity - demands.reduce((sum, { least }) => sum + least, 0);
  let level = 0;
  let slope = 0;
  bends.some((bend) => {
    const step = slope * (bend.level - level);
    if (step >= missing) return true;
    missing -= step;
    level = bend.level;
    slope += bend.slopeChange;
    return false;
  });
  return slope > 0 ? level + Math.max(0, missing) / slope : level;
}

/** @example fairAmount({ demand: 9, least: 1, weight: 1 }, 4) // 4 */
export function fairAmount({ demand, least, weight }: WeightedDemand, level: number): number {
  return Math.max(Math.min(demand, level * weight), least);
}
