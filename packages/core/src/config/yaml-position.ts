/** Finds line and column of nodes in YAML documents. */
import { isMap, isSeq, type Document, type LineCounter, type Node, type Pair } from 'yaml';

/** A position in a text; `line` and `column` count from 1. */
export interface Position {
  readonly line: number;
  readonly column: number;
}

/**
 * Position of the node at a path, or of its nearest ancestor that exists. With `atKey` it is the
 * position of the path's last key instead of its value.
 *
 * @example positionIn(parseDocument(text, { lineCounter: lines }), lines, ['listen', 'admin'])
 */
export function positionIn(
  doc: Pick<Document, 'contents'>,
  lines: LineCounter,
  path: readonly PropertyKey[],
  atKey = false,
): Position {
  return positionAt(lines, offsetAt(doc.contents, path, atKey));
}

/** Position of an offset; the start of the text when the offset is not in it. */
export function positionAt(lines: LineCounter, offset: number): Position {
  const { line, col } = lines.linePos(offset);
  return { line: Math.max(line, 1), column: Math.max(col, 1) };
}

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
    const reportsKey = atKey && index === path.length - 1;
    return {
      node: pair?.value,
      offset: reportsKey ? key : (rangeStart(pair?.value) ?? key),
    };
  }, start).offset;
}

function rangeStart(node: unknown): number | undefined {
  return (node as Node | null | undefined)?.range?.[0];
}
