import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import type { Zone } from './example-config.js';
import { idsOf, sendStream, takeUp, versionsOf, type StreamPart } from './stream-client.js';
import { SLOW_EVENT_INTERVAL_MS, type StreamFleet } from './stream-fleet.js';
import { StreamFleetTests } from './stream-fleet-tests.js';
import type { TargetStandIn } from './target.js';

const NORTH = 'north-a';
const ZONES: readonly Zone[] = [NORTH, NORTH];
const [FIRST, SECOND] = ['vm-1', 'vm-2'] as const;
const STREAMS = 6;
const ALL_IDS = [1, 2, 3, 4, 5, 6];
const REPORT_DELAY_MS = 800;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;
/** After this time, entries of later starts would have been read. */
const SETTLED_MS = 11_000;

type Reports = Partial<Pick<TargetStandIn, 'reportStatus' | 'reportDelayMs'>>;

/** Begins streams of v1 beside v2 at a gateway that is killed, and takes them up at the other one. */
async function takeUpAfterKill(
  fleet: StreamFleet,
  reports: Reports,
  settledMs = 0,
): Promise<StreamPart[][]> {
  const slow = { eventIntervalMs: SLOW_EVENT_INTERVAL_MS };
  const engines = await Promise.all(
    ['v1', 'v1', 'v2'].map((version, index) => fleet.addEngine(index + 1, version, NORTH, slow)),
  );
  await Promise.all([FIRST, SECOND].map((node) => fleet.untilServed(node)));
  engines.forEach((engine) => Object.assign(engine, reports));
  await delay(settledMs);
  const begun = Array.from({ length: STREAMS }, () => sendStream(fleet, FIRST));
  await fleet.until(() => engines.reduce((sum, { active }) => sum + active, 0) >= STREAMS);
  await delay(2 * SLOW_EVENT_INTERVAL_MS);
  await fleet.kill(FIRST);
  const parts = await Promise.all(begun);
  return Promise.all(parts.map(async (part) => [part, await takeUp(fleet, SECOND, [part])]));
}

function assertWhole(streams: readonly (readonly StreamPart[])[]): void {
  streams.forEach((parts) => {
    assert.equal(versionsOf(parts).length, 1);
    assert.deepEqual(idsOf(parts), ALL_IDS);
    assert.equal(parts.at(-1)?.complete, true);
  });
}

function addTests(tests: StreamFleetTests): void {
  // Guards against gateways that take a late report for a sign of another start and refuse all take-ups (LOST).
  tests.add('streams of a killed gateway go on while reports are late', async (fleet) => {
    assertWhole(await takeUpAfterKill(fleet, { reportDelayMs: REPORT_DELAY_MS }));
  });

  // Guards against gateways that take a failed report for a sign of another start and refuse all take-ups (LOST).
  tests.add('streams of a killed gateway go on while reports fail', async (fleet) => {
    assertWhole(await takeUpAfterKill(fleet, { reportStatus: STATUS_UNAVAILABLE }));
  });
}

const warmed = new StreamFleetTests(31_650, ZONES);
const withoutWarmup = new StreamFleetTests(31_670, ZONES, 0);
addTests(warmed);
addTests(withoutWarmup);

// Guards against targets that never send reports and so never go on with a stream (LOST).
withoutWarmup.add('streams of a killed gateway go on at targets without reports', async (fleet) => {
  const hidden = { reportStatus: STATUS_NOT_FOUND };
  assertWhole(await takeUpAfterKill(fleet, hidden, SETTLED_MS));
});

await warmed.run('take-ups beside reports that fail, of engines with a warm-up');
await withoutWarmup.run('take-ups beside reports that fail, of engines without a warm-up');
