/** Faults in the operators' text and their positions. */
import { CORE_SCHEMA, load } from 'js-yaml';
import { LineCounter, parseDocument } from 'yaml';
import { positionIn, type Position } from './yaml-position.js';

/** Faults that are reported for one text; further ones are dropped. */
export const MAX_CONFIG_ERRORS = 50;

/** One part of the text: a platform key or file name and its content. */
export interface ConfigPart {
  readonly file: string;
  readonly text: string;
}

/** A fault in the text; `line` and `column` count from 1. */
export interface ConfigError {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly message: string;
  readonly hint: string;
}

/** A fault at a path of keys and indexes in the parsed part. */
export interface ConfigIssue {
  readonly part: ConfigPart;
  readonly path: readonly PropertyKey[];
  readonly message: string;
  readonly hint: string;
  /** Points at the last key of the path, not at its value. */
  readonly atKey?: boolean;
}

/**
 * Gives each fault its line and column. Parsing with positions takes ten times as long as parsing
 * without, so it is done only for what has a fault: the main part or single customers.
 *
 * @example locateFaults([]) // []
 */
export function locateIssues(faults: readonly ConfigIssue[]): ConfigError[] {
  const locators = new Map<ConfigPart, (fault: ConfigIssue) => Position>();
  return faults.map((fault) => {
    const locate = locators.get(fault.part) ?? makeLocator(fault.part.text);
    locators.set(fault.part, locate);
    const { message, hint } = fault;
    return { file: fault.part.file, ...locate(fault), message, hint };
  });
}

const START: Position = { line: 1, column: 1 };

/** A piece of a part: where it starts, counted from 0, and its text. */
interface Excerpt {
  readonly line: number;
  readonly column: number;
  readonly text: string;
}

function makeLocator(text: string): (fault: ConfigIssue) => Position {
  const cache: { pieces?: readonly (Excerpt | undefined)[]; whole?: Locate } = {};
  return ({ path, atKey = false }) => {
    try {
      const [field, index, ...rest] = path;
      if (field === 'customers' && index !== undefined) {
        // A part with thousands of customers is not parsed with positions as a whole.
        cache.pieces ??= customerPieces(text);
        const piece = cache.pieces[Number(index)];
        if (piece) return locatorOf(piece)(rest, atKey);
      }
      cache.whole ??= locatorOf({ line: 0, column: 0, text });
      return cache.whole(path, atKey);
    } catch {
      // Nesting deeper than the parser's stack.
      return START;
    }
  };
}

type Locate = (path: readonly PropertyKey[], atKey: boolean) => Position;

function locatorOf(piece: Excerpt): Locate {
  const lines = new LineCounter();
  // Spaces keep the columns of the piece's first line, on which the indentation of YAML depends.
  const doc = parseDocument(' '.repeat(piece.column) + piece.text, {
    lineCounter: lines,
    uniqueKeys: false,
    logLevel: 'silent',
  });
  return (path, atKey) => {
    const { line, column } = positionIn(doc, lines, path, atKey);
    return { line: piece.line + line, column };
  };
}

/** The text of each item of `customers` that is a map or list. */
function customerPieces(text: string): (Excerpt | undefined)[] {
  const starts: { offset: number; line: number; column: number }[] = [];
  const pieces = new Map<unknown, Excerpt>();
  const data = load(text, {
    schema: CORE_SCHEMA,
    listener: (event, state) => {
      const { position, line, lineStart } = state;
      const result: unknown = state.result;
      if (event === 'open') {
        starts.push({ offset: position, line, column: position - lineStart });
        return;
      }
      const start = starts.pop();
      if (start && typeof result === 'object' && result !== null) {
        // The input is the text without a byte order mark.
        const piece = state.input.slice(start.offset, position);
        pieces.set(result, { line: start.line, column: start.column, text: piece });
      }
    },
  });
  const list = (data as { customers?: unknown }).customers;
  return Array.isArray(list) ? list.map((item) => pieces.get(item)) : [];
}
