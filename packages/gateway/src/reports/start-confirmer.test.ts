import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StartEvidence } from '@marjoramcart/core';
import { ManualTimerService } from '@marjoramcart/runtime';
import type { TargetEntry } from '../state/target-entry.js';
import type { PolledReport } from './report-poller.js';
import { StartConfirmer } from './start-confirmer.js';
import { StartWitness } from './start-witness.js';

const STEP_MS = 50;
const LIMIT_MS = 1500;

/** A target with a known start, and a confirmer that asks it. */
function createFixture({ tellsStart = true } = {}) {
  const timers = new ManualTimerService();
  const evidence = new StartEvidence();
  const entry = {
    id: 'i-1',
    record: { id: 'i-1', bornAt: 5 },
    evidence,
    isDoubted: () => false,
    knownForMs: () => 0,
  } as unknown as TargetEntry;
  const fixture = {
    timers,
    entry,
    /** What the target answers; a number is its start time. */
    answer: 5 as PolledReport['kind'] | number,
    answerMs: 0,
    polls: 0,
    listed: entry as TargetEntry | undefined,
  };
  const state = {
    target: () => fixture.listed,
    usableEngines: () => [entry],
    tellsStart: () => tellsStart,
    sourceSteadyMs: 0,
    onStart: () => false,
  };
  const witness = new StartWitness({ state, timers });
  const poll = async (): Promise<PolledReport> => {
    const askedAt = timers.now();
    fixture.polls += 1;
    await new Promise<void>((resolve) => {
      timers.after(fixture.answerMs, resolve);
    });
    const { answer } = fixture;
    if (answer === 'report') return { kind: 'report', report: { requests: 0 } };
    if (typeof answer !== 'number') return { kind: answer };
    if (answer === entry.record.bornAt) witness.onTold(entry, askedAt);
    return { kind: 'report', report: { requests: 0, bornAt: answer } };
  };
  const confirmer = new StartConfirmer({ node: 'vm-1', state, witness, poller: { poll }, timers });
  return Object.assign(fixture, { confirmer, witness });
}

type Fixture = ReturnType<typeof createFixture>;

/** Lets time pass until a promise is settled. */
async function settled<T>({ timers }: Fixture, promise: Promise<T>, steps = 60): Promise<T> {
  const result: { value?: T; done: boolean } = { done: false };
  void promise.then((value) => Object.assign(result, { value, done: true }));
  const pass = async (left: number): Promise<void> => {
    if (result.done || left === 0) return;
    timers.advance(STEP_MS);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    await pass(left - 1);
  };
  await pass(steps);
  assert.ok(result.done, 'not settled in time');
  return promise;
}

// Guards against a stream that goes on at a start of another version, which no connection told of (ORDER).
test('a connection is proved only by a word of the known start that is asked for after it was opened', async () => {
  const fixture = createFixture();
  const { confirmer, entry, timers } = fixture;
  await settled(fixture, confirmer.ask(entry).answer);
  const openedAt = timers.now();
  assert.equal(confirmer.proves(entry, openedAt), false);
  assert.equal(await settled(fixture, confirmer.prove(entry, openedAt, LIMIT_MS)), true);
  fixture.answer = 6;
  const later = timers.now();
  const proof = confirmer.prove(entry, later, LIMIT_MS);
  fixture.listed = { ...entry } as TargetEntry;
  assert.equal(await settled(fixture, proof), false);
});

// Guards against a question from before the connection, whose late answer is taken for a proof (ORDER).
test('a connection that is opened while a target is asked is proved by the answer to another question', async () => {
  const fixture = createFixture();
  const { confirmer, entry, timers } = fixture;
  fixture.answerMs = 200;
  const earlier = confirmer.ask(entry).answer;
  timers.advance(2 * STEP_MS);
  const proof = confirmer.prove(entry, timers.now(), LIMIT_MS);
  assert.equal(fixture.polls, 2);
  await settled(fixture, earlier);
  assert.equal(confirmer.proves(entry, timers.now()), false);
  assert.equal(await settled(fixture, proof), true);
});

// Guards against streams that are not taken up while reports are late or fail for some seconds (LOST).
test('a target whose start was proved is not ruled out by a report that is late or fails', async () => {
  const fixture = createFixture();
  const { confirmer, entry, timers } = fixture;
  fixture.answerMs = 800;
  assert.equal(await settled(fixture, confirmer.prove(entry, timers.now(), LIMIT_MS)), true);
  timers.advance(LIMIT_MS);
  assert.equal(await settled(fixture, confirmer.confirm(entry)), 'confirmed');
  Object.assign(fixture, { answer: 'none', answerMs: 0 });
  timers.advance(LIMIT_MS);
  assert.equal(await settled(fixture, confirmer.confirm(entry)), 'confirmed');
});

test('a target is ruled out if it refuses connections, started again, or never told its start', async () => {
  const refusing = createFixture();
  refusing.answer = 'refused';
  assert.equal(await settled(refusing, refusing.confirmer.confirm(refusing.entry)), 'unreachable');
  const restarted = createFixture();
  Object.assign(restarted, { answer: 6, listed: { ...restarted.entry } });
  assert.equal(
    await settled(restarted, restarted.confirmer.confirm(restarted.entry)),
    'unconfirmed',
  );
  const silent = createFixture();
  silent.answer = 'none';
  assert.equal(await settled(silent, silent.confirmer.confirm(silent.entry)), 'unconfirmed');
});

// Guards against a flood of questions where reports are late and connections are opened all the time.
test('a target whose answers are late is asked at a bounded rate', async () => {
  const fixture = createFixture();
  const { confirmer, entry, timers } = fixture;
  fixture.answerMs = LIMIT_MS;
  Array.from({ length: 100 }).forEach(() => {
    timers.advance(10);
    confirmer.ask(entry, timers.now());
  });
  assert.ok(fixture.polls <= 10, `${fixture.polls} questions in a second`);
});

test('streams that go on at a target at the same time share one poll', async () => {
  const fixture = createFixture();
  const { confirmer, entry, timers } = fixture;
  const both = Promise.all([confirmer.confirm(entry), confirmer.confirm(entry)]);
  await settled(fixture, both);
  assert.equal(fixture.polls, 1);
  timers.advance(LIMIT_MS);
  await settled(fixture, confirmer.confirm(entry));
  assert.equal(fixture.polls, 2);
});

test('a target that tells no start time is not asked', async () => {
  const { confirmer, entry, polls } = createFixture({ tellsStart: false });
  assert.equal(await confirmer.confirm(entry), 'confirmed');
  assert.equal(polls, 0);
});
