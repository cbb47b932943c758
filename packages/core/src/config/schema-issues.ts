/** Messages and places of the issues that a schema finds. */
import type { z } from 'zod';
import { MAX_CONFIG_ERRORS } from './text-fault.js';

/** One fault of an issue; an issue with unknown keys has one for each. */
export interface SchemaError {
  /** Path of the map or value with the fault. */
  readonly at: readonly PropertyKey[];
  /** Path to point at. */
  readonly path: readonly PropertyKey[];
  /** Points at the last key of `path`, not at its value. */
  readonly atKey?: boolean;
  readonly message: string;
  readonly unknownKey?: string;
}

/**
 * Faults of an issue, in words for the writer of the text.
 *
 * @example faultsOfIssue(issue)[0]?.message // "unknown key 'regionz'"
 */
export function errorsOfIssue(issue: z.core.$ZodIssue): SchemaError[] {
  const at = issue.path;
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.slice(0, MAX_CONFIG_ERRORS).map((key) => ({
      at,
      path: [...at, key],
      atKey: true,
      message: `unknown key '${key}'`,
      unknownKey: key,
    }));
  }
  if (issue.code === 'invalid_key') {
    return [{ at, path: at, atKey: true, message: issue.issues[0]?.message ?? 'invalid key' }];
  }
  const message = issue.message.endsWith('received undefined')
    ? 'the key is missing'
    : issue.message.replace(/^Invalid input: /, '');
  return [{ at, path: at, message }];
}
