/** Plain-text tables, without colours. */

/**
 * Lines of a table whose columns are as wide as their widest cell.
 *
 * @example tableLines([['a', 'b'], ['1', '2']]) // ['a  b', '1  2']
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
 * A duration in the largest unit that keeps it readable.
 *
 * @example showDuration(90_000) // '90s'
 */
export function formatDuration(ms: number): string {
  if (ms < 1000) return `${Math.round(ms)}ms`;
  const seconds = Math.round(ms / 1000);
  if (seconds < 120) return `${seconds}s`;
  const minutes = Math.round(seconds / 60);
  return minutes < 120 ? `${minutes}m` : `${Math.round(minutes / 60)}h`;
}
