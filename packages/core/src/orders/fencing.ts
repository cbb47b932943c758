/**
 * Fencing numbers of orders to engines. An engine rejects an order whose number is lower than one it
 * has accepted. A number combines the revision of the configuration with a step.
 */

const STEPS_PER_REVISION = 1000;

/**
 * Fencing number of a step for a revision; every number of a higher revision is higher.
 *
 * @example fencingNumber(12, 1) // 12001
 */
export function fencingNumber(revision: number, step: number): number {
  return revision * STEPS_PER_REVISION + Math.min(step, STEPS_PER_REVISION - 1);
}

/**
 * Revision that is encoded in a fencing number.
 *
 * @example revisionOfFencing(12001) // 12
 */
export function revisionOfFencing(fencing: number): number {
  return Math.floor(fencing / STEPS_PER_REVISION);
}
