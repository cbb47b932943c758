import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { PLAIN_SERVICE } from './example-config.js';
import { TestFleet } from './test-fleet.js';
import { TargetMode, type TargetStandIn } from './target.js';

/** Leaves room for three bodies of the size below. */
const MEMORY_MB = 1;
const BODY = 'x'.repeat(60_000);
const REQUESTS = 8;
const MAX_HELD = 3;
const DEADLINE_MS = 1500;
/** A refusal takes no longer, as it waits for nothing. */
const REFUSED_WITHIN_MS = 500;

const fleet = new TestFleet(25_600, MEMORY_MB);
let target: TargetStandIn;

before(async () => {
  await fleet.start();
  target = await fleet.addTarget(1, PLAIN_SERVICE, 'north-a');
  const node = await fleet.addGateway(1, 'north-a');
  await fleet.until(() => fleet.isReady(node));
  await fleet.until(() => fleet.gateway(node).state.usableTargets(PLAIN_SERVICE).length === 1);
});

after(() => fleet.stop());

interface TimedStatus {
  readonly status: number;
  readonly retryAfterS: number;
  readonly ms: number;
}

async function sendBody(chunked = false): Promise<TimedStatus> {
  const startedAt = performance.now();
  const res = await fleet.send('vm-1', {
    path: '/once/1',
    body: BODY,
    chunked,
    deadlineMs: DEADLINE_MS,
  });
  return {
    status: res.status,
    retryAfterS: Number(res.headers['retry-after']),
    ms: performance.now() - startedAt,
  };
}

// Guards against a gateway that is ended for its memory by large bodies that arrive together.
test('bodies beyond the memory for them are refused at once with a time to return', async () => {
  target.mode = TargetMode.Silent;
  const results = await Promise.all(Array.from({ length: REQUESTS }, () => sendBody()));
  const refused = results.filter(({ status }) => status === 503);
  assert.equal(refused.length, REQUESTS - MAX_HELD);
  assert.equal(target.runs.length, MAX_HELD);
  assert.ok(refused.every(({ ms }) => ms < REFUSED_WITHIN_MS));
  assert.ok(refused.every(({ retryAfterS }) => retryAfterS > 0));
  target.mode = TargetMode.Good;
  assert.equal((await sendBody()).status, 200);
});

test('bodies without an announced length are limited as well', async () => {
  target.mode = TargetMode.Silent;
  const results = await Promise.all(
    Array.from({ length: REQUESTS }, () => sendBody(true).catch(() => undefined)),
  );
  const refused = results.filter((result) => result?.status === 503);
  assert.ok(refused.length >= REQUESTS - MAX_HELD, `${refused.length} refused`);
  target.mode = TargetMode.Good;
  assert.equal((await sendBody()).status, 200);
});
