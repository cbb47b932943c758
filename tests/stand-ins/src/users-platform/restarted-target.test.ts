import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { PLAIN_SERVICE, exampleConfig } from './example-config.js';
import type { TargetStandIn } from './target.js';
import { TestFleet } from './test-fleet.js';

const SECOND_MS = 1000;
/** 2 requests per second, times the factor 1.5, plus the slack of 3. */
const MAX_COLD_REQUESTS_PER_S = 6;
const BURST = 20;
const DOWN_MS = 200;
/** An unreachable target is avoided for this time at first. */
const AVOIDED_MS = 1200;
const ZONE = 'north-a';
const NODES = ['vm-1', 'vm-2'];
const READ = '/read/x';

let basePort = 28_000;
let fleet: TestFleet;
let plain: TargetStandIn;

beforeEach(async () => {
  // The ports of the previous fleet may still be in use.
  basePort += 10;
  fleet = new TestFleet(basePort);
  await fleet.start();
  const cold = { warmupS: 60, coldPerS: 2 };
  const services = [{ name: PLAIN_SERVICE, ...cold }];
  fleet.store.put('op/config', exampleConfig(4, { services }));
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
  const peak = peakPerS(target, since);
  assert.ok(peak <= MAX_COLD_REQUESTS_PER_S, `${peak} requests in one second`);
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
