import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { PLAIN_SERVICE, exampleConfig } from './example-config.js';
import type { TargetStandIn } from './target.js';
import { TestFleet } from './test-fleet.js';

const GATEWAYS = 12;
const SECOND_MS = 1000;
/** 2 requests per second, times the factor 1.5, plus the slack of 3. */
const MAX_COLD_REQUESTS_PER_S = 6;
const LOAD_MS = 3000;
const LOAD_INTERVAL_MS = 100;
const NODES = Array.from({ length: GATEWAYS }, (_, index) => `vm-${index + 1}`);

let basePort = 24_500;
let fleet: TestFleet;
let target: TargetStandIn;

beforeEach(async () => {
  // The ports of the previous fleet may still be in use.
  basePort += 10;
  fleet = new TestFleet(basePort);
  await fleet.start();
  const services = [{ name: PLAIN_SERVICE, warmupS: 60, coldPerS: 2 }];
  fleet.store.put('op/config', exampleConfig(4, { services }));
  target = await fleet.addTarget(1, PLAIN_SERVICE, 'north-a');
  fleet.store.put(
    `servers/${target.id}`,
    target.entry(PLAIN_SERVICE, 'north-a', { coldRemainingMs: 60_000 }),
  );
  await startGateways(NODES);
});

afterEach(() => fleet.stop());

function indexOf(node: string): number {
  return NODES.indexOf(node) + 1;
}

async function startGateways(nodes: readonly string[]): Promise<void> {
  await Promise.all(nodes.map((node) => fleet.addGateway(indexOf(node), 'north-a')));
  await Promise.all(nodes.map((node) => fleet.until(() => fleet.isReady(node))));
}

/** Sends requests to all gateways for a while. */
async function sendLoad(durationMs: number): Promise<void> {
  if (durationMs <= 0) return;
  NODES.forEach((node) => {
    void fleet.send(node, { path: '/read/x' }).catch(() => undefined);
  });
  await new Promise((resolve) => {
    setTimeout(resolve, LOAD_INTERVAL_MS);
  });
  await sendLoad(durationMs - LOAD_INTERVAL_MS);
}

/** Largest number of requests that reached the target within one second. */
function peakPerS(): number {
  const arrivals = target.runs.map(({ startedAt }) => startedAt);
  return Math.max(
    0,
    ...arrivals.map((from) => arrivals.filter((at) => at >= from && at < from + SECOND_MS).length),
  );
}

// Guards against a flooded cold target after gateways restart and know only some of the others.
[
  { name: 'most gateways of a region', count: 8 },
  { name: 'all gateways of a region', count: GATEWAYS },
].forEach(({ name, count }) =>
  test(`a cold target is not flooded while ${name} restart`, async () => {
    await sendLoad(LOAD_MS);
    const restarted = NODES.slice(0, count);
    await Promise.all(restarted.map((node) => fleet.kill(node)));
    await startGateways(restarted);
    await sendLoad(LOAD_MS);
    assert.ok(peakPerS() <= MAX_COLD_REQUESTS_PER_S, `${peakPerS()} requests in one second`);
  }),
);

test('a cold target gets requests once the gateways know each other', async () => {
  await sendLoad(LOAD_MS * 2);
  assert.ok(target.runs.length >= 2, `${target.runs.length} requests`);
});
