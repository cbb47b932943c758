import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { MODEL_SERVICE } from './example-config.js';
import { TestFleet } from './test-fleet.js';
import { hasSegment, type TargetRun, type TargetStandIn } from './target.js';

const fleet = new TestFleet(24_700);
const NODES = ['vm-1', 'vm-2', 'vm-3'];
const TARGETS = 8;
const BAD_REQUESTS = 12;
const PAUSE_MS = 450;
/** Five deaths show the segment, and three requests may cross the news. */
const MAX_BAD_RUNS = 8;
const BAD_SEGMENT = 'bad';
const targets: TargetStandIn[] = [];

before(async () => {
  await fleet.start();
  targets.push(
    ...(await Promise.all(
      Array.from({ length: TARGETS }, (_, index) =>
        fleet.addTarget(index + 1, MODEL_SERVICE, 'north-a'),
      ),
    )),
  );
  const crashesOn = (run: TargetRun): boolean => hasSegment(run, BAD_SEGMENT);
  targets.forEach((target) => Object.assign(target, { crashesOn }));
  await fleet.addGateway(1, 'north-a');
  await fleet.addGateway(2, 'north-a');
  await fleet.addGateway(3, 'north-a');
  await Promise.all(NODES.map((node) => fleet.until(() => fleet.isReady(node))));
  await Promise.all(
    NODES.map((node) =>
      fleet.until(() => fleet.gateway(node).state.usableTargets(MODEL_SERVICE).length === TARGETS),
    ),
  );
});

after(() => fleet.stop());

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Sends a request to one of the gateways; all share the first segment, and no two the last. */
function send(index: number, segments: string): ReturnType<TestFleet['send']> {
  const headers = {
    model: 'm',
    'token-count': '900,40',
    'prompt-prefix': `system:500,${segments}own-${index}:100`,
  };
  return fleet.send(NODES[index % NODES.length] ?? '', { path: '/stream/x', headers });
}

/** Sends bad requests one after the other, each with sound ones beside it; returns the statuses. */
async function sendBad(from: number, count: number): Promise<number[]> {
  if (count === 0) return [];
  const [bad] = await Promise.all([
    send(from, `${BAD_SEGMENT}:300,`),
    send(from + 1, 'document:300,').catch(() => undefined),
    pause(PAUSE_MS),
  ]);
  return [bad.status, ...(await sendBad(from + 1, count - 1))];
}

// Guards against requests that share a part of their prompt and crash one target after the other.
test('requests with a segment that crashes targets are refused at all gateways, others are served', async () => {
  const statuses = await sendBad(0, BAD_REQUESTS);
  const badRuns = targets.flatMap(({ runs }) => runs).filter((run) => hasSegment(run, BAD_SEGMENT));
  assert.ok(badRuns.length <= MAX_BAD_RUNS, `${badRuns.length} runs`);
  assert.deepEqual(statuses.slice(-NODES.length), [503, 503, 503]);
  await pause(PAUSE_MS);
  const sound = await Promise.all(NODES.map((_, index) => send(index, 'other:300,')));
  assert.deepEqual(
    sound.map(({ status }) => status),
    [200, 200, 200],
  );
});
