/** Fencing numbers of orders to engines. */

const STEPS_PER_REVISION = 1000;

/**
 * Fencing number of a step of the plan for a revision; it grows with the revision.
 *
 * @example fencingNumber(12, 1) // 12001
 */
export function fencingNumber(revision: number, step: number): number {
  return revision * STEPS_PER_REVISION + Math.min(step, STEPS_PER_REVISION - 1);
}

/**
 * Revision that a fencing number was made for.
 *
 * @example revisionOfFencing(12001) // 12
 */
export function revisionOfFencing(fencing: number): number {
  return Math.floor(fencing / STEPS_PER_REVISION);
}
