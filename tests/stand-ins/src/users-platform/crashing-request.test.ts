import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import type { ClientRequest } from './client-request.js';
import { MODEL_SERVICE, PLAIN_SERVICE } from './example-config.js';
import { TestFleet } from './test-fleet.js';
import type { TargetStandIn } from './target.js';

const NODES = ['vm-1', 'vm-2', 'vm-3'];
const LATE_NODE_INDEX = 4;
const TARGETS_PER_SERVICE = 4;
const REPEATS = 8;
const PAUSE_MS = 1100;
/** Three crashes show the request, and three more requests may reach targets after these. */
const MAX_RUNS = 6;
const LONGEST_CLIENT_WAIT_S = 3;

let fleet: TestFleet;
let targets: TargetStandIn[];
let basePort = 27_600;

beforeEach(async () => {
  fleet = new TestFleet(basePort);
  basePort += 20;
  await fleet.start();
  targets = await Promise.all(
    [MODEL_SERVICE, PLAIN_SERVICE].flatMap((service, serviceIndex) =>
      Array.from({ length: TARGETS_PER_SERVICE }, (_, index) =>
        fleet.addTarget(serviceIndex * TARGETS_PER_SERVICE + index + 1, service, 'north-a'),
      ),
    ),
  );
  await Promise.all(NODES.map((_, index) => addGateway(index + 1)));
});

afterEach(() => fleet.stop());

async function addGateway(index: number): Promise<string> {
  const node = await fleet.addGateway(index, 'north-a');
  const { state } = fleet.gateway(node);
  await fleet.until(() => fleet.isReady(node));
  await fleet.until(() =>
    [MODEL_SERVICE, PLAIN_SERVICE].every(
      (service) => state.usableTargets(service).length === TARGETS_PER_SERVICE,
    ),
  );
  return node;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Sends a request again and again, by turns to all gateways, with another one beside each. */
async function sendRepeatedly(
  bad: ClientRequest,
  sound: (index: number) => ClientRequest,
  from = 0,
): Promise<number[]> {
  if (from === REPEATS) return [];
  const node = NODES[from % NODES.length] ?? '';
  const [{ status }] = await Promise.all([
    fleet.send(node, bad),
    fleet.send(node, sound(from)).catch(() => undefined),
    pause(PAUSE_MS),
  ]);
  return [status, ...(await sendRepeatedly(bad, sound, from + 1))];
}

/** Sends the request until all gateways should know it; checks that only sound ones are served then. */
async function checkRefusal(
  bad: ClientRequest,
  sound: (index: number) => ClientRequest,
): Promise<void> {
  const crashesOn = ({ path, body }: { path: string; body: string }): boolean =>
    path === bad.path && body === (bad.body ?? '');
  targets.forEach((target) => Object.assign(target, { crashesOn }));
  const statuses = await sendRepeatedly(bad, sound);
  const runs = targets.flatMap((target) => target.runs).filter(crashesOn);
  assert.ok(runs.length <= MAX_RUNS, `${runs.length} runs`);
  assert.deepEqual(statuses.slice(-NODES.length), [503, 503, 503]);
  const late = await addGateway(LATE_NODE_INDEX);
  await pause(PAUSE_MS);
  const refused = await fleet.send(late, bad);
  assert.equal(refused.status, 503);
  assert.ok(Number(refused.headers['retry-after']) > LONGEST_CLIENT_WAIT_S);
  const served = await Promise.all(
    [...NODES, late].map((node, index) => fleet.send(node, sound(REPEATS + index))),
  );
  assert.deepEqual(
    served.map(({ status }) => status),
    [200, 200, 200, 200],
  );
}

// Guards against a request without a prompt that is sent on for ever and crashes target after target.
test('a plain request that crashes targets is refused at all gateways, also at one that starts later', () =>
  checkRefusal({ path: '/once/7', body: 'sheet 7' }, (index) => ({
    path: '/once/7',
    body: `other sheet ${index}`,
  })));

// Guards against a request with a prompt that crashes target after target although its shared segments
// are sound, and against refusing other requests with these segments.
test('a request whose own part crashes targets is refused, others with its shared segments are served', () => {
  const ask = (document: string, own: string): ClientRequest => ({
    path: `/stream/${own}`,
    body: `question ${own}`,
    headers: {
      model: 'm',
      'token-count': '900,40',
      'prompt-prefix': `system:500,${document}:300,${own}:100`,
    },
  });
  return checkRefusal(ask('document', 'bad'), (index) =>
    // The document is asked about again only after the crashes.
    ask(index < REPEATS ? `other-${index}` : 'document', `own-${index}`),
  );
});
