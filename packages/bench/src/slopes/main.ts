/** `npm run bench:slopes`: what the daemons use against the size of the fleet, with line fits. */
import { mkdir, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { Command } from 'commander';
import type { FleetSize } from '../fleet/bench-fleet.js';
import { machineLoad } from '../measure/process-usage.js';
import { fitSeries, formatSeries, formatFigure, type SeriesResult } from './report.js';
import { measureRecovery } from './recovery.js';
import { allSeries, averageDomain, largestDomain, type Series } from './series.js';
import { measureSteadyState, type RunTimes } from './steady-run.js';

const options = new Command('bench:slopes')
  .option('--quick', 'two series with two sizes each, in under 2 minutes')
  .option('--series <names>', 'only these series, separated by commas')
  .option('--largest', 'measure the largest failure domain of the planned size only')
  .option('--average', 'measure an average failure domain of the planned size only')
  .option('--recovery', 'measure recovery at the planned size only')
  .option('--window <s>', 'length of a measurement', Number, 15)
  .option('--settle <s>', 'time from ready to the measurement', Number, 8)
  .parse()
  .opts<{
    quick?: boolean;
    series?: string;
    largest?: boolean;
    average?: boolean;
    recovery?: boolean;
    window: number;
    settle: number;
  }>();

const QUICK_SERIES = ['peers', 'customers'];
const QUICK_TIMES: RunTimes = { settleMs: 3000, windowMs: 8000 };
const OUT = fileURLToPath(new URL('../../../../out/', import.meta.url));

const times = options.quick
  ? QUICK_TIMES
  : { settleMs: options.settle * 1000, windowMs: options.window * 1000 };

function chosenSeries(): Series[] {
  if (options.largest || options.average || options.recovery) return [];
  const names = options.series?.split(',') ?? (options.quick ? QUICK_SERIES : undefined);
  return allSeries
    .filter(({ name }) => names === undefined || names.includes(name))
    .map((series) => ({
      ...series,
      points: options.quick
        ? [...series.points.slice(0, 1), ...series.points.slice(2, 3)]
        : series.points,
    }));
}

async function runSeries({ name, unit, points }: Series): Promise<SeriesResult> {
  const runs = await points.reduce<Promise<SeriesResult['runs']>>(
    async (before, { x, size, changesPerDay }) => [
      ...(await before),
      { x, figures: await measureSteadyState(`${name}-${x}`, size, changesPerDay, times) },
    ],
    Promise.resolve([]),
  );
  return fitSeries({ name, unit, runs });
}

/** Writes a result as JSON and prints and writes its table. */
async function save(name: string, result: object, table: string): Promise<void> {
  await mkdir(OUT, { recursive: true });
  const json = { at: new Date().toISOString(), machine: machineLoad(), times, ...result };
  await writeFile(`${OUT}slopes-${name}.json`, `${JSON.stringify(json, null, 2)}\n`);
  await writeFile(`${OUT}slopes-${name}.md`, `${table}\n`);
  process.stdout.write(`${table}\n\n`);
}

await chosenSeries().reduce<Promise<unknown>>(
  (before, series) =>
    before.then(async () => {
      const result = await runSeries(series);
      await save(series.name, result, formatSeries(result));
    }),
  Promise.resolve(),
);
const single = options.largest || options.average || options.recovery;
const whole = !options.quick && options.series === undefined && !single;

async function saveDomain(name: string, size: FleetSize): Promise<void> {
  const figures = await measureSteadyState(name, size, 0, times);
  const lines = Object.entries(figures).map(([key, value]) => `${key}: ${JSON.stringify(value)}`);
  await save(name, { figures }, lines.join('\n'));
}

if (options.largest || whole) await saveDomain('largest', largestDomain);
if (options.average || whole) await saveDomain('average', averageDomain);
if (options.recovery || whole) {
  const events = await measureRecovery({ ...largestDomain, entriesPerVm: 1 });
  const rows = events.map(({ event, daemons, ms, bytes, configReads, load1 }) =>
    [event, daemons, formatFigure(ms), formatFigure(bytes), configReads, load1].join(' | '),
  );
  const head = [
    '| event | daemons | ms | bytes of one control | reads | load |',
    '|---|---|---|---|---|---|',
  ];
  await save('recovery', { events }, [...head, ...rows.map((row) => `| ${row} |`)].join('\n'));
}
