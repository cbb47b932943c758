/** Parses JSON log lines of daemons; other text may precede the JSON on a line. */

/** A log line. `fields` has all fields that are not common to every line. */
export interface LogLine {
  /** Unix ms. */
  readonly at: number;
  readonly process: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses one line.
 *
 * @returns undefined when the line is not a log line of a daemon
 * @example readLogLine('{"time":"2026-01-01T00:00:00.000Z","name":"vm-1","message":"ready"}')
 */
export function readLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const { time, level, name, message, ...fields } = JSON.parse(text.slice(start)) as Record<
      string,
      unknown
    >;
    const at = Date.parse(String(time));
    if (Number.isNaN(at) || typeof message !== 'string') return undefined;
    return { at, process: String(name), message, fields: withLevel(fields, level) };
  } catch {
    // Other programs may write to the same file, so other lines are skipped.
    return undefined;
  }
}

function withLevel(fields: Record<string, unknown>, level: unknown): Record<string, unknown> {
  return level === 'info' || level === undefined ? fields : { level, ...fields };
}
