import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ANY_REGION, RouteKind, type FleetConfig, type TargetRecord } from '@marjoramcart/core';
import { ManualTimerService, Metrics, silentLogger } from '@marjoramcart/runtime';
import { GatewayState } from '../state/gateway-state.js';
import { StateMetrics } from '../state/state-metrics.js';
import type { TargetEntry } from '../state/target-entry.js';
import type { PolledReport } from './report-poller.js';
import { RestartCheck } from './restart-check.js';

const SERVICE = 'model';
const MINUTE_MS = 60_000;
const STEP_MS = 50;
const TARGET: TargetRecord = {
  id: 'i-1',
  service: SERVICE,
  address: '10.0.0.1:80',
  failureDomain: 'north-a',
  region: 'north',
  slots: 8,
  draining: false,
  coldForMs: 0,
  bornAt: 5,
};
const CONFIG: FleetConfig = {
  version: 1,
  routes: [
    {
      name: 'read',
      host: 'api.example',
      prefix: '/',
      kind: RouteKind.Repeatable,
      timeoutMs: 1000,
      latencyTargetMs: 100,
      patienceMs: 1000,
      priority: 0,
      services: [{ service: SERVICE, weight: 1 }],
      maxAttempts: 1,
      resumable: false,
      regions: ANY_REGION,
    },
  ],
  services: new Map([
    [
      SERVICE,
      { name: SERVICE, warmupMs: 3000, coldRequestsPerS: 2, engine: { kvCapacityTokens: 1 } },
    ],
  ]),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 },
};

interface Fixture {
  readonly timers: ManualTimerService;
  readonly state: GatewayState;
  readonly check: RestartCheck;
  /** What the target answers; a number is its start time. */
  answer: PolledReport['kind'] | number;
  polls: number;
  readonly told: string[];
}

function createFixture(): Fixture {
  const timers = new ManualTimerService();
  const state: GatewayState = new GatewayState(
    'north',
    timers,
    silentLogger(),
    new StateMetrics(new Metrics(), () => state),
    () => undefined,
  );
  state.onState({ era: 0, revision: 1, config: CONFIG, targets: [TARGET], evacuated: new Set() });
  const told: string[] = [];
  const target: Pick<Fixture, 'answer' | 'polls'> = { answer: 'none', polls: 0 };
  const poll = async ({ record }: TargetEntry): Promise<PolledReport> => {
    const askedAt = timers.now();
    target.polls += 1;
    await Promise.resolve();
    const { answer } = target;
    if (answer === 'report') return { kind: 'report', report: { requests: 0 } };
    if (typeof answer !== 'number') return { kind: answer };
    state.onStart({ ...record, bornAt: answer }, askedAt);
    return { kind: 'report', report: { requests: 0, bornAt: answer } };
  };
  const check = new RestartCheck({
    state,
    poller: { poll },
    timers,
    watches: () => true,
    onLinkFailure: () => Promise.resolve(false),
    announceUnreachable: () => told.push('unreachable'),
    announceStart: ({ bornAt }) => told.push(`start ${bornAt}`),
  });
  return Object.assign(target, { timers, state, check, told });
}

/** Lets time pass in small steps, so that questions are answered in between. */
async function pass(fixture: Pick<Fixture, 'timers'>, ms: number): Promise<void> {
  fixture.timers.advance(STEP_MS);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  if (ms > STEP_MS) await pass(fixture, ms - STEP_MS);
}

function entryOf({ state }: Fixture): TargetEntry {
  const entry = state.target(TARGET.id);
  assert.ok(entry);
  return entry;
}

function coldMs(fixture: Fixture): number {
  return entryOf(fixture).coldForMs(fixture.timers.now());
}

// Guards against a target that restarts while nothing can connect and is warm again too early.
test('a target that is down for long is cold until its warm-up after the restart is over', async () => {
  const fixture = createFixture();
  await fixture.check.start();
  fixture.answer = 'refused';
  fixture.check.onConnectionLost(entryOf(fixture));
  await pass(fixture, 10_000);
  assert.ok(coldMs(fixture) > 3000);
  fixture.answer = 6;
  await pass(fixture, 1500);
  assert.equal(entryOf(fixture).record.bornAt, 6);
  assert.ok(coldMs(fixture) > 1000);
  await pass(fixture, 3500);
  assert.equal(coldMs(fixture), 0);
});

// Guards against targets that stay cold, or are kept out, since one gateway can't reach them.
test('a target that one gateway can not reach is used as before by another one that can', async () => {
  const fixture = createFixture();
  await fixture.check.start();
  fixture.answer = 5;
  fixture.check.onTold(entryOf(fixture));
  assert.ok(coldMs(fixture) > 0);
  await pass(fixture, STEP_MS);
  assert.equal(coldMs(fixture), 0);
  assert.ok(entryOf(fixture).work.avoidedUntil <= fixture.timers.now());
  assert.deepEqual(fixture.told, []);
});

