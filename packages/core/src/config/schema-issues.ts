/** Converts issues of a zod schema to messages and paths for the author of a YAML file. */
import type { z } from 'zod';
import { MAX_CONFIG_ERRORS } from './config-error.js';

/** One validation error of an issue; an issue with unknown keys has one for each key. */
export interface SchemaError {
  /** Path of the invalid map or value. */
  readonly at: readonly PropertyKey[];
  /** Path whose position is reported. */
  readonly path: readonly PropertyKey[];
  /** Reports the position of the last key of `path`, not of its value. */
  readonly atKey?: boolean;
  readonly message: string;
  readonly unknownKey?: string;
}

/**
 * Returns the validation errors of an issue, in terms of the YAML file.
 *
 * @example errorsOfIssue(issue)[0]?.message // "unknown key 'regionz'"
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
