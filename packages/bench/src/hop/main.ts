/** `npm run bench:hop`: what one entry process adds to a call, and what it can relay. */
import { mkdir, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { Command } from 'commander';
import { machineLoad } from '../measure/process-usage.js';
import { formatFigure } from '../slopes/report.js';
import { EntryBenchmark } from './data-path.js';

const options = new Command('bench:hop')
  .option('--seconds <s>', 'length of each measurement', Number, 10)
  .parse()
  .opts<{ seconds: number }>();

const OUT = fileURLToPath(new URL('../../../../out/', import.meta.url));
const RATE_PER_S = 200;
const EVENT_INTERVAL_MS = 20;

/** Goals of one entry process. */
const Goals = { addedP99Ms: 3, eventsPerS: 20_000, residentMb: 128 } as const;

const forMs = options.seconds * 1000;
const path = await EntryBenchmark.start('hop');
try {
  const memory = await path.measureMemory([0, 250, 500, 1000], 8000);
  const hop = await path.measureLatency(RATE_PER_S, forMs * 2);
  const requests = await path.measureRequestCpu([50, 100, 200, 400], forMs);
  const tokens = await path.measureEventCpu([50, 100, 200, 300], EVENT_INTERVAL_MS, forMs);
  const burst = await path.measureThroughput(16, forMs);
  const residentMb = memory.points[memory.points.length - 1]?.y ?? 0;
  const result = { machine: machineLoad(), goals: Goals, hop, requests, tokens, burst, memory };
  const verdict = (met: boolean): string => (met ? 'met' : '**BROKEN**');
  const { slope, intercept, residual, bend } = requests.fit;
  const cost = (s: number): string => `${formatFigure(s * 1e6)} us`;
  const lines = [
    '| figure | measured | goal | |',
    '|---|---|---|---|',
    `| added p50 at ${hop.perS} requests/s | ${formatFigure(hop.addedP50Ms)} ms | - | |`,
    `| added p99 at ${hop.perS} requests/s | ${formatFigure(hop.addedP99Ms)} ms | ${Goals.addedP99Ms} ms | ${verdict(hop.addedP99Ms < Goals.addedP99Ms)} |`,
    `| direct p50, p99 | ${formatFigure(hop.directP50Ms)}, ${formatFigure(hop.directP99Ms)} ms | - | |`,
    `| events on one core, single events | ${formatFigure(tokens.perCore)}/s | ${Goals.eventsPerS}/s | ${verdict(tokens.perCore >= Goals.eventsPerS)} |`,
    `| events on one core, unpaced | ${formatFigure(burst.perCpuS)}/s | ${Goals.eventsPerS}/s | ${verdict(burst.perCpuS >= Goals.eventsPerS)} |`,
    `| memory with 1,000 open streams | ${formatFigure(residentMb)} MB | ${Goals.residentMb} MB | ${verdict(residentMb <= Goals.residentMb)} |`,
    `| memory for each open stream | ${formatFigure(memory.fit.slope * 1024)} KB | - | residual ${formatFigure(memory.fit.residual)} MB, bend ${formatFigure(memory.fit.bend)} |`,
    `| CPU for each request of 4 events | ${cost(slope)} | - | intercept ${formatFigure(intercept)}, residual ${formatFigure(residual)}, bend ${formatFigure(bend)} |`,
    `| CPU for each event | ${cost(tokens.fit.slope)} | - | residual ${formatFigure(tokens.fit.residual)}, bend ${formatFigure(tokens.fit.bend)} |`,
    `| load of the machine, failed calls | ${machineLoad().load1}, ${hop.failed} | - | |`,
  ];
  await mkdir(OUT, { recursive: true });
  await writeFile(`${OUT}hop.json`, `${JSON.stringify(result, null, 2)}\n`);
  await writeFile(`${OUT}hop.md`, `${lines.join('\n')}\n`);
  process.stdout.write(`${lines.join('\n')}\n`);
} finally {
  await path.stop();
}
