import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import type { ClientRequest } from './client-request.js';
import { MODEL_SERVICE, PLAIN_SERVICE } from './example-config.js';
import { CrashMoment, hasSegment, type TargetRun, type TargetStandIn } from './target.js';
import { TestFleet } from './test-fleet.js';

const LOCAL_NODES = ['vm-1', 'vm-2'];
/** Gateway of a region without targets, which forwards. */
const REMOTE_NODE = 'vm-3';
const TARGETS_PER_SERVICE = 6;
const BAD_REQUESTS = 12;
const PAUSE_MS = 450;
/** Three deaths of two targets each show what is bad, and three requests may cross the news. */
const MAX_BAD_RUNS = 9;
const BAD_SEGMENT = 'bad';
const BAD_BODY = 'bad';

let fleet: TestFleet;
let targets: TargetStandIn[];
let basePort = 28_700;

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
  await fleet.addGateway(1, 'north-a');
  await fleet.addGateway(2, 'north-a');
  await fleet.addGateway(3, 'west-a');
  await Promise.all([...LOCAL_NODES, REMOTE_NODE].map((node) => fleet.until(() => isReady(node))));
});

afterEach(() => fleet.stop());

async function isReady(node: string): Promise<boolean> {
  const { state } = fleet.gateway(node);
  const isLocal = node !== REMOTE_NODE;
  const knows = [MODEL_SERVICE, PLAIN_SERVICE].every((service) =>
    isLocal
      ? state.usableTargets(service).length === TARGETS_PER_SERVICE
      : state.servesVersion('north', service, 'v1'),
  );
  return knows && fleet.isReady(node);
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** A stream whose first segment is that of all others; no two have the last one. */
function ask(segment: string, index: number, headers: Record<string, string> = {}): ClientRequest {
  return {
    path: '/stream/x',
    body: `question ${segment} ${index}`,
    headers: {
      model: 'm',
      'token-count': '900,40',
      'prompt-prefix': `system:500,${segment}:300,own-${segment}-${index}:100`,
      ...headers,
    },
  };
}

/** Sends requests one after the other by turns to some gateways, with sound ones beside each. */
async function sendAll(
  nodes: readonly string[],
  bad: (index: number) => ClientRequest,
  sound: (index: number) => ClientRequest,
  from = 0,
): Promise<void> {
  if (from === BAD_REQUESTS) return;
  const node = nodes[from % nodes.length] ?? '';
  await Promise.all([
    ...[bad(from), sound(2 * from), sound(2 * from + 1)].map((req) =>
      fleet.send(node, req).catch(() => undefined),
    ),
    pause(PAUSE_MS),
  ]);
  await sendAll(nodes, bad, sound, from + 1);
}

/** Checks that bad requests are refused at last, and sound ones served. */
async function checkRefusal(
  nodes: readonly string[],
  isBad: (run: TargetRun) => boolean,
  bad: (index: number) => ClientRequest,
  sound: (index: number) => ClientRequest,
): Promise<void> {
  targets.forEach((target) => Object.assign(target, { crashesOn: isBad }));
  await sendAll(nodes, bad, sound);
  const badRuns = targets.flatMap(({ runs }) => runs).filter(isBad);
  assert.ok(badRuns.length >= 3 && badRuns.length <= MAX_BAD_RUNS, `${badRuns.length} bad runs`);
  const refused = await Promise.all(nodes.map((node) => fleet.send(node, bad(BAD_REQUESTS))));
  refused.forEach(({ status }) => assert.equal(status, 503));
  const served = await Promise.all(
    nodes.map((node, index) => fleet.send(node, sound(100 + index))),
  );
  served.forEach(({ status }) => assert.equal(status, 200));
}

const isBadPrompt = (run: TargetRun): boolean => hasSegment(run, BAD_SEGMENT);
const askBad = (index: number): ClientRequest => ask(BAD_SEGMENT, index);
const askSound = (index: number): ClientRequest => ask(`document-${index % 3}`, index);

const MOMENTS = [
  { name: 'in the first event', crashMoment: CrashMoment.HalfEvent },
  { name: 'after the first event', crashMoment: CrashMoment.BetweenEvents, breaksAfter: 1 },
  {
    name: 'long after the first event',
    crashMoment: CrashMoment.BetweenEvents,
    breaksAfter: 5,
    eventIntervalMs: 100,
  },
  { name: 'before the end', crashMoment: CrashMoment.BeforeEnd },
];

// Guards against a part of a prompt that is never refused because its targets crash after the first
// byte of their answers (BUDGET), and against refusing what is sound beside it (LOST).
MOMENTS.forEach(({ name, ...target }) => {
  test(`a segment that crashes targets ${name} is refused`, () => {
    targets.forEach((each) => Object.assign(each, target));
    return checkRefusal(LOCAL_NODES, isBadPrompt, askBad, askSound);
  });

  test(`a segment that crashes targets ${name} is refused where requests are forwarded`, () => {
    targets.forEach((each) => Object.assign(each, target));
    return checkRefusal([REMOTE_NODE], isBadPrompt, askBad, askSound);
  });
});

// Guards against a part that is cleared by streams which callers take up near their end.
test('a segment is refused although callers take up its streams behind what crashes targets', () => {
  targets.forEach((each) =>
    Object.assign(each, { crashMoment: CrashMoment.BetweenEvents, breaksAfter: 4 }),
  );
  const isBad = (run: TargetRun): boolean =>
    isBadPrompt(run) && run.headers['last-event-id'] === undefined;
  const takenUp = { 'last-event-id': '5', resumes: 'earlier' };
  return checkRefusal(LOCAL_NODES, isBad, askBad, (index) =>
    index % 2 === 0 && index < 100 ? ask(BAD_SEGMENT, index, takenUp) : askSound(index),
  );
});

// Guards against a plain request that is never refused because its targets crash in the middle of the body.
test('a plain request that crashes targets while they write its body is refused', () => {
  targets.forEach((each) => Object.assign(each, { crashMoment: CrashMoment.HalfBody }));
  return checkRefusal(
    LOCAL_NODES,
    ({ body }) => body === BAD_BODY,
    () => ({ path: '/read/7', body: BAD_BODY }),
    (index) => ({ path: '/read/7', body: `other ${index}` }),
  );
});

// Guards against refusing prompts that were running on targets which crashed by themselves or lost
// their connections.
test('segments of streams are not refused while targets crash by themselves', async () => {
  targets.forEach((each) => Object.assign(each, { eventIntervalMs: 100 }));
  const warm = Array.from({ length: 6 }, (_, index) => fleet.send('vm-1', askSound(index)));
  await Promise.all(warm);
  const turns = { count: 0 };
  const isUnlucky = (run: TargetRun): boolean => {
    if (run.headers['last-event-id'] !== undefined) return false;
    turns.count += 1;
    return turns.count % 4 === 0;
  };
  targets.forEach((each) =>
    Object.assign(each, {
      crashesOn: isUnlucky,
      crashMoment: CrashMoment.BetweenEvents,
      breaksAfter: 3,
    }),
  );
  await sendAll(LOCAL_NODES, askSound, askSound);
  targets.forEach((each) => Object.assign(each, { crashesOn: () => false }));
  await pause(PAUSE_MS);
  const served = await Promise.all(
    [0, 1, 2].map((index) => fleet.send('vm-1', ask(`document-${index}`, 200 + index))),
  );
  served.forEach(({ status }) => assert.equal(status, 200));
});
