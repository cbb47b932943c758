/** Measures the resource usage of a fleet without load, with or without configuration changes. */
import { setTimeout as delay } from 'node:timers/promises';
import { BenchFleet, type FleetSize } from '../fleet/bench-fleet.js';
import { changedCustomerValue, mainConfigValue } from '../fleet/scaled-config.js';
import { mean } from '../measure/line-fit.js';
import {
  readControlUsage,
  cpuSeconds,
  machineLoad,
  residentMb,
  type Usage,
} from '../measure/process-usage.js';

export interface RunTimes {
  readonly settleMs: number;
  readonly windowMs: number;
}

/** Figures of one run; control daemon figures are means over the measured failure domain. */
export interface SteadyFigures {
  readonly size: FleetSize;
  readonly changesPerDay: number;
  readonly bytesPerS: number;
  readonly maxBytesPerS: number;
  readonly syncBytesPerS: number;
  readonly cpuShare: number;
  readonly maxCpuShare: number;
  readonly residentMb: number;
  /** Peak resident memory of any control daemon of the measured failure domain, including startup. */
  readonly peakMb: number;
  readonly entryCpuShare: number;
  readonly entryResidentMb: number;
  readonly callsPerS: number;
  readonly pendingWatches: number;
  /** Time from publishing a change until every daemon has applied it, in ms: mean and maximum. */
  readonly changeMs: number;
  readonly maxChangeMs: number;
  readonly load1: number;
}

const MS_PER_DAY = 86_400_000;
/** Number of changes whose propagation time is measured after the window. */
const TIMED_CHANGES = 3;

/** Starts a fleet, measures it over the window and stops it. */
export async function measureSteadyState(
  name: string,
  size: FleetSize,
  changesPerDay: number,
  times: RunTimes,
): Promise<SteadyFigures> {
  const fleet = await BenchFleet.start(name, size);
  try {
    await delay(times.settleMs);
    return await measure(fleet, changesPerDay, times);
  } finally {
    await fleet.stop();
  }
}

async function measure(
  fleet: BenchFleet,
  changesPerDay: number,
  { windowMs }: RunTimes,
): Promise<SteadyFigures> {
  const before = await readFleetUsage(fleet);
  const changes = publishEvery(fleet, changesPerDay, windowMs);
  await delay(windowMs);
  const after = await readFleetUsage(fleet);
  await changes;
  const seconds = (after.at - before.at) / 1000;
  const rate = (pick: (usage: Usage) => number): number[] =>
    after.controls.map((usage, n) => (pick(usage) - pick(before.controls[n] as Usage)) / seconds);
  const bytes = rate((usage) => usage.bytes);
  const cpu = rate((usage) => usage.cpuS);
  const changeTimesMs = await measureChangeTimes(fleet);
  return {
    size: fleet.size,
    changesPerDay,
    bytesPerS: mean(bytes),
    maxBytesPerS: Math.max(...bytes),
    syncBytesPerS: mean(rate((usage) => usage.syncBytes)),
    cpuShare: mean(cpu),
    maxCpuShare: Math.max(...cpu),
    residentMb: mean(after.controls.map((usage) => usage.residentMb)),
    peakMb: Math.max(...after.peaks),
    entryCpuShare: mean(after.entryCpu.map((s, n) => (s - (before.entryCpu[n] ?? 0)) / seconds)),
    entryResidentMb: mean(after.entryMb),
    callsPerS:
      (after.calls.range + after.calls.watch - before.calls.range - before.calls.watch) / seconds,
    pendingWatches: after.calls.pending_watches,
    changeMs: mean(changeTimesMs),
    maxChangeMs: Math.max(...changeTimesMs),
    load1: machineLoad().load1,
  };
}

async function readFleetUsage(fleet: BenchFleet) {
  const { controls, entries } = fleet.layout;
  const measured = controls.filter(({ domain }) => domain === 'domain-0');
  const pidOf = ({ name }: { name: string }): number => fleet.process(name).pid ?? 0;
  return {
    at: performance.now(),
    controls: await Promise.all(measured.map(({ admin }) => readControlUsage(admin))),
    peaks: await Promise.all(measured.map((plan) => residentMb(pidOf(plan), 'VmHWM'))),
    entryCpu: await Promise.all(entries.map((plan) => cpuSeconds(pidOf(plan)))),
    entryMb: await Promise.all(entries.map((plan) => residentMb(pidOf(plan)))),
    calls: await fleet.configServiceCalls(),
  };
}

/** Publishes changes at the given rate. */
async function publishEvery(
  fleet: BenchFleet,
  changesPerDay: number,
  windowMs: number,
): Promise<void> {
  if (changesPerDay === 0) return;
  const everyMs = MS_PER_DAY / changesPerDay;
  const count = Math.floor(windowMs / everyMs);
  await Array.from({ length: count }).reduce<Promise<unknown>>(
    (before, _, n) =>
      before.then(async () => {
        const startedAt = performance.now();
        await publishChange(fleet, n);
        await delay(Math.max(0, everyMs - (performance.now() - startedAt)));
      }),
    Promise.resolve(),
  );
}

async function measureChangeTimes(fleet: BenchFleet): Promise<number[]> {
  return Array.from({ length: TIMED_CHANGES }).reduce<Promise<number[]>>(async (before, _, n) => {
    const times = await before;
    const startedAt = performance.now();
    const revision = await publishChange(fleet, 1000 + n);
    return [...times, Math.max(...(await fleet.timesToApplyMs(revision, startedAt)))];
  }, Promise.resolve([]));
}

/** Changes one customer, or a global limit when the fleet has no customers. */
function publishChange(fleet: BenchFleet, n: number): Promise<number> {
  const { config } = fleet;
  if (config.customers === 0) return fleet.publish('config/main', mainConfigValue(config, n));
  const [key, value] = changedCustomerValue(config, (n * 37) % config.customers, n);
  return fleet.publish(key, value);
}
