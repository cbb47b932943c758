import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { PLAIN_SERVICE } from './example-config.js';
import type { TargetStandIn } from './target.js';
import { TestFleet } from './test-fleet.js';

/** Time after which no request may reach a target from a gateway that it told that it is leaving. */
const DRAIN_MS = 4000;
const LOAD_MS = 6000;
const LOAD_INTERVAL_MS = 50;
const TELL_MS = 500;
const ZONE = 'north-a';

let basePort = 27_200;
let fleet: TestFleet;
let leaver: TargetStandIn;
let other: TargetStandIn;

beforeEach(async () => {
  // The ports of the previous fleet may still be in use.
  basePort += 10;
  fleet = new TestFleet(basePort);
  await fleet.start();
  leaver = await fleet.addTarget(1, PLAIN_SERVICE, ZONE);
  other = await fleet.addTarget(2, PLAIN_SERVICE, ZONE);
  await fleet.addGateway(1, ZONE);
  await fleet.addGateway(2, ZONE);
  await Promise.all(['vm-1', 'vm-2'].map((node) => fleet.until(() => fleet.isReady(node))));
});

afterEach(() => fleet.stop());

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function sendLoad(node: string, durationMs: number): Promise<void> {
  if (durationMs <= 0) return;
  void fleet.send(node, { path: '/read/x' }).catch(() => undefined);
  await pause(LOAD_INTERVAL_MS);
  await sendLoad(node, durationMs - LOAD_INTERVAL_MS);
}

/** Sends requests until the target has told a gateway that it is leaving; returns when it did, Unix ms. */
async function untilTold(node: string): Promise<number> {
  leaver.leaving = true;
  const runsBefore = leaver.runs.length;
  await fleet.until(async () => {
    await fleet.send(node, { path: '/read/x' });
    return leaver.runs.length > runsBefore;
  });
  return Date.now();
}

function runsAfter(target: TargetStandIn, at: number): number {
  return target.runs.filter(({ startedAt }) => startedAt > at).length;
}

/** Writes the entry of the leaving target to the store again. */
function relist(changes: object): void {
  fleet.store.put(`servers/${leaver.id}`, leaver.entry(PLAIN_SERVICE, ZONE, changes));
}

// Guards against requests to a target that said that it leaves while its entry says that it serves.
test('a target that says that it is leaving gets no more requests while the store does not answer', async () => {
  fleet.store.failureStatus = 0;
  const toldAt = await untilTold('vm-1');
  await sendLoad('vm-1', LOAD_MS);
  assert.equal(runsAfter(leaver, toldAt + DRAIN_MS), 0);
  assert.ok(runsAfter(other, toldAt + DRAIN_MS) > 0);
});

// Guards against a leaving target that is forgotten when its entry lapses and comes back.
test('a leaving target stays out when its entry is listed again, but its next start and its successor are used', async () => {
  const toldAt = await untilTold('vm-1');
  const { state } = fleet.gateway('vm-1');
  // Without another target, all requests would go to this one.
  [leaver, other].forEach(({ id }) => fleet.store.delete(`servers/${id}`));
  await fleet.until(() => state.target(leaver.id) === undefined);
  relist({});
  await fleet.until(() => state.target(leaver.id) !== undefined);
  await sendLoad('vm-1', LOAD_MS);
  assert.equal(runsAfter(leaver, toldAt + DRAIN_MS), 0);

  leaver.leaving = false;
  const restartedAt = Date.now();
  relist({ born: 2 });
  await fleet.until(async () => {
    await fleet.send('vm-1', { path: '/read/x' });
    return runsAfter(leaver, restartedAt) > 0;
  });

  leaver.leaving = true;
  await untilTold('vm-1');
  leaver.close();
  fleet.store.delete(`servers/${leaver.id}`);
  const successor = await fleet.addTarget(1, PLAIN_SERVICE, ZONE, 'i-9');
  await fleet.until(async () => {
    await fleet.send('vm-1', { path: '/read/x' });
    return successor.runs.length > 0;
  });
});

// Guards against each gateway having to be told by the target itself.
test('other gateways of the region, also one that starts later, stop sending to a leaving target', async () => {
  await untilTold('vm-1');
  await pause(TELL_MS);
  const toldAt = Date.now();
  await sendLoad('vm-2', LOAD_MS / 3);
  assert.equal(runsAfter(leaver, toldAt), 0);
  await fleet.addGateway(3, ZONE);
  await fleet.until(() => fleet.isReady('vm-3'));
  await pause(DRAIN_MS);
  const startedAt = Date.now();
  await sendLoad('vm-3', LOAD_MS / 3);
  assert.equal(runsAfter(leaver, startedAt), 0);
  assert.ok(runsAfter(other, startedAt) > 0);
});
