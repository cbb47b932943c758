/**
 * Measures recovery at the full configuration size: restarts of a VM, of half a failure domain and of
 * all other failure domains, and failure domains that reconnect.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { ControlPlan } from '@marjoramcart/stand-ins';
import { BenchFleet, type FleetSize } from '../fleet/bench-fleet.js';
import { changedCustomerValue } from '../fleet/scaled-config.js';
import { readControlUsage, machineLoad } from '../measure/process-usage.js';

export interface RecoveryFigures {
  readonly event: string;
  /** Number of daemons that recover at the same time. */
  readonly daemons: number;
  /** Time in ms until the last of them is ready or has applied the latest revision. */
  readonly ms: number;
  /** Highest number of bytes that a recovering control daemon sent and received. */
  readonly bytes: number;
  /** Reads of the configuration service during the event. */
  readonly configReads: number;
  readonly load1: number;
}

const SETTLE_MS = 6000;
/** Long enough that an unresponsive daemon is removed from the membership tables. */
const PARTITION_MS = 18_000;
/** Includes the traffic after readiness, for example the summaries of all failure domains. */
const POST_RECOVERY_MS = 3000;

/** Measures all recovery events on one fleet. */
export async function measureRecovery(size: FleetSize): Promise<RecoveryFigures[]> {
  const fleet = await BenchFleet.start('recovery', size);
  try {
    await delay(SETTLE_MS);
    const measuredControls = fleet.layout.controls.filter(({ domain }) => domain === 'domain-0');
    const vm = measuredControls.slice(0, 1);
    const halfOfDomain = measuredControls.slice(0, Math.ceil(measuredControls.length / 2));
    const others = fleet.layout.controls.filter(({ domain }) => domain !== 'domain-0');
    return [
      await measureRestart(fleet, 'one VM, control and entries', vm),
      await measureRestart(fleet, 'half of the VMs of a failure domain', halfOfDomain),
      await measureRestart(fleet, 'cold start of all other failure domains', others),
      await measureReconnect(fleet, others.slice(0, Math.floor(others.length / 2))),
    ];
  } finally {
    await fleet.stop();
  }
}

/** Kills the daemons of the VMs at the same time and starts them again. */
async function measureRestart(
  fleet: BenchFleet,
  event: string,
  controls: readonly ControlPlan[],
): Promise<RecoveryFigures> {
  const vms = new Set(controls.map(({ vm }) => vm));
  const entries = fleet.layout.entries.filter(({ vm }) => vms.has(vm));
  const names = [...controls, ...entries].map(({ name }) => name);
  const before = await fleet.configServiceCalls();
  await Promise.all(names.map((name) => fleet.process(name).kill()));
  const startedAt = performance.now();
  names.forEach((name) => fleet.process(name).start());
  await Promise.all(names.map((name) => fleet.waitUntilReady(name)));
  const ms = performance.now() - startedAt;
  await delay(POST_RECOVERY_MS);
  const usage = await Promise.all(controls.map(({ admin }) => readControlUsage(admin)));
  const bytes = Math.max(...usage.map((used) => used.bytes));
  return withConfigReads(fleet, { event, daemons: names.length, ms, bytes }, before.range);
}

/**
 * Suspends the control daemons of several failure domains until the others remove them, changes the
 * configuration and resumes them all at the same time.
 */
async function measureReconnect(
  fleet: BenchFleet,
  controls: readonly ControlPlan[],
): Promise<RecoveryFigures> {
  const bytesOf = async (): Promise<number[]> =>
    Promise.all(controls.map(async ({ admin }) => (await readControlUsage(admin)).bytes));
  const bytesBefore = await bytesOf();
  controls.forEach(({ name }) => fleet.process(name).freeze());
  await delay(PARTITION_MS);
  const [key, value] = changedCustomerValue(fleet.config, 11, 77);
  const revision = await fleet.publish(key, value);
  await delay(SETTLE_MS);
  const before = await fleet.configServiceCalls();
  controls.forEach(({ name }) => fleet.process(name).thaw());
  const times = await fleet.timesToApplyMs(revision, performance.now());
  await delay(POST_RECOVERY_MS);
  const bytesAfter = await bytesOf();
  const bytes = Math.max(...bytesAfter.map((after, n) => after - (bytesBefore[n] ?? 0)));
  const event = 'failure domains go on after 24 s of silence';
  const ms = Math.max(...times);
  return withConfigReads(fleet, { event, daemons: controls.length, ms, bytes }, before.range);
}

async function withConfigReads(
  fleet: BenchFleet,
  measured: Pick<RecoveryFigures, 'event' | 'daemons' | 'ms' | 'bytes'>,
  readsBefore: number,
): Promise<RecoveryFigures> {
  const { range } = await fleet.configServiceCalls();
  return { ...measured, configReads: range - readsBefore, load1: machineLoad().load1 };
}
