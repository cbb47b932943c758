/** Formats plain-text tables without colours, and durations. */

/**
 * Returns the lines of a table whose columns are as wide as their widest cell.
 *
 * @example formatTable([['a', 'b'], ['1', '2']]) // ['a  b', '1  2']
 */
export function formatTable(rows: readonly (readonly string[])[]): string[] {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  return rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}

/**
 * Formats a duration, rounded, in ms, seconds below 2 minutes, minutes below 2 hours, or hours.
 *
 * @example formatDuration(90_000) // '90s'
 */
export function formatDuration(ms: number): string {
  if (ms < 1000) return `${Math.round(ms)}ms`;
  const seconds = Math.round(ms / 1000);
  if (seconds < 120) return `${seconds}s`;
  const minutes = Math.round(seconds / 60);
  return minutes < 120 ? `${minutes}m` : `${Math.round(minutes / 60)}h`;
}
