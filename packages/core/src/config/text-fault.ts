/** Faults in the operators' text and their positions. */
import { CORE_SCHEMA, load } from 'js-yaml';
import { isMap, isSeq, LineCounter, parseDocument, type Node, type Pair } from 'yaml';

/** Faults that are reported for one text; further ones are dropped. */
export const MAX_FAULTS = 50;

/** One part of the text: a platform key or file name and its content. */
export interface TextPart {
  readonly file: string;
  readonly text: string;
}

/** A fault in the text; `line` and `column` count from 1. */
export interface TextFault {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly message: string;
  readonly hint: string;
}

/** A fault at a path of keys and indexes in the parsed part. */
export interface PathFault {
  readonly part: TextPart;
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
export function locateFaults(faults: readonly PathFault[]): TextFault[] {
  const locators = new Map<TextPart, (fault: PathFault) => Position>();
  return faults.map((fault) => {
    const locate = locators.get(fault.part) ?? makeLocator(fault.part.text);
    locators.set(fault.part, locate);
    const { message, hint } = fault;
    return { file: fault.part.file, ...locate(fault), message, hint };
  });
}

interface Position {
  readonly line: number;
  readonly column: number;
}

const START: Position = { line: 1, column: 1 };

/** A piece of a part: where it starts, counted from 0, and its text. */
interface Piece {
  readonly line: number;
  readonly column: number;
  readonly text: string;
}

function makeLocator(text: string): (fault: PathFault) => Position {
  const cache: { pieces?: readonly (Piece | undefined)[]; whole?: Locate } = {};
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

function locatorOf(piece: Piece): Locate {
  const lines = new LineCounter();
  // Spaces keep the columns of the piece's first line, on which the indentation of YAML depends.
  const doc = parseDocument(' '.repeat(piece.column) + piece.text, {
    lineCounter: lines,
    uniqueKeys: false,
    logLevel: 'silent',
  });
  return (path, atKey) => {
    const { line, col } = lines.linePos(offsetAt(doc.contents, path, atKey));
    return { line: piece.line + Math.max(line, 1), column: Math.max(col, 1) };
  };
}

/** The text of each item of `customers` that is a map or list. */
function customerPieces(text: string): (Piece | undefined)[] {
  const starts: { offset: number; line: number; column: number }[] = [];
  const pieces = new Map<unknown, Piece>();
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

/** Offset of the node at the path, or of its nearest parent that exists. */
function offsetAt(root: Node | null, path: readonly PropertyKey[], atKey: boolean): number {
  const start = { node: root as unknown, offset: root?.range?.[0] ?? 0 };
  return path.reduce<{ node: unknown; offset: number }>((at, segment, index) => {
    if (isSeq(at.node)) {
      const item = at.node.items[Number(segment)];
      return { node: item, offset: rangeStart(item) ?? at.offset };
    }
    if (!isMap(at.node)) return { node: undefined, offset: at.offset };
    const pair = at.node.items.find(({ key }: Pair) => String(key) === String(segment));
    const key = rangeStart(pair?.key) ?? at.offset;
    const wantsKey = atKey && index === path.length - 1;
    return {
      node: pair?.value,
      offset: wantsKey ? key : (rangeStart(pair?.value) ?? key),
    };
  }, start).offset;
}

function rangeStart(node: unknown): number | undefined {
  return (node as Node | null | undefined)?.range?.[0];
}
