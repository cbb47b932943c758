/** Loads the YAML settings of a process and validates them against a schema. */
import { readFileSync } from 'node:fs';
import { LineCounter, parseDocument } from 'yaml';
import type { z } from 'zod';
import { errorsOfIssue, positionAt, positionIn } from '@marjoramcart/core';

/** A validation error in a settings file; `line` and `column` start at 1. */
export interface SettingsError {
  readonly line: number;
  readonly column: number;
  readonly path: string;
  readonly message: string;
}

export type SettingsResult<Value> =
  | { readonly kind: 'valid'; readonly value: Value }
  | { readonly kind: 'unreadable'; readonly message: string }
  | { readonly kind: 'invalid'; readonly errors: readonly SettingsError[] };

/**
 * Loads and validates a settings file.
 *
 * @example loadSettings('entry.yaml', entrySettingsSchema).kind // 'valid'
 */
export function loadSettings<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): SettingsResult<z.output<Schema>> {
  try {
    // Settings are read once, before the process serves any request.
    // eslint-disable-next-line n/no-sync
    return parseSettings(readFileSync(file, 'utf8'), schema);
  } catch (err) {
    return { kind: 'unreadable', message: err instanceof Error ? err.message : String(err) };
  }
}

/**
 * Validates the content of a settings file.
 *
 * @example parseSettings('port: x', z.strictObject({ port: z.number() })).kind // 'invalid'
 */
export function parseSettings<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): SettingsResult<z.output<Schema>> {
  const lines = new LineCounter();
  const doc = parseDocument(text, { lineCounter: lines });
  if (doc.errors.length > 0) {
    return {
      kind: 'invalid',
      errors: doc.errors.map((err) => ({
        ...positionAt(lines, err.pos[0]),
        path: '',
        message: err.message.split('\n')[0] ?? '',
      })),
    };
  }
  const result = schema.safeParse(doc.toJS());
  if (result.success) return { kind: 'valid', value: result.data };
  const errors = result.error.issues.flatMap(errorsOfIssue).map((issue) => ({
    ...positionIn(doc, lines, issue.path, issue.atKey),
    path: issue.at.map(String).join('.'),
    message: issue.message,
  }));
  return { kind: 'invalid', errors };
}
