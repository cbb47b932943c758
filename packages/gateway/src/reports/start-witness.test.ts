import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StartEvidence } from '@marjoramcart/core';
import { ManualTimerService } from '@marjoramcart/runtime';
import type { TargetEntry } from '../state/target-entry.js';
import { StartWitness } from './start-witness.js';

/** Longer than entries of new starts take. */
const LONG_MS = 12_000;

function createFixture() {
  const timers = new ManualTimerService();
  const listedAt = timers.now();
  const entry = {
    id: 'i-1',
    record: { id: 'i-1', bornAt: 5 },
    evidence: new StartEvidence(),
    awaitsRecord: false,
    isDoubted: () => true,
    knownForMs: (now: number) => now - listedAt,
  };
  const confirmedAt: number[] = [];
  const state = {
    listed: entry as unknown,
    target: () => state.listed as TargetEntry,
    tellsStart: () => true,
    sourceSteadyMs: Infinity,
    onStart: (_target: unknown, askedAt: number) => confirmedAt.push(askedAt) > 0,
  };
  const witness = new StartWitness({ state, timers });
  return {
    timers,
    entry: entry as unknown as TargetEntry,
    raw: entry,
    state,
    witness,
    confirmedAt,
  };
}

// Guards against streams that are not taken up where targets send no reports (LOST).
test('a connection that is older than the entry of a later start would be proves the known start', () => {
  const { timers, entry, witness, confirmedAt } = createFixture();
  const kept = timers.now();
  timers.advance(LONG_MS);
  const fresh = timers.now();
  witness.onAnswer(entry, fresh, fresh);
  assert.equal(witness.proves(entry, fresh), false);
  timers.advance(10);
  // The process that answers there is the one that has accepted the other connection before.
  witness.onAnswer(entry, kept, timers.now());
  assert.equal(witness.proves(entry, fresh), true);
  assert.deepEqual(confirmedAt, [timers.now()]);
});

// Guards against a target that starts again unseen while the source is away or its entry is late (ORDER).
test('an old connection proves nothing while its entry may be outdated', () => {
  const { timers, entry, raw, state, witness } = createFixture();
  const kept = timers.now();
  timers.advance(LONG_MS);
  state.sourceSteadyMs = 0;
  assert.equal(witness.proves(entry, kept), false);
  state.sourceSteadyMs = Infinity;
  raw.awaitsRecord = true;
  assert.equal(witness.proves(entry, kept), false);
  raw.awaitsRecord = false;
  state.listed = undefined;
  assert.equal(witness.proves(entry, kept), false);
});
