import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { MODEL_SERVICE, PLAIN_SERVICE, exampleConfig } from './example-config.js';
import { TargetMode, type TargetStandIn } from './target.js';
import { TestFleet } from './test-fleet.js';

const SECOND_MS = 1000;
/** 2 requests per second, times the factor 1.5, plus the slack of 3. */
const MAX_COLD_REQUESTS_PER_S = 6;
const BURST = 20;
/** Time for a message between two gateways, and for a question to the target. */
const TELL_MS = 150;
const DOWN_MS = 200;
/** Connections that are not in use are closed in this time. */
const IDLE_MS = 5000;
/** An unreachable target is avoided for this time at first. */
const AVOIDED_MS = 1200;
const ZONE = 'north-a';
const NODES = ['vm-1', 'vm-2'];
const STREAM = '/stream/x';
const READ = '/read/x';
/** A stream of six events that is cut by a restart. */
const LONG_EVENT_INTERVAL_MS = 300;

let basePort = 28_000;
let fleet: TestFleet;
let engine: TargetStandIn;
let plain: TargetStandIn;

beforeEach(async () => {
  // The ports of the previous fleet may still be in use.
  basePort += 10;
  fleet = new TestFleet(basePort);
  await fleet.start();
  const cold = { warmupS: 60, coldPerS: 2 };
  const services = [
    { name: MODEL_SERVICE, ...cold, engine: { slots: 8, kvCapacityTokens: 1e5 } },
    { name: PLAIN_SERVICE, ...cold },
  ];
  fleet.store.put('op/config', exampleConfig(4, { services }));
  engine = await fleet.addTarget(1, MODEL_SERVICE, ZONE);
  plain = await fleet.addTarget(2, PLAIN_SERVICE, ZONE);
  await Promise.all(NODES.map((_, index) => fleet.addGateway(index + 1, ZONE)));
  await Promise.all(NODES.map((node) => fleet.until(() => fleet.isReady(node))));
  await Promise.all(NODES.map((node) => fleet.until(() => fleet.gateway(node).rosterComplete)));
  // The rate of a cold target opens once a window has passed since the start.
  await pause(2 * SECOND_MS);
});

afterEach(() => fleet.stop());

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Sends requests to a gateway at the same time, without regard to their responses. */
async function burst(node: string, path: string): Promise<void> {
  const sent = Array.from({ length: BURST }, () => fleet.send(node, { path }));
  await Promise.allSettled(sent);
}

/** Sends requests to a gateway one after the other. */
async function sendInTurn(node: string, path: string, count: number): Promise<void> {
  if (count === 0) return;
  await fleet.send(node, { path });
  await sendInTurn(node, path, count - 1);
}

/** Largest number of requests that reached a target within one second. */
function peakPerS({ runs }: TargetStandIn, since: number): number {
  const arrivals = runs.map(({ startedAt }) => startedAt).filter((at) => at >= since);
  return Math.max(
    0,
    ...arrivals.map((from) => arrivals.filter((at) => at >= from && at < from + SECOND_MS).length),
  );
}

async function assertNotFlooded(target: TargetStandIn, path: string): Promise<void> {
  const since = target.born;
  await Promise.all(NODES.map((node) => burst(node, path)));
  await pause(AVOIDED_MS);
  await Promise.all(NODES.map((node) => burst(node, path)));
  const peak = peakPerS(target, since);
  assert.ok(peak > 0, 'no requests');
  assert.ok(peak <= MAX_COLD_REQUESTS_PER_S, `${peak} requests in one second`);
}

/** Restarts the engine while a gateway has a stream there, so fast that no connection is refused. */
async function restartDuringStream(): Promise<void> {
  engine.eventIntervalMs = LONG_EVENT_INTERVAL_MS;
  void fleet.send('vm-1', { path: STREAM }).catch(() => undefined);
  await fleet.until(() => engine.active > 0);
  await engine.restart(0);
  await pause(TELL_MS);
}

