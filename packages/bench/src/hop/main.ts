/** `npm run bench:hop`: what one entry process adds to a call, and what it can relay. */
import { mkdir, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { Command } from 'commander';
import { machineLoad } from '../measure/process-usage.js';
import { short } from '../slopes/report.js';
import { DataPath } from './data-path.js';

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
const path = await DataPath.start('hop');
try {
  const memory = await path.memorySeries([0, 250, 500, 1000], 8000);
  const hop = await path.hop(RATE_PER_S, forMs * 2);
  const requests = await path.requestSeries([50, 100, 200, 400], forMs);
  const tokens = await path.tokenSeries([50, 100, 200, 300], EVENT_INTERVAL_MS, forMs);
  const burst = await path.burst(16, forMs);
  const residentMb = memory.points[memory.points.length - 1]?.y ?? 0;
  const result = { machine: machineLoad(), goals: Goals, hop, requests, tokens, burst, memory };
  const verdict = (met: boolean): string => (met ? 'met' : '**BROKEN**');
  const { slope, intercept, residual, bend } = requests.fit;
  const cost = (s: number): string => `${short(s * 1e6)} us`;
  const lines = [
    '| figure | measured | goal | |',
    '|---|---|---|---|',
    `| added p50 at ${hop.perS} requests/s | ${short(hop.addedP50Ms)} ms | - | |`,
    `| added p99 at ${hop.perS} requests/s | ${short(hop.addedP99Ms)} ms | ${Goals.addedP99Ms} ms | ${verdict(hop.addedP99Ms < Goals.addedP99Ms)} |`,
    `| direct p50, p99 | ${short(hop.directP50Ms)}, ${short(hop.directP99Ms)} ms | - | |`,
    `| events on one core, single events | ${short(tokens.perCore)}/s | ${Goals.eventsPerS}/s | ${verdict(tokens.perCore >= Goals.eventsPerS)} |`,
    `| events on one core, unpaced | ${short(burst.perCpuS)}/s | ${Goals.eventsPerS}/s | ${verdict(burst.perCpuS >= Goals.eventsPerS)} |`,
    `| memory with 1,000 open streams | ${short(residentMb)} MB | ${Goals.residentMb} MB | ${verdict(residentMb <= Goals.residentMb)} |`,
    `| memory for each open stream | ${short(memory.fit.slope * 1024)} KB | - | residual ${short(memory.fit.residual)} MB, bend ${short(memory.fit.bend)} |`,
    `| CPU for each request of 4 events | ${cost(slope)} | - | intercept ${short(intercept)}, residual ${short(residual)}, bend ${short(bend)} |`,
    `| CPU for each event | ${cost(tokens.fit.slope)} | - | residual ${short(tokens.fit.residual)}, bend ${short(tokens.fit.bend)} |`,
    `| load of the machine, failed calls | ${machineLoad().load1}, ${hop.failed} | - | |`,
  ];
  await mkdir(OUT, { recursive: true });
  await writeFile(`${OUT}hop.json`, `${JSON.stringify(result, null, 2)}\n`);
  await writeFile(`${OUT}hop.md`, `${lines.join('\n')}\n`);
  process.stdout.write(`${lines.join('\n')}\n`);
} finally {
  await path.stop();
}
