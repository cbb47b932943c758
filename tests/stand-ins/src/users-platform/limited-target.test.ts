import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { PLAIN_SERVICE } from './example-config.js';
import type { TargetStandIn } from './target.js';
import { TestFleet } from './test-fleet.js';

/** More gateways than the limit has requests per second. */
const GATEWAYS = 10;
const NODES = Array.from({ length: GATEWAYS }, (_, index) => `vm-${index + 1}`);
const ZONE = 'north-a';
const LIMIT_PER_S = 1.5;
/** The limit holds from this time after it was first named. */
const STABLE_MS = 6000;
const WINDOW_MS = 4000;
const LOAD_INTERVAL_MS = 100;
/** Requests that no target can take are refused within this time. */
const REFUSAL_MS = 500;
/** Rounds of one request to each gateway, and the share of their delays that must differ. */
const REFUSAL_ROUNDS = 5;
/** Of 50 random delays in a range of 440 ms, 3 are equal to another one on average. */
const MIN_DIFFERENT_SHARE = 0.8;
const ROSTER_TIMEOUT_MS = 12_000;

let basePort = 27_400;
let fleet: TestFleet;
let limited: TargetStandIn;
let other: TargetStandIn;

beforeEach(async () => {
  // The ports of the previous fleet may still be in use.
  basePort += 10;
  fleet = new TestFleet(basePort);
  await fleet.start();
  limited = await fleet.addTarget(1, PLAIN_SERVICE, ZONE);
  other = await fleet.addTarget(2, PLAIN_SERVICE, ZONE);
  await startGateways(NODES);
  await Promise.all(
    NODES.map((node) => fleet.until(() => fleet.gateway(node).rosterComplete, ROSTER_TIMEOUT_MS)),
  );
});

afterEach(() => fleet.stop());

async function startGateways(nodes: readonly string[]): Promise<void> {
  await Promise.all(nodes.map((node) => fleet.addGateway(NODES.indexOf(node) + 1, ZONE)));
  await Promise.all(nodes.map((node) => fleet.until(() => fleet.isReady(node))));
}

/** Sends rounds of requests to all gateways; returns the delays, in s, of those that are refused. */
async function refusalDelays(rounds: number): Promise<number[]> {
  if (rounds === 0) return [];
  const startedAt = performance.now();
  const responses = await Promise.all(NODES.map((node) => fleet.send(node, { path: '/read/x' })));
  assert.ok(performance.now() - startedAt < REFUSAL_MS);
  const delays = responses
    .filter(({ status }) => status === 503)
    .map(({ headers }) => Number(headers['retry-after']));
  return [...delays, ...(await refusalDelays(rounds - 1))];
}

/** Sends requests to all gateways for a while; returns the statuses of the responses. */
async function sendLoad(durationMs: number): Promise<number[]> {
  if (durationMs <= 0) return [];
  const sent = NODES.map((node) =>
    fleet.send(node, { path: '/read/x' }).then(
      ({ status }) => status,
      () => 0,
    ),
  );
  await new Promise((resolve) => {
    setTimeout(resolve, LOAD_INTERVAL_MS);
  });
  const rest = await sendLoad(durationMs - LOAD_INTERVAL_MS);
  return [...(await Promise.all(sent)), ...rest];
}

/** Largest number of requests that reached the target within 4 s, from a time on (Unix ms). */
function peakFrom(target: TargetStandIn, at: number): number {
  const arrivals = target.runs.map(({ startedAt }) => startedAt).filter((time) => time >= at);
  return Math.max(
    0,
    ...arrivals.map((from) => arrivals.filter((to) => to >= from && to < from + WINDOW_MS).length),
  );
}

function assertWithinLimit(from: number): void {
  const allowed = 1.5 * LIMIT_PER_S * (WINDOW_MS / 1000) + 5;
  const peak = peakFrom(limited, from);
  assert.ok(peak <= allowed, `${peak} requests in 4 s, ${allowed} are allowed`);
}

// Guards against each gateway using up the limit of a target by itself.
test('all gateways together keep to the rate that a target names', async () => {
  limited.rateLimit = String(LIMIT_PER_S);
  const namedAt = Date.now();
  const statuses = await sendLoad(STABLE_MS + 2 * WINDOW_MS);
  assertWithinLimit(namedAt + STABLE_MS);
  assert.deepEqual([...new Set(statuses)], [200]);
  assert.ok(other.runs.length > limited.runs.length);
});

// Guards against requests that wait, or all return at once, when only a limited target is left.
test('what exceeds the rate of the only target is refused with a time to return, the rest is served', async () => {
  limited.rateLimit = String(LIMIT_PER_S);
  fleet.store.delete(`servers/${other.id}`);
  const namedAt = Date.now();
  const statuses = await sendLoad(STABLE_MS + 2 * WINDOW_MS);
  assertWithinLimit(namedAt + STABLE_MS);
  const served = limited.runs.filter(({ startedAt }) => startedAt >= namedAt + STABLE_MS).length;
  assert.ok(served >= LIMIT_PER_S * 4, `${served} requests in 8 s`);
  assert.deepEqual([...new Set(statuses)].sort(), [200, 503]);
  const delays = await refusalDelays(REFUSAL_ROUNDS);
  assert.ok(delays.every((delay) => delay > 0));
  const share = new Set(delays).size / delays.length;
  assert.ok(share >= MIN_DIFFERENT_SHARE, `${share} of ${delays.length} delays differ`);
});

// Guards against gateways that restart, or hear late, while a limit falls.
test('a limit that falls is kept while gateways restart', async () => {
  limited.rateLimit = '20';
  const namedAt = Date.now();
  await sendLoad(STABLE_MS);
  limited.rateLimit = String(LIMIT_PER_S);
  const restarted = NODES.slice(0, GATEWAYS / 2);
  await Promise.all(restarted.map((node) => fleet.kill(node)));
  await startGateways(restarted);
  const fallenAt = Date.now();
  await sendLoad(2 * WINDOW_MS);
  assert.ok(fallenAt - namedAt >= STABLE_MS);
  assertWithinLimit(fallenAt);
});

// Guards against targets that stay limited after their need has ended.
test('a target is used as before after it responds without a limit', async () => {
  limited.rateLimit = '0';
  await sendLoad(STABLE_MS);
  limited.rateLimit = undefined;
  // All requests need the target that was limited.
  fleet.store.delete(`servers/${other.id}`);
  await sendLoad(WINDOW_MS + STABLE_MS);
  assert.deepEqual([...new Set(await sendLoad(2000))], [200]);
});
