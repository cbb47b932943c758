import assert from 'node:assert/strict';
import { MODEL_SERVICE } from './example-config.js';
import { idsOf, sendStream, versionsOf, type StreamPart } from './stream-client.js';
import { SLOW_EVENT_INTERVAL_MS, breakStreams, type StreamFleet } from './stream-fleet.js';
import { StreamFleetTests } from './stream-fleet-tests.js';
import { TargetMode, type TargetStandIn } from './target.js';

const NORTH = 'north-a';
const STREAMS = 4;
const DOWN_MS = 60;
/** Longer than a gateway doubts a version of which it hears nothing. */
const DOUBT_LIMIT_MS = 6000;
const STATUS_UNAVAILABLE = 503;
const ALL_IDS = [1, 2, 3, 4, 5, 6];
const SLOW = { eventIntervalMs: SLOW_EVENT_INTERVAL_MS };

const tests = new StreamFleetTests(31_600, [NORTH, NORTH], 0);

/** Adds two engines of one version, and lets a gateway serve streams. */
async function addTwo(fleet: StreamFleet): Promise<[TargetStandIn, TargetStandIn]> {
  const first = await fleet.addEngine(1, 'v1', NORTH);
  const second = await fleet.addEngine(2, 'v1', NORTH);
  await fleet.untilMayResume('vm-1');
  return [first, second];
}

/** Begins streams at vm-1 that only the first engine takes. */
async function beginAt(
  fleet: StreamFleet,
  [first, second]: readonly [TargetStandIn, TargetStandIn],
): Promise<Promise<StreamPart>[]> {
  Object.assign(second, { mode: TargetMode.Sheds });
  // An engine that was unreachable is avoided for a while.
  await fleet.untilServed('vm-1');
  const streams = Array.from({ length: STREAMS }, () => sendStream(fleet, 'vm-1'));
  await fleet.until(() => first.active === STREAMS);
  Object.assign(second, { mode: TargetMode.Good });
  return streams;
}

function assertNotJoined(parts: readonly StreamPart[]): void {
  parts.forEach((part) => {
    assert.deepEqual(versionsOf([part]), ['v2']);
    assert.deepEqual(idsOf([part]), ALL_IDS.slice(0, part.events.length));
  });
}

// Guards against streams that begin at an engine which is back with another version, while its entry is
// still that of before, and go on at an engine of the version before (ORDER).
tests.add(
  'a stream of an engine that is back with another version is not joined',
  async (fleet) => {
    const engines = await addTwo(fleet);
    const [first] = engines;
    Object.assign(first, { version: 'v2', ...SLOW });
    await first.restart(DOWN_MS);
    const streams = await beginAt(fleet, engines);
    breakStreams(first);
    assertNotJoined(await Promise.all(streams));
  },
);

// Guards against streams that can't go on because they began before the entry told their version (LOST).
tests.add(
  'a stream goes on at its version, which the entry told after its begin',
  async (fleet) => {
    const engines = await addTwo(fleet);
    const [first] = engines;
    Object.assign(first, { version: 'v2', ...SLOW });
    await first.restart(DOWN_MS);
    await fleet.untilStartKnown(first, ['vm-1']);
    const streams = await beginAt(fleet, engines);
    fleet.store.put(`servers/${first.id}`, first.entry(MODEL_SERVICE, NORTH));
    await fleet.until(
      () => fleet.gateway('vm-1').state.target(first.id)?.record.softwareVersion === 'v2',
    );
    await fleet.addEngine(3, 'v2', NORTH);
    breakStreams(first);
    const parts = await Promise.all(streams);
    parts.forEach((part) => {
      assert.deepEqual(versionsOf([part]), ['v2']);
      assert.deepEqual(idsOf([part]), ALL_IDS);
      assert.equal(part.complete, true);
    });
  },
);

// Guards against a stream that began at a new start before its gateway heard of it, while reports failed, and
// goes on at the version before (ORDER).
tests.add(
  'a stream that outlives the start of its engine by its entry is not joined',
  async (fleet) => {
    const engines = await addTwo(fleet);
    const [first] = engines;
    Object.assign(first, { version: 'v2', reportStatus: STATUS_UNAVAILABLE, ...SLOW });
    await first.restart(DOWN_MS);
    const { state } = fleet.gateway('vm-1');
    await fleet.until(
      () => state.target(first.id)?.softwareVersionAt(performance.now()) === 'v1',
      DOUBT_LIMIT_MS,
    );
    const streams = await beginAt(fleet, engines);
    Object.assign(first, { reportStatus: 200 });
    await fleet.untilStartKnown(first, ['vm-1']);
    await new Promise((resolve) => {
      setTimeout(resolve, 2 * SLOW_EVENT_INTERVAL_MS);
    });
    breakStreams(first);
    assertNotJoined(await Promise.all(streams));
  },
);

await tests.run('streams of engines that start again with another version');
