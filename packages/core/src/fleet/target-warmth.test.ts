import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TargetWarmth } from './target-warmth.js';

test('a target whose entry is up to date counts as warm', () => {
  const warmth = new TargetWarmth();
  warmth.confirm(0);
  assert.equal(warmth.coldForMs(60_000), 0);
});

// Guards against targets that a gateway which is cut off takes for warm for as long as it is cut off.
test('a target in doubt counts as cold until it says that it is warm, and again later', () => {
  const warmth = new TargetWarmth();
  warmth.doubt(100, true);
  warmth.doubt(900, true);
  assert.equal(warmth.coldForMs(900), 0);
  assert.ok(warmth.coldForMs(1100) > 0);
  warmth.confirm(1200);
  assert.equal(warmth.coldForMs(2100), 0);
  assert.ok(warmth.coldForMs(2200) > 0);
});

test('a target counts as warm once its entry is up to date again', () => {
  const warmth = new TargetWarmth();
  warmth.doubt(0, true);
  assert.equal(warmth.mayTurnCold, true);
  warmth.trust();
  assert.equal(warmth.coldForMs(5000), 0);
  assert.equal(warmth.mayTurnCold, false);
});