// Guards against a restarted target that only the gateway that failed to connect takes for cold.
test('a restarted target is not flooded by a gateway that another one told that it was unreachable', async () => {
  await burst('vm-2', READ);
  const isBack = plain.restart(DOWN_MS);
  await fleet.send('vm-1', { path: READ }).catch(() => undefined);
  await isBack;
  await pause(AVOIDED_MS);
  await assertNotFlooded(plain, READ);
});

// Guards against a restart that cuts streams and is not noticed until the store tells of it.
test('an engine that restarts during a stream is not flooded before its entry tells of it', async () => {
  await restartDuringStream();
  await assertNotFlooded(engine, STREAM);
});

// Guards against a restart that no request and no failed connection tells of.
test('an engine that restarts while it is idle is not flooded', async () => {
  await burst('vm-1', STREAM);
  await pause(IDLE_MS);
  await engine.restart(DOWN_MS);
  await assertNotFlooded(engine, STREAM);
});

// Guards against requests before the first sign of a restart that come on top of the cold rate.
test('requests that reach a restarted engine before its restart is known count for its cold rate', async () => {
  await pause(SECOND_MS);
  engine.born = Date.now();
  await sendInTurn('vm-1', STREAM, MAX_COLD_REQUESTS_PER_S / 2);
  fleet.store.put(
    `servers/${engine.id}`,
    engine.entry(MODEL_SERVICE, ZONE, { coldRemainingMs: 60_000 }),
  );
  await pause(TELL_MS);
  await assertNotFlooded(engine, STREAM);
});

// Guards against a restart that is undone by an entry that was written before it.
test('an entry from before a restart does not make the target warm again', async () => {
  await restartDuringStream();
  const { born } = engine;
  engine.born = 1;
  fleet.store.put(
    `servers/${engine.id}`,
    engine.entry(MODEL_SERVICE, ZONE, { slots: 9, sequence: 2 }),
  );
  engine.born = born;
  await pause(SECOND_MS);
  await assertNotFlooded(engine, STREAM);
});

// Guards against broken connections that make a target cold although it did not restart.
test('an engine that breaks connections without a restart is used at its full rate', async () => {
  engine.mode = TargetMode.BreaksStream;
  await fleet.send('vm-1', { path: STREAM }).catch(() => undefined);
  engine.mode = TargetMode.Good;
  await pause(TELL_MS);
  const startedAt = Date.now();
  await sendInTurn('vm-1', STREAM, 2 * MAX_COLD_REQUESTS_PER_S);
  assert.ok(peakPerS(engine, startedAt) > MAX_COLD_REQUESTS_PER_S);
});

// Guards against a target that restarts while all gateways of its region restart, too.
test('a gateway that starts after a restart and fetches the state from another region does not flood the target', async () => {
  await fleet.addGateway(3, 'west-a');
  await fleet.until(() => fleet.gateway('vm-3').state.target(engine.id) !== undefined);
  await Promise.all(NODES.map((node) => fleet.kill(node)));
  fleet.store.failureStatus = 503;
  await engine.restart(0);
  await fleet.addGateway(1, ZONE);
  await fleet.until(() => fleet.isReady('vm-1'));
  await burst('vm-1', STREAM);
  const peak = peakPerS(engine, engine.born);
  assert.ok(peak <= MAX_COLD_REQUESTS_PER_S, `${peak} requests in one second`);
});

// Guards against a gateway that fetches the state after a restart and takes the target for warm.
test('a gateway that starts after a target may have restarted does not flood it', async () => {
  const isBack = plain.restart(DOWN_MS);
  await fleet.send('vm-1', { path: READ }).catch(() => undefined);
  await isBack;
  await fleet.kill('vm-2');
  fleet.store.failureStatus = 503;
  await fleet.addGateway(2, ZONE);
  await fleet.until(() => fleet.isReady('vm-2'));
  await assertNotFlooded(plain, READ);
});
