/** Suggests how to correct the validation errors that the schema finds. */
import { z } from 'zod';
import {
  classSchema,
  customerLimitsSchema,
  customerSchema,
  limitsSchema,
  linkSchema,
  mainPartSchema,
  metricsSchema,
  modelSchema,
  modelServiceSchema,
  operationSchema,
  plainServiceSchema,
  regionSchema,
  weightsSchema,
} from './config-schema.js';

const KNOWN_KEYS: readonly string[] = [
  ...new Set(
    [
      classSchema,
      customerLimitsSchema,
      customerSchema,
      limitsSchema,
      linkSchema,
      mainPartSchema,
      metricsSchema,
      modelSchema,
      modelServiceSchema,
      operationSchema,
      plainServiceSchema,
      regionSchema,
      weightsSchema,
    ].flatMap(({ shape }) => Object.keys(shape)),
  ),
];
const DURATION_KEYS = ['one_way', 'deadline', 'first_token', 'between_tokens'];
const MAX_TYPO_EDITS = 2;

/**
 * Returns a hint for an issue of the schema; `key` is the unknown key, if there is one.
 *
 * @example hintOfIssue(issue, 'regionz') // "did you mean 'regions'?"
 */
export function hintOfIssue(issue: z.core.$ZodIssue, key?: string): string {
  if (key !== undefined) {
    const maxEdits = Math.min(MAX_TYPO_EDITS, Math.floor(key.length / 3));
    const similar = KNOWN_KEYS.find((known) => known !== key && distance(known, key) <= maxEdits);
    return similar ? `did you mean '${similar}'?` : 'remove the key; it is not supported here';
  }
  const last = String(issue.path.at(-1) ?? '');
  if (DURATION_KEYS.includes(last)) {
    return 'write a whole number with a unit: 250ms, 30s or 10m';
  }
  if (issue.message.endsWith('received undefined')) return `add '${last}'`;
  if (issue.code === 'invalid_type' && issue.expected === 'int') return 'write a whole number';
  if (issue.code === 'invalid_type' && issue.expected === 'number') {
    return 'write a number without a unit; the name of the key gives the unit';
  }
  if (issue.code === 'invalid_type' && issue.expected === 'string') {
    // YAML parses the hash of an API key as a number when it contains no letters.
    return 'write a string; put digits in quotes';
  }
  if (issue.code === 'invalid_type') return `write a value of type ${issue.expected}`;
  if (issue.code === 'too_small') return 'use a higher value';
  if (issue.code === 'too_big') return 'use a lower value';
  if (last === 'format') return 'write format: 1';
  return 'see the configuration reference in docs/operators.md';
}

/** Levenshtein distance of two short strings. */
function distance(a: string, b: string): number {
  if (Math.abs(a.length - b.length) > MAX_TYPO_EDITS) return MAX_TYPO_EDITS + 1;
  const first = Array.from({ length: b.length + 1 }, (_, column) => column);
  const last = [...a].reduce(
    (row, char, index) =>
      [...b].reduce<number[]>(
        (next, other, column) => [
          ...next,
          Math.min(
            (row[column + 1] ?? 0) + 1,
            (next[column] ?? 0) + 1,
            (row[column] ?? 0) + (char === other ? 0 : 1),
          ),
        ],
        [index + 1],
      ),
    first,
  );
  return last.at(-1) ?? 0;
}
