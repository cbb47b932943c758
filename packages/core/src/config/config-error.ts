/** Validation errors in the operators' configuration, with line and column. */
import { CORE_SCHEMA, load } from 'js-yaml';
import { LineCounter, parseDocument } from 'yaml';
import { positionIn, type Position } from './yaml-position.js';

/** Maximum number of errors that are reported for a configuration; further ones are dropped. */
export const MAX_CONFIG_ERRORS = 50;

/** One part of the configuration: its key in the configuration service or file name, and content. */
export interface ConfigPart {
  readonly file: string;
  readonly text: string;
}

/** A validation error with its position; `line` and `column` count from 1. */
export interface ConfigError {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly message: string;
  readonly hint: string;
}

/** A validation error at a path of keys and indexes in the parsed part. */
export interface ConfigIssue {
  readonly part: ConfigPart;
  readonly path: readonly PropertyKey[];
  readonly message: string;
  readonly hint: string;
  /** Reports the position of the last key of the path, not of its value. */
  readonly atKey?: boolean;
}

/**
 * Finds the line and column of each issue. Parsing with positions takes ten times as long as parsing
 * without, so it is done only for what has an error: the main part or single customers.
 *
 * @example locateIssues([]) // []
 */
export function locateIssues(issues: readonly ConfigIssue[]): ConfigError[] {
  const locators = new Map<ConfigPart, (issue: ConfigIssue) => Position>();
  return issues.map((issue) => {
    const locate = locators.get(issue.part) ?? makeLocator(issue.part.text);
    locators.set(issue.part, locate);
    const { message, hint } = issue;
    return { file: issue.part.file, ...locate(issue), message, hint };
  });
}

const START: Position = { line: 1, column: 1 };

/** An excerpt of a part: its text and the position where it starts, counted from 0. */
interface Excerpt {
  readonly line: number;
  readonly column: number;
  readonly text: string;
}

function makeLocator(text: string): (issue: ConfigIssue) => Position {
  const cache: { customers?: readonly (Excerpt | undefined)[]; whole?: Locate } = {};
  return ({ path, atKey = false }) => {
    try {
      const [field, index, ...rest] = path;
      if (field === 'customers' && index !== undefined) {
        // Only the customer itself is parsed with positions, as a part may have thousands of them.
        cache.customers ??= customerExcerpts(text);
        const excerpt = cache.customers[Number(index)];
        if (excerpt) return locatorOf(excerpt)(rest, atKey);
      }
      cache.whole ??= locatorOf({ line: 0, column: 0, text });
      return cache.whole(path, atKey);
    } catch {
      // The nesting is deeper than the parser's stack.
      return START;
    }
  };
}

type Locate = (path: readonly PropertyKey[], atKey: boolean) => Position;

function locatorOf(excerpt: Excerpt): Locate {
  const lines = new LineCounter();
  // Spaces keep the column of the first line, which YAML needs to interpret the indentation.
  const doc = parseDocument(' '.repeat(excerpt.column) + excerpt.text, {
    lineCounter: lines,
    uniqueKeys: false,
    logLevel: 'silent',
  });
  return (path, atKey) => {
    const { line, column } = positionIn(doc, lines, path, atKey);
    return { line: excerpt.line + line, column };
  };
}

/** Returns the excerpt of each item of `customers` that is a map or list. */
function customerExcerpts(text: string): (Excerpt | undefined)[] {
  const starts: { offset: number; line: number; column: number }[] = [];
  const excerpts = new Map<unknown, Excerpt>();
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
        // `state.input` is the text without a byte order mark, so the offsets match.
        const excerpt = state.input.slice(start.offset, position);
        excerpts.set(result, { line: start.line, column: start.column, text: excerpt });
      }
    },
  });
  const list = (data as { customers?: unknown }).customers;
  return Array.isArray(list) ? list.map((item) => excerpts.get(item)) : [];
}