test('the region is told when a target that was unreachable has not restarted', async () => {
  const fixture = createFixture();
  await fixture.check.start();
  fixture.check.onUnreachable(entryOf(fixture));
  fixture.answer = 5;
  await pass(fixture, 500);
  assert.deepEqual(fixture.told, ['unreachable', 'start 5']);
  assert.equal(coldMs(fixture), 0);
});

test('a sign that comes after the question stands', () => {
  const { state, timers, check } = createFixture();
  const entry = state.target(TARGET.id);
  assert.ok(entry);
  const askedAt = timers.now();
  timers.advance(10);
  check.onUnreachable(entry);
  state.onStart(TARGET, askedAt);
  assert.ok(entry.coldForMs(timers.now()) > 0);
});

test('an earlier start that is told late does not replace the present one', () => {
  const { state, timers } = createFixture();
  state.onStart({ ...TARGET, bornAt: 6 }, timers.now());
  state.onPeerStart(TARGET, 'vm-2');
  state.onStart(TARGET, timers.now());
  state.onState({ era: 0, revision: 2, config: CONFIG, targets: [TARGET], evacuated: new Set() });
  assert.equal(state.target(TARGET.id)?.record.bornAt, 6);
  // The clock of the target may have gone back.
  state.onStart({ ...TARGET, bornAt: 4 }, timers.now());
  assert.equal(state.target(TARGET.id)?.record.bornAt, 4);
});

// Guards against the late entry of a start in between, whose version streams get and go on at (ORDER).
test('the entry of a start between two known ones does not replace the one that the target told', () => {
  const { state, timers } = createFixture();
  const between = { ...TARGET, bornAt: 6, softwareVersion: 'v3' };
  const list = (revision: number): void =>
    state.onState({ era: 0, revision, config: CONFIG, targets: [between], evacuated: new Set() });
  state.onStart({ ...TARGET, bornAt: 8 }, timers.now());
  list(2);
  assert.equal(state.target(TARGET.id)?.record.bornAt, 8);
  // The clock of the target may have gone back, so that an entry which stays is believed until it is asked.
  timers.advance(MINUTE_MS);
  list(3);
  assert.equal(state.target(TARGET.id)?.record.bornAt, 6);
  assert.equal(state.target(TARGET.id)?.softwareVersionAt(timers.now()), undefined);
});

// Guards against an answer that a pause of the process held up, and that tells of the start before (ORDER).
test('a start that was told before a later one was known does not replace it', () => {
  const { state, timers } = createFixture();
  const askedAt = timers.now();
  timers.advance(10);
  state.onStart({ ...TARGET, bornAt: 8 }, timers.now());
  state.onStart({ ...TARGET, bornAt: 7 }, askedAt);
  assert.equal(state.target(TARGET.id)?.record.bornAt, 8);
  timers.advance(10);
  state.onStart({ ...TARGET, bornAt: 7 }, timers.now());
  assert.equal(state.target(TARGET.id)?.record.bornAt, 7);
});

test('a target that is down is asked and told of at a bounded rate', async () => {
  const fixture = createFixture();
  await fixture.check.start();
  fixture.answer = 'refused';
  fixture.check.onConnectionLost(entryOf(fixture));
  await pass(fixture, MINUTE_MS);
  assert.ok(fixture.polls <= 66, `${fixture.polls} questions in a minute`);
  assert.ok(fixture.told.length <= 41, `told ${fixture.told.length} times in a minute`);
});

// Guards against streams that go on at targets which started again with another version while their
// gateway was frozen (ORDER).
test('the version of a target is in doubt after a pause, until it tells its start; it is not cold', async () => {
  const fixture = createFixture();
  await fixture.check.start();
  fixture.answer = 5;
  await pass(fixture, 1000);
  fixture.answer = 'silent';
  fixture.timers.pause(3500);
  const now = fixture.timers.now();
  assert.equal(entryOf(fixture).isDoubted(now), true);
  assert.equal(entryOf(fixture).coldForMs(now), 0);
  fixture.answer = 5;
  await pass(fixture, 1000);
  assert.equal(entryOf(fixture).isDoubted(fixture.timers.now()), false);
});

// Guards against flooding a target of which another gateway told, since only its version was in doubt.
test('a target that is told to be unreachable after a pause is cold', async () => {
  const fixture = createFixture();
  await fixture.check.start();
  fixture.answer = 5;
  await pass(fixture, 1000);
  fixture.answer = 'silent';
  fixture.timers.pause(3500);
  fixture.check.onTold(entryOf(fixture));
  assert.ok(entryOf(fixture).coldForMs(fixture.timers.now()) > 0);
});
