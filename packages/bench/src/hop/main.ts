/**
 * `npm run hop`: CPU and memory of one entry process that relays streams, and the latency it adds.
 * The engine and the entry are processes of their own; callers run here.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { Agent, get } from 'node:http';
import { loadavg, tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { seededRandom } from '@marjoramcart/core';
import { Command } from 'commander';
import { arrivalTimes } from '../load/arrivals.js';
import { API_KEY, FLEET_SECRET, startControl } from './control.js';
import { readStream, type StreamResult } from './streams.js';

const ENTRY_MAIN = fileURLToPath(new URL('../../../entry/dist/main.js', import.meta.url));
const ENGINE_MAIN = fileURLToPath(new URL('engine-main.js', import.meta.url));
const PORT_RANGE = 10_000;
const FIRST_PORT = 20_000;
const READY_TRIES = 100;
const READY_INTERVAL_MS = 50;
/** Clock ticks a second in /proc; fixed on Linux. */
const TICKS_PER_S = 100;
const RAMP_MS = 2000;
const SETTLE_MS = 1000;
const LAST_EVENTS = 20;
const WARM_UP_SHARE = 0.3;

const options = new Command('hop')
  .option('--streams <number>', 'open streams', '1000')
  .option('--interval <ms>', 'time between the events of a stream', '50')
  .option('--seconds <number>', 'measured time', '10')
  .option('--rate <number>', 'short calls a second for the added latency', '200')
  .option('--profile <folder>', 'writes a CPU profile of the entry')
  .parse()
  .opts<Record<'streams' | 'interval' | 'seconds' | 'rate', string> & { profile?: string }>();

const intervalMs = Number(options.interval);
const measuredMs = Number(options.seconds) * 1000;
const shortCallCount = Number(options.rate) * Number(options.seconds);

/** Processes to end in any case. */
const children: ChildProcess[] = [];

async function startEngine(): Promise<{ process: ChildProcess; address: string }> {
  const child = spawn(process.execPath, [ENGINE_MAIN, options.interval], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const [port] = (await once(child.stdout, 'data')) as [Buffer];
  return { process: child, address: `127.0.0.1:${port.toString().trim()}` };
}

async function startEntry(
  control: string,
  folder: string,
): Promise<{ process: ChildProcess; address: string }> {
  const port = FIRST_PORT + (process.pid % PORT_RANGE);
  const [callers, peers, admin] = [0, 1, 2].map((offset) => `127.0.0.1:${port + offset}`);
  const settings = {
    region: 'north',
    failure_domain: 'north-1',
    vm: 'vm-1',
    fleet_secret: FLEET_SECRET,
    listen: { callers, peers, admin },
    control,
    seed: 1,
    log: { level: 'warn' },
  };
  const file = join(folder, 'entry.yaml');
  await writeFile(file, JSON.stringify(settings));
  const profile =
    options.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${options.profile}`];
  const child = spawn(process.execPath, [...profile, ENTRY_MAIN, '--config', file], {
    stdio: 'inherit',
  });
  children.push(child);
  await waitReady(`http://${admin}/readyz`, READY_TRIES);
  return { process: child, address: callers ?? '' };
}

async function waitReady(url: string, tries: number): Promise<void> {
  const ready = await new Promise<boolean>((resolve) => {
    get(url, (res) => resolve(res.resume().statusCode === 200)).on('error', () => resolve(false));
  });
  if (ready) return;
  if (tries === 0) throw new Error('the entry did not become ready');
  await sleep(READY_INTERVAL_MS);
  await waitReady(url, tries - 1);
}

/** CPU time in ms and resident memory in MB of a process. */
async function usage({ pid }: ChildProcess): Promise<{ cpuMs: number; residentMb: number }> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const [, kb = '0'] = /VmRSS:\s+(\d+)/.exec(status) ?? [];
  const ticks = Number(fields[11]) + Number(fields[12]);
  return { cpuMs: (ticks / TICKS_PER_S) * 1000, residentMb: Number(kb) / 1024 };
}

