/** Parses one part of the text and checks it against its schema. */
import { CORE_SCHEMA, load, YAMLException } from 'js-yaml';
import type { z } from 'zod';
import { hintOfIssue } from './schema-hints.js';
import { errorsOfIssue } from './schema-issues.js';
import { MAX_CONFIG_ERRORS, type ConfigIssue, type ConfigError, type ConfigPart } from './text-fault.js';

/** Highest size of a value in the configuration service. */
export const MAX_VALUE_BYTES = 1_048_576;

const ALIAS_FAULT = {
  message: 'YAML aliases of maps and lists are not supported',
  hint: 'write the value out at each place',
};

/**
 * Highest number of customers in a value. A correct value can't hold as many; a wrong one with more
 * entries would take hundreds of MB in faults.
 */
const MAX_CUSTOMERS_IN_VALUE = 20_000;

export type PartResult<Value> =
  | { readonly kind: 'parsed'; readonly value: Value }
  /** A fault that ends the check of this part, for example in the YAML syntax. */
  | { readonly kind: 'unreadable'; readonly error: ConfigError }
  | { readonly kind: 'invalid'; readonly issues: readonly ConfigIssue[] };

/**
 * Parses a part.
 *
 * @example parsePart({ file: 'config/main', text: 'format: 2' }, mainPartSchema).kind // 'invalid'
 */
export function parsePart<Schema extends z.ZodType>(
  part: ConfigPart,
  schema: Schema,
): PartResult<z.output<Schema>> {
  const bytes = Buffer.byteLength(part.text);
  if (bytes > MAX_VALUE_BYTES) {
    const message = `the value has ${bytes} bytes; at most ${MAX_VALUE_BYTES} are allowed`;
    return unreadable(part, message, 'move customers to another config/customers-* value');
  }
  try {
    const data = load(part.text, { schema: CORE_SCHEMA });
    const count = customerCount(data);
    if (count > MAX_CUSTOMERS_IN_VALUE) {
      const message = `the value lists ${count} customers; at most ${MAX_CUSTOMERS_IN_VALUE} are allowed`;
      return unreadable(part, message, 'move customers to another config/customers-* value');
    }
    const shared = findShared(data, [], new Set());
    if (shared) {
      const fault = { part, path: shared, ...ALIAS_FAULT };
      return { kind: 'invalid', issues: [fault] };
    }
    const result = schema.safeParse(data ?? {});
    if (result.success) return { kind: 'parsed', value: result.data };
    const faults = result.error.issues
      .slice(0, MAX_CONFIG_ERRORS)
      .flatMap((issue) => faultsInPart(part, issue));
    return { kind: 'invalid', issues: faults };
  } catch (err) {
    return unreadableFromError(part, err);
  }
}

function customerCount(data: unknown): number {
  const list = (data as { customers?: unknown } | null | undefined)?.customers;
  return Array.isArray(list) ? list.length : 0;
}

/** Path of a collection that occurs twice: aliases can make a small text expand without bound. */
function findShared(
  value: unknown,
  path: readonly PropertyKey[],
  seen: Set<object>,
): readonly PropertyKey[] | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  if (seen.has(value)) return path;
  seen.add(value);
  const found: { path?: readonly PropertyKey[] } = {};
  Object.entries(value).some(([key, child]) => {
    if (typeof child === 'object') found.path = findShared(child, [...path, key], seen);
    return found.path !== undefined;
  });
  return found.path;
}

function faultsInPart(part: ConfigPart, issue: z.core.$ZodIssue): ConfigIssue[] {
  return errorsOfIssue(issue).map(({ at, path, atKey, message, unknownKey }) => {
    const prefix = at.length === 0 ? '' : `${at.map(String).join('.')}: `;
    const hint = issue.code === 'invalid_key' ? 'rename the id' : hintOfIssue(issue, unknownKey);
    return { part, path, atKey, message: prefix + message, hint };
  });
}

function unreadable(part: ConfigPart, message: string, hint: string): PartResult<never> {
  return { kind: 'unreadable', error: { file: part.file, line: 1, column: 1, message, hint } };
}

function unreadableFromError(part: ConfigPart, err: unknown): PartResult<never> {
  if (!(err instanceof YAMLException)) {
    // A RangeError: nesting deeper than the parser's stack.
    return unreadable(part, 'the text is nested too deeply', 'remove nested lists and maps');
  }
  const { reason, mark } = err;
  const hint = reason.includes('duplicated mapping key')
    ? 'remove or rename one of the two keys'
    : 'correct the YAML syntax: check indentation, quotes and brackets';
  // Some messages of the parser have no position.
  const line = (mark?.line ?? 0) + 1;
  const column = (mark?.column ?? 0) + 1;
  return { kind: 'unreadable', error: { file: part.file, line, column, message: reason, hint } };
}
