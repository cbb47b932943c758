import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { PLAIN_SERVICE } from './example-config.js';
import { TargetMode, type TargetStandIn } from './target.js';
import { TestFleet } from './test-fleet.js';

const fleet = new TestFleet(31_950);
const NODE = 'vm-1';
const TARGETS = 3;
const PAUSE_S = 2;
const PAUSE_MS = PAUSE_S * 1000;
const LOAD_INTERVAL_MS = 20;
/** Requests may be on their way for so long after the rejection. */
const SLACK_MS = 500;
const MAX_REQUESTS_IN_PAUSE = 2;
let targets: TargetStandIn[];

before(async () => {
  await fleet.start();
  targets = await Promise.all(
    Array.from({ length: TARGETS }, (_, index) =>
      fleet.addTarget(index + 1, PLAIN_SERVICE, 'north-a'),
    ),
  );
  await fleet.addGateway(1, 'north-a');
  await fleet.until(() => fleet.isReady(NODE));
  await fleet.until(
    () => fleet.gateway(NODE).state.usableTargets(PLAIN_SERVICE).length === TARGETS,
  );
});

after(() => fleet.stop());

/** Sends requests for a while; returns the statuses. */
async function load(ms: number): Promise<number[]> {
  const until = Date.now() + ms;
  const sent: Promise<number>[] = [];
  const sendNext = async (): Promise<void> => {
    if (Date.now() >= until) return;
    sent.push(fleet.send(NODE, { path: '/read/x' }).then(({ status }) => status));
    await new Promise((resolve) => {
      setTimeout(resolve, LOAD_INTERVAL_MS);
    });
    await sendNext();
  };
  await sendNext();
  return Promise.all(sent);
}

// Guards against a target that rejects all requests, looks idle and so gets most of them, although it
// said for how long it wants none (BUDGET).
test('a target that names a retry time gets no requests until then, and others serve', async () => {
  const [paused] = targets;
  assert.ok(paused);
  Object.assign(paused, { mode: TargetMode.Sheds, retryAfterS: PAUSE_S });
  const statuses = await load(2 * PAUSE_MS);
  const [first] = paused.rejectedAt;
  assert.ok(first !== undefined);
  const inPause = paused.rejectedAt.filter((at) => at > first + SLACK_MS && at < first + PAUSE_MS);
  assert.ok(inPause.length <= MAX_REQUESTS_IN_PAUSE, `${inPause.length} requests in the pause`);
  const served = statuses.filter((status) => status === 200).length;
  assert.ok(served >= 0.95 * statuses.length, `${served} of ${statuses.length} served`);
  targets.forEach((target) =>
    Object.assign(target, { mode: target === paused ? TargetMode.Good : TargetMode.Sheds }),
  );
  // It may have rejected a request, and so begun another pause, until now.
  await load(PAUSE_MS + SLACK_MS);
  assert.ok(paused.runs.length > 0);
});

// Guards against requests that wait, or are refused without a retry time, while all targets are paused.
test('requests are refused with the time until a paused target takes them', async () => {
  targets.forEach((target) =>
    Object.assign(target, { mode: TargetMode.Sheds, retryAfterS: PAUSE_S }),
  );
  await load(SLACK_MS);
  const startedAt = Date.now();
  const { status, headers } = await fleet.send(NODE, { path: '/read/x', deadlineMs: 10_000 });
  assert.equal(status, 503);
  assert.ok(Number(headers['retry-after']) >= 0.5);
  assert.ok(Date.now() - startedAt < SLACK_MS);
});
