/** Order of the states of the platform over the eras of its store. */

/** Position of a state in the history of the platform's store. */
export interface StateRevision {
  /** Rises each time the store comes back from an older copy, which lacks the latest changes; 0 if unknown. */
  readonly era: number;
  /** Rises with each change of an era; numbers that were lost are given out again in the next one. */
  readonly revision: number;
}

/**
 * Whether a state is older than another one. Revisions compare within an era only.
 *
 * @example isOlderRevision({ era: 1, revision: 26 }, { era: 2, revision: 20 }) // true
 */
export function isOlderRevision(a: StateRevision, b: StateRevision): boolean {
  return a.era === b.era ? a.revision < b.revision : a.era < b.era;
}

/**
 * The era in a message of another gateway.
 *
 * @returns undefined if it tells none, or something else
 */
export function readEra(value: unknown): number | undefined {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0 ? value : undefined;
}
