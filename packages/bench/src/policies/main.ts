/** `npm run bench -- --seed N`: compares policy combinations by simulation and checks the goals. */
import { mkdir, writeFile } from 'node:fs/promises';
import { Worker } from 'node:worker_threads';
import { Command } from 'commander';
import { checkGoals } from './goals.js';
import { formatTable, joinFigures, plotFirstTokenP99, type Row } from './report.js';
import { policyCombinations } from './policy-combinations.js';
import type { RunRequest, RunResult } from './worker.js';
import { scenarios, users } from './workloads.js';

interface Options {
  readonly seed: string;
  readonly seeds: string;
  readonly workers: string;
  readonly user: string;
  readonly scenario: string;
  readonly system: string;
  readonly out: string;
}

const PLOTTED_SCENARIO = 'load-95';

const program = new Command('bench')
  .option('--seed <number>', 'first seed', '1')
  .option('--seeds <number>', 'number of seeds', '10')
  .option('--workers <number>', 'worker threads', '4')
  .option('--user <text>', 'run only users whose name contains the text', '')
  .option('--scenario <names>', 'run only these scenarios, separated by commas', '')
  .option('--system <text>', 'run only policy combinations whose name contains the text', '')
  .option('--out <folder>', 'output folder for the JSON and the plot', 'out');

function planRuns(options: Options): RunRequest[] {
  const names = options.scenario === '' ? [] : options.scenario.split(',');
  const seeds = Array.from(
    { length: Number(options.seeds) },
    (_, index) => Number(options.seed) + index,
  );
  return users
    .filter(({ name }) => name.includes(options.user))
    .flatMap((user) =>
      scenarios
        .filter(({ name }) => names.length === 0 || names.includes(name))
        .flatMap((scenario) =>
          policyCombinations
            .filter(({ name }) => name.includes(options.system))
            .flatMap((system) =>
              seeds.map((seed) => ({
                user: user.name,
                scenario: scenario.name,
                system: system.name,
                seed,
              })),
            ),
        ),
    );
}

/** Runs the simulations on worker threads; results are in order of completion. */
async function runAll(requests: readonly RunRequest[], workerCount: number): Promise<RunResult[]> {
  const results: RunResult[] = [];
  const waiting = [...requests];
  const runWorker = async (): Promise<void> =>
    new Promise((resolve, reject) => {
      const worker = new Worker(new URL('./worker.js', import.meta.url));
      const sendNext = (): void => {
        const next = waiting.shift();
        if (next) worker.postMessage(next);
        else worker.terminate().then(() => resolve(), reject);
      };
      worker.on('error', reject);
      worker.on('message', (result: RunResult) => {
        results.push(result);
        sendNext();
      });
      sendNext();
    });
  await Promise.all(Array.from({ length: workerCount }, runWorker));
  return results;
}

function toRows(requests: readonly RunRequest[], results: readonly RunResult[]): Row[] {
  const keyOf = ({ user, scenario, system }: RunRequest): string =>
    `${user}\n${scenario}\n${system}`;
  const byKey = new Map<string, RunResult[]>();
  results.forEach((result) =>
    byKey.set(keyOf(result), [...(byKey.get(keyOf(result)) ?? []), result]),
  );
  return [...new Set(requests.map(keyOf))].map((key) => {
    const [user = '', scenario = '', system = ''] = key.split('\n');
    const figures = (byKey.get(key) ?? []).map((result) => result.figures);
    const isBaseline = policyCombinations.find(({ name }) => name === system)?.isBaseline ?? false;
    return { user, scenario, system, isBaseline, figures: joinFigures(figures) };
  });
}

const options = program.parse().opts<Options>();
const requests = planRuns(options);
const rows = toRows(requests, await runAll(requests, Number(options.workers)));
const goals = checkGoals(rows);
await mkdir(options.out, { recursive: true });
const json = { seed: Number(options.seed), seeds: Number(options.seeds), goals, rows };
await writeFile(`${options.out}/policies.json`, `${JSON.stringify(json, null, 2)}\n`);
// The plot shows one scenario to stay readable.
const plotted = rows.filter(({ scenario }) => scenario === PLOTTED_SCENARIO);
const plot = plotFirstTokenP99(plotted.length > 0 ? plotted : rows);
await writeFile(`${options.out}/policies.svg`, plot);
const lines = goals.map(
  ({ goal, met, detail }) => `${met ? 'met   ' : 'MISSED'} ${goal}: ${detail}`,
);
process.stdout.write(`${formatTable(rows)}\n\n${lines.join('\n')}\n`);
