/** Fits and tables of the slopes bench. */
import { fitLine, type LineFit } from '../measure/line-fit.js';
import type { SteadyFigures } from './steady-run.js';

/** Figures that lines are fitted to. */
export const fittedFigures = [
  'bytesPerS',
  'cpuShare',
  'residentMb',
  'peakMb',
  'syncBytesPerS',
  'entryCpuShare',
  'entryResidentMb',
  'callsPerS',
  'pendingWatches',
  'changeMs',
] as const;

export type FittedFigure = (typeof fittedFigures)[number];

export interface SeriesResult {
  readonly name: string;
  readonly unit: string;
  readonly runs: readonly { readonly x: number; readonly figures: SteadyFigures }[];
  readonly fits: Readonly<Record<FittedFigure, LineFit>>;
}

/** Fits a line to each figure of a series. */
export function fitSeries({ name, unit, runs }: Omit<SeriesResult, 'fits'>): SeriesResult {
  const fits = Object.fromEntries(
    fittedFigures.map((figure) => [
      figure,
      fitLine(runs.map(({ x, figures }) => ({ x, y: figures[figure] }))),
    ]),
  ) as Record<FittedFigure, LineFit>;
  return { name, unit, runs, fits };
}

/** One line for each run and one for each fit, in Markdown. */
export function formatSeries({ name, unit, runs, fits }: SeriesResult): string {
  const head = `| ${name} | ${fittedFigures.join(' | ')} | load |`;
  const rule = `|${'---|'.repeat(fittedFigures.length + 2)}`;
  const rows = runs.map(({ x, figures }) => {
    const cells = fittedFigures.map((figure) => formatFigure(figures[figure]));
    return `| ${x} | ${cells.join(' | ')} | ${figures.load1} |`;
  });
  const line = (label: string, pick: (fit: LineFit) => number): string =>
    `| ${label} | ${fittedFigures.map((figure) => formatFigure(pick(fits[figure]))).join(' | ')} | |`;
  const lines = [
    line('intercept', ({ intercept }) => intercept),
    line('slope', ({ slope }) => slope),
    line('residual', ({ residual }) => residual),
    line('bend', ({ bend }) => bend),
  ];
  return [`Per ${unit}:`, '', head, rule, ...rows, ...lines].join('\n');
}

/** Three significant digits. */
export function formatFigure(value: number): string {
  return String(Number(value.toPrecision(3)));
}
