import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { PLAIN_SERVICE, exampleConfig } from './example-config.js';
import { StoreMode } from './store.js';
import { HEALTH_PATH, type TargetStandIn } from './target.js';
import { TestFleet } from './test-fleet.js';

const NODE = 'vm-1';
const NEIGHBOUR = 'vm-2';
const REMOTE_NODE = 'vm-3';
const SECOND_MS = 1000;
/** 2 requests per second, times the factor 1.5, plus the slack of 3. */
const MAX_COLD_REQUESTS_PER_S = 6;
/** Time in which the gateway finds that it is cut off, and that its target is cold. */
const NOTICE_MS = 4500;
const LOAD_MS = 3000;
const LOAD_INTERVAL_MS = 50;

let basePort = 22_600;
let fleet: TestFleet;
let target: TargetStandIn;

beforeEach(async () => {
  basePort += 10;
  fleet = new TestFleet(basePort);
  await fleet.start();
  const services = [{ name: PLAIN_SERVICE, warmupS: 1, coldPerS: 2, healthPath: HEALTH_PATH }];
  fleet.store.put('op/config', exampleConfig(4, { services }));
  target = await fleet.addTarget(1, PLAIN_SERVICE, 'north-a');
});

afterEach(() => fleet.stop());

/** Starts gateways; those that stay hear each other, and the store no more. */
async function startCutOff(staying: readonly string[], lost: readonly string[]): Promise<void> {
  const nodes = [...staying, ...lost];
  await Promise.all(
    nodes.map((node) =>
      fleet.addGateway(Number(node.slice(-1)), node === REMOTE_NODE ? 'west-a' : 'north-a'),
    ),
  );
  await Promise.all(nodes.map((node) => fleet.until(() => fleet.isReady(node))));
  await Promise.all(lost.map((node) => fleet.kill(node)));
  staying.forEach((node) => fleet.setStoreMode(node, StoreMode.Silent));
  await pause(NOTICE_MS);
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Sends requests for a while; returns how many were served. */
async function sendLoad(durationMs: number): Promise<number> {
  if (durationMs <= 0) return 0;
  const [{ status }, later] = await Promise.all([
    fleet.send(NODE, { path: '/read/x' }),
    pause(LOAD_INTERVAL_MS).then(() => sendLoad(durationMs - LOAD_INTERVAL_MS)),
  ]);
  return later + (status === 200 ? 1 : 0);
}

/** Largest number of requests that reached the target within one second. */
function peakPerS(): number {
  const arrivals = target.runs.map(({ startedAt }) => startedAt);
  return Math.max(
    0,
    ...arrivals.map((from) => arrivals.filter((at) => at >= from && at < from + SECOND_MS).length),
  );
}

const CUTS = [
  { name: 'a gateway that hears nobody', staying: [NODE], lost: [REMOTE_NODE] },
  { name: 'gateways that hear only each other', staying: [NODE, NEIGHBOUR], lost: [REMOTE_NODE] },
];

// Guards against a gateway that is cut off and floods a target which has become cold (FAILBACK).
CUTS.forEach(({ name, staying, lost }) =>
  test(`a target that has become cold is not flooded by ${name}`, async () => {
    await startCutOff(staying, lost);
    target.coldForMs = 60_000;
    await pause(SECOND_MS);
    await sendLoad(LOAD_MS);
    assert.ok(peakPerS() <= MAX_COLD_REQUESTS_PER_S, `${peakPerS()} requests in one second`);
  }),
);

// Guards against flooding a target right before it becomes cold: nobody would notice it in time.
test('a gateway that hears nobody sends no more to a warm target than a cold one takes', async () => {
  await startCutOff([NODE], [REMOTE_NODE]);
  const served = await sendLoad(LOAD_MS);
  assert.ok(peakPerS() <= MAX_COLD_REQUESTS_PER_S, `${peakPerS()} requests in one second`);
  assert.ok(served >= MAX_COLD_REQUESTS_PER_S, `${served} requests served`);
});

// Guards against refusing requests in a region that is cut off while its targets are warm.
test('gateways that hear only each other send all requests to a warm target', async () => {
  await startCutOff([NODE, NEIGHBOUR], [REMOTE_NODE]);
  const served = await sendLoad(LOAD_MS);
  assert.equal(served, LOAD_MS / LOAD_INTERVAL_MS);
});
