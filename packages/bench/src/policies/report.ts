/** Aggregates the figures of the policy benchmark and formats the table and the plot. */
import type { Figures } from './call-record.js';

/** Figures of one policy combination under one scenario, over all seeds. */
export interface Row {
  readonly user: string;
  readonly scenario: string;
  readonly system: string;
  readonly isBaseline: boolean;
  readonly figures: Readonly<Record<keyof Figures, Spread>>;
}

export interface Spread {
  readonly median: number;
  readonly min: number;
  readonly max: number;
}

const columns: readonly (readonly [keyof Figures, string, number])[] = [
  ['firstP50', 'first p50', 0],
  ['firstP95', 'p95', 0],
  ['firstP99', 'p99', 0],
  ['stepP50', 'step p50', 0],
  ['stepP95', 'p95', 0],
  ['stepP99', 'p99', 0],
  ['withinTarget', 'within', 3],
  ['goodputPerS', 'goodput', 1],
  ['awayShare', 'away', 3],
  ['acceleratorSPerAnswer', 'accel s', 3],
  ['linkBytesPerAnswer', 'link B', 0],
  ['hitRate', 'hits', 2],
  ['attemptsPerRequest', 'attempts', 3],
  ['jain', 'jain', 3],
  ['worstCustomerP99', 'worst p99', 0],
  ['refusedShare', 'refused', 3],
  ['failedShare', 'failed', 4],
  ['faultFirstP99', 'fault p99', 0],
  ['faultAttempts', 'attempts', 3],
];

/**
 * Median, minimum and maximum.
 *
 * @example spreadOf([1, 2, 9]) // { median: 2, min: 1, max: 9 }
 */
export function spreadOf(values: readonly number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  return { median: (lower + upper) / 2, min: sorted[0] ?? 0, max: sorted.at(-1) ?? 0 };
}

/** Aggregates the figures of one policy combination over its seeds. */
export function joinFigures(list: readonly Figures[]): Row['figures'] {
  const keys = Object.keys(list[0] ?? {}) as (keyof Figures)[];
  return Object.fromEntries(
    keys.map((key) => [key, spreadOf(list.map((figures) => figures[key]))]),
  ) as Row['figures'];
}

/** Text table of medians, with one section per user and scenario. */
export function formatTable(rows: readonly Row[]): string {
  const sections = [...new Set(rows.map(({ user, scenario }) => `${user} ${scenario}`))];
  const cell = (text: string, index: number): string => text.padStart(index < 2 ? 10 : 9);
  const header = columns.map(([, title], index) => cell(title, index)).join('');
  return sections
    .map((section) => {
      const lines = rows
        .filter(({ user, scenario }) => `${user} ${scenario}` === section)
        .map(({ system, figures }) => {
          const cells = columns.map(([key, , digits], index) =>
            cell(figures[key].median.toFixed(digits), index),
          );
          return `${system.padEnd(28)}${cells.join('')}`;
        });
      return [`${section.padEnd(28)}${header}`, ...lines].join('\n');
    })
    .join('\n\n');
}

const PLOT = { width: 900, rowHeight: 16, labelWidth: 330, maxMs: 10_000 } as const;

/** SVG bar chart of the first-token p99 with its range over the seeds, on a logarithmic scale. */
export function plotFirstTokenP99(rows: readonly Row[]): string {
  const x = (ms: number): number => {
    const share = Math.log10(Math.min(Math.max(ms, 10), PLOT.maxMs) / 10) / 3;
    return PLOT.labelWidth + share * (PLOT.width - PLOT.labelWidth - 80);
  };
  const bars = rows.map(({ user, scenario, system, isBaseline, figures }, index) => {
    const y = 30 + index * PLOT.rowHeight;
    const { median, min, max } = figures.firstP99;
    const fill = isBaseline ? '#999' : '#36c';
    const middle = y + 6;
    return [
      `<text x="4" y="${y + 10}">${user} ${scenario}: ${system}</text>`,
      `<rect x="${PLOT.labelWidth}" y="${y}" width="${(x(median) - PLOT.labelWidth).toFixed(1)}" height="12" fill="${fill}"/>`,
      `<line x1="${x(min).toFixed(1)}" x2="${x(max).toFixed(1)}" y1="${middle}" y2="${middle}" stroke="#000"/>`,
      `<text x="${(x(max) + 6).toFixed(1)}" y="${y + 10}">${median.toFixed(0)} ms</text>`,
    ].join('\n');
  });
  const height = 40 + rows.length * PLOT.rowHeight;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${PLOT.width}" height="${height}" font-family="sans-serif" font-size="11">`,
    '<text x="4" y="16">First token, p99 in ms (10 to 10,000, logarithmic)</text>',
    ...bars,
    '</svg>',
    '',
  ].join('\n');
}
