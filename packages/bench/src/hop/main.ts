/** `npm run bench:hop`: measures the latency that one entry process adds, and its throughput. */
import { mkdir, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { Command } from 'commander';
import { machineLoad } from '../measure/process-usage.js';
import { formatFigure } from '../slopes/report.js';
import { EntryBenchmark } from './entry-benchmark.js';

const options = new Command('bench:hop')
  .option('--seconds <s>', 'length of each measurement', Number, 10)
  .parse()
  .opts<{ seconds: number }>();

const OUT = fileURLToPath(new URL('../../../../out/', import.meta.url));
const RATE_PER_S = 200;
const EVENT_INTERVAL_MS = 20;

/** Performance goals for one entry process. */
const Goals = { addedP99Ms: 3, eventsPerS: 20_000, residentMb: 128 } as const;

const forMs = options.seconds * 1000;
const benchmark = await EntryBenchmark.start('hop');
try {
  const memory = await benchmark.measureMemory([0, 250, 500, 1000], 8000);
  const latency = await benchmark.measureLatency(RATE_PER_S, forMs * 2);
  const requests = await benchmark.measureRequestCpu([50, 100, 200, 400], forMs);
  const events = await benchmark.measureEventCpu([50, 100, 200, 300], EVENT_INTERVAL_MS, forMs);
  const throughput = await benchmark.measureThroughput(16, forMs);
  const residentMb = memory.points[memory.points.length - 1]?.y ?? 0;
  const result = {
    machine: machineLoad(),
    goals: Goals,
    hop: latency,
    requests,
    tokens: events,
    burst: throughput,
    memory,
  };
  const goalStatus = (met: boolean): string => (met ? 'met' : '**BROKEN**');
  const { slope, intercept, residual, bend } = requests.fit;
  const formatCpuTime = (s: number): string => `${formatFigure(s * 1e6)} us`;
  const lines = [
    '| figure | measured | goal | |',
    '|---|---|---|---|',
    `| added p50 at ${latency.perS} requests/s | ${formatFigure(latency.addedP50Ms)} ms | - | |`,
    `| added p99 at ${latency.perS} requests/s | ${formatFigure(latency.addedP99Ms)} ms | ${Goals.addedP99Ms} ms | ${goalStatus(latency.addedP99Ms < Goals.addedP99Ms)} |`,
    `| direct p50, p99 | ${formatFigure(latency.directP50Ms)}, ${formatFigure(latency.directP99Ms)} ms | - | |`,
    `| events on one core, single events | ${formatFigure(events.perCore)}/s | ${Goals.eventsPerS}/s | ${goalStatus(events.perCore >= Goals.eventsPerS)} |`,
    `| events on one core, unpaced | ${formatFigure(throughput.perCpuS)}/s | ${Goals.eventsPerS}/s | ${goalStatus(throughput.perCpuS >= Goals.eventsPerS)} |`,
    `| memory with 1,000 open streams | ${formatFigure(residentMb)} MB | ${Goals.residentMb} MB | ${goalStatus(residentMb <= Goals.residentMb)} |`,
    `| memory for each open stream | ${formatFigure(memory.fit.slope * 1024)} KB | - | residual ${formatFigure(memory.fit.residual)} MB, bend ${formatFigure(memory.fit.bend)} |`,
    `| CPU for each request of 4 events | ${formatCpuTime(slope)} | - | intercept ${formatFigure(intercept)}, residual ${formatFigure(residual)}, bend ${formatFigure(bend)} |`,
    `| CPU for each event | ${formatCpuTime(events.fit.slope)} | - | residual ${formatFigure(events.fit.residual)}, bend ${formatFigure(events.fit.bend)} |`,
    `| load of the machine, failed calls | ${machineLoad().load1}, ${latency.failed} | - | |`,
  ];
  await mkdir(OUT, { recursive: true });
  await writeFile(`${OUT}hop.json`, `${JSON.stringify(result, null, 2)}\n`);
  await writeFile(`${OUT}hop.md`, `${lines.join('\n')}\n`);
  process.stdout.write(`${lines.join('\n')}\n`);
} finally {
  await benchmark.stop();
}