function quantile(values: readonly number[], q: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * q)] ?? 0;
}

/** First-byte times of short streams at a steady rate. */
async function shortCalls(address: string): Promise<number[]> {
  const agent = new Agent({ keepAlive: true });
  const times = arrivalTimes(Number(options.rate), measuredMs, seededRandom(1));
  const startedAt = performance.now();
  const results = await Promise.all(
    times.map(async (at) => {
      await sleep(Math.max(0, at - (performance.now() - startedAt)));
      return readStream(address, API_KEY, 2, agent);
    }),
  );
  agent.destroy();
  const failed = results.filter(({ complete }) => !complete).length;
  if (failed > 0) throw new Error(`${failed} of ${results.length} short calls failed`);
  // The first calls run code that is not compiled yet.
  return results.slice(Math.floor(results.length * WARM_UP_SHARE)).map(({ firstMs }) => firstMs);
}

async function openStreams(address: string, entry: ChildProcess): Promise<Record<string, unknown>> {
  const agent = new Agent({ keepAlive: true });
  const streams = Number(options.streams);
  const length = Math.ceil((measuredMs + 2 * SETTLE_MS) / intervalMs) + LAST_EVENTS;
  const running = Array.from({ length: streams }, async (_, index) => {
    await sleep((index / streams) * RAMP_MS);
    return readStream(address, API_KEY, length, agent);
  });
  await sleep(RAMP_MS + SETTLE_MS);
  const before = await usage(entry);
  const startedAt = performance.now();
  await sleep(measuredMs);
  const after = await usage(entry);
  const seconds = (performance.now() - startedAt) / 1000;
  const results: StreamResult[] = await Promise.all(running);
  agent.destroy();
  const eventsPerS = (streams * 1000) / intervalMs;
  const cpu = (after.cpuMs - before.cpuMs) / 1000 / seconds;
  return {
    streams,
    incomplete: results
      .filter(({ complete, events }) => !complete || events !== length)
      .map(({ code, events }) => `${code} after ${events} of ${length}`)
      .slice(0, 3),
    complete: results.filter(({ complete, events }) => complete && events === length).length,
    events_per_s: eventsPerS,
    cpu_share: Number(cpu.toFixed(3)),
    cpu_us_per_event: Number(((cpu / eventsPerS) * 1e6).toFixed(1)),
    events_per_s_and_core: Math.round(eventsPerS / cpu),
    resident_mb: Number(after.residentMb.toFixed(1)),
  };
}

const folder = await mkdtemp(join(tmpdir(), 'hop-'));

async function measure(): Promise<void> {
  const engine = await startEngine();
  children.push(engine.process);
  const control = await startControl(engine.address);
  try {
    const entry = await startEntry(control.address, folder);
    const load = loadavg()[0] ?? 0;
    const direct = await shortCalls(engine.address);
    const idle = await usage(entry.process);
    const through = await shortCalls(entry.address);
    const busy = await usage(entry.process);
    const relayed = await openStreams(entry.address, entry.process);
    const report = {
      load_average: Number(load.toFixed(1)),
      first_byte_p50_ms: { direct: quantile(direct, 0.5), through: quantile(through, 0.5) },
      first_byte_p99_ms: { direct: quantile(direct, 0.99), through: quantile(through, 0.99) },
      added_p99_ms: Number((quantile(through, 0.99) - quantile(direct, 0.99)).toFixed(2)),
      cpu_ms_per_short_call: Number(((busy.cpuMs - idle.cpuMs) / shortCallCount).toFixed(2)),
      ...relayed,
    };
    process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
    entry.process.kill('SIGTERM');
    await once(entry.process, 'exit');
  } finally {
    control.destroy();
  }
}

try {
  await measure();
} finally {
  // Also after a failure, or the processes would outlast the bench.
  children.forEach((child) => child.kill('SIGKILL'));
  await rm(folder, { recursive: true });
}
