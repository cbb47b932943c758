/** Faults in the operators' text and their positions. */
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
 * without, so it is done only for parts that have a fault.
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

function makeLocator(text: string): (fault: PathFault) => Position {
  try {
    const lines = new LineCounter();
    const doc = parseDocument(text, { lineCounter: lines, uniqueKeys: false, logLevel: 'silent' });
    return ({ path, atKey }) => {
      const { line, col } = lines.linePos(offsetAt(doc.contents, path, atKey === true));
      return { line: Math.max(line, 1), column: Math.max(col, 1) };
    };
  } catch {
    // Nesting deeper than the parser's stack.
    return () => START;
  }
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
