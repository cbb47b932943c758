import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TargetPauses } from './target-pauses.js';

const TARGET = { id: 'i-1', address: '10.0.0.1:80', bornAt: 5 };

test('a pause holds for one start of a target, until its end', () => {
  const pauses = new TargetPauses();
  assert.equal(pauses.onPause(TARGET, 4000, 1000), true);
  assert.equal(pauses.opensInMs(TARGET, 2000), 3000);
  assert.equal(pauses.opensInMs({ ...TARGET, bornAt: 6 }, 2000), 0);
  assert.equal(pauses.opensInMs(TARGET, 5000), 0);
});

test('a later word does not shorten a pause, and long pauses are limited', () => {
  const pauses = new TargetPauses();
  pauses.onPause(TARGET, 4000, 0);
  assert.equal(pauses.onPause(TARGET, 500, 1000), false);
  assert.equal(pauses.opensInMs(TARGET, 1000), 3000);
  pauses.onPause(TARGET, 1e9, 1000);
  assert.equal(pauses.opensInMs(TARGET, 1000), 60_000);
});

test('pauses that are over are forgotten', () => {
  const pauses = new TargetPauses();
  pauses.onPause(TARGET, 1000, 0);
  pauses.expire(1000);
  assert.equal(pauses.onPause(TARGET, 1000, 1000), true);
});
