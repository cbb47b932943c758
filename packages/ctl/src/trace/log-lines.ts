/** Reads log lines of daemons: JSON, with or without text before it. */

/** A line with the fields that all lines have; the others are kept as they are. */
export interface LogLine {
  /** Unix ms. */
  readonly at: number;
  readonly process: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Reads one line.
 *
 * @returns undefined when the line is no log line of a daemon
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
    // Other programs may write to the same file.
    return undefined;
  }
}

function withLevel(fields: Record<string, unknown>, level: unknown): Record<string, unknown> {
  return level === 'info' || level === undefined ? fields : { level, ...fields };
}
