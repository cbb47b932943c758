/** Checks the configuration text against the schema of its parts. */
import { LineCounter, parseDocument } from 'yaml';
import {
  customersPartSchema,
  mainPartSchema,
  type CustomerConfig,
  type MainPart,
} from '@marjoramcart/core';

export interface TextFault {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly message: string;
  readonly hint: string;
}

export type CheckResult =
  | {
      readonly kind: 'accepted';
      readonly main: MainPart;
      readonly customers: readonly CustomerConfig[];
    }
  | { readonly kind: 'rejected'; readonly faults: readonly TextFault[] };

const MAIN_FILE = 'config/main';

/**
 * Parses the parts of the text.
 *
 * @example checkText([{ file: 'config/main', text: 'format: 1' }]).kind // 'rejected'
 */
export function checkText(parts: readonly { file: string; text: string }[]): CheckResult {
  const parsed = parts.map(({ file, text }) => parsePart(file, text));
  const faults = parsed.flatMap((part) => part.faults);
  const main = parsed.find((part) => part.main)?.main;
  if (!main && faults.length === 0) faults.push(fault(MAIN_FILE, 1, 1, 'the value is missing'));
  return main && faults.length === 0
    ? { kind: 'accepted', main, customers: parsed.flatMap((part) => part.customers) }
    : { kind: 'rejected', faults };
}

interface ParsedPart {
  readonly faults: TextFault[];
  readonly main?: MainPart;
  readonly customers: readonly CustomerConfig[];
}

function parsePart(file: string, text: string): ParsedPart {
  const lines = new LineCounter();
  const doc = parseDocument(text, { lineCounter: lines });
  const at = (offset: number, message: string): TextFault => {
    const { line, col } = lines.linePos(offset);
    return fault(file, Math.max(line, 1), Math.max(col, 1), message);
  };
  if (doc.errors.length > 0) {
    return { faults: doc.errors.map((err) => at(err.pos[0], err.message)), customers: [] };
  }
  const schema = file === MAIN_FILE ? mainPartSchema : customersPartSchema;
  const result = schema.safeParse(doc.toJS());
  if (!result.success) {
    const faults = result.error.issues.map(({ path, message }) => {
      const node = doc.getIn(path, true) as { range?: [number, number, number] } | undefined;
      return at(node?.range?.[0] ?? 0, `${path.join('.')}: ${message}`);
    });
    return { faults, customers: [] };
  }
  const main = file === MAIN_FILE ? (result.data as MainPart) : undefined;
  return { faults: [], main, customers: result.data.customers };
}

function fault(file: string, line: number, column: number, message: string): TextFault {
  return { file, line, column, message, hint: '' };
}
