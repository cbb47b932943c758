/** Loads the YAML settings of a process and checks them against a schema. */
import { readFileSync } from 'node:fs';
import { LineCounter, parseDocument, type Document } from 'yaml';
import type { z } from 'zod';

/** A fault in a settings file; `line` and `column` count from 1. */
export interface SettingsFault {
  readonly line: number;
  readonly column: number;
  readonly path: string;
  readonly message: string;
}

export type SettingsResult<Value> =
  | { readonly kind: 'valid'; readonly value: Value }
  | { readonly kind: 'unreadable'; readonly message: string }
  | { readonly kind: 'invalid'; readonly faults: readonly SettingsFault[] };

/**
 * Reads a settings file.
 *
 * @example loadSettings('entry.yaml', entrySettingsSchema).kind // 'valid'
 */
export function loadSettings<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): SettingsResult<z.output<Schema>> {
  try {
    // Settings are read once, before the process serves anything.
    // eslint-disable-next-line n/no-sync
    return parseSettings(readFileSync(file, 'utf8'), schema);
  } catch (err) {
    return { kind: 'unreadable', message: err instanceof Error ? err.message : String(err) };
  }
}

/**
 * Checks the text of a settings file.
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
      faults: doc.errors.map((err) => ({
        ...position(lines, err.pos[0]),
        path: '',
        message: err.message.split('\n')[0] ?? '',
      })),
    };
  }
  const result = schema.safeParse(doc.toJS());
  if (result.success) return { kind: 'valid', value: result.data };
  const faults = result.error.issues.map((issue) => ({
    ...position(lines, offsetOf(doc, issue.path)),
    path: issue.path.join('.'),
    message: issue.message,
  }));
  return { kind: 'invalid', faults };
}

/** Offset of the node at `path`, or of its nearest parent that exists. */
function offsetOf(doc: Document, path: readonly PropertyKey[]): number {
  const node = doc.getIn(path, true) as { range?: [number, number, number] } | undefined;
  if (node?.range) return node.range[0];
  return path.length === 0 ? 0 : offsetOf(doc, path.slice(0, -1));
}

function position(lines: LineCounter, offset: number): { line: number; column: number } {
  const { line, col } = lines.linePos(offset);
  return { line: Math.max(line, 1), column: Math.max(col, 1) };
}
