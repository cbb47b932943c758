import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TargetIncarnation } from './leaving-targets.js';
import { TargetLimits } from './target-limits.js';

const TARGET: TargetIncarnation = { id: 'i-1', address: '10.0.0.1:80', bornAt: 5 };

test('what a target said last about its limit holds, in whatever order gateways hear of it', () => {
  const limits = new TargetLimits();
  assert.equal(limits.onSaid(TARGET, undefined, 0), false);
  assert.equal(limits.onSaid(TARGET, 3, 1000), true);
  assert.equal(limits.onSaid(TARGET, 3, 1500), false);
  assert.equal(limits.onSaid(TARGET, undefined, 1600, 200), false);
  assert.equal(limits.limitOf(TARGET), 3);
  assert.equal(limits.onSaid(TARGET, 1.5, 2000, 100), true);
  assert.equal(limits.limitOf(TARGET), 1.5);
  assert.equal(limits.onSaid(TARGET, undefined, 2100), true);
  assert.equal(limits.limitOf(TARGET), undefined);
  assert.equal(limits.onSaid(TARGET, 1.5, 2200, 500), false);
  assert.equal(limits.limitOf(TARGET), undefined);
  assert.equal(limits.size, 0);
});

test('a limit holds for one start of a target, and ends when it was not confirmed for a minute', () => {
  const limits = new TargetLimits();
  limits.onSaid(TARGET, 2, 0);
  assert.equal(limits.limitOf({ ...TARGET, bornAt: 6 }), undefined);
  limits.onSaid(TARGET, 2, 30_000);
  assert.deepEqual(limits.expire(80_000), []);
  assert.deepEqual(limits.expire(90_000), [TARGET]);
  assert.equal(limits.limitOf(TARGET), undefined);
});

test('rows tell the latest values first, also that a limit has ended, and their number is bounded', () => {
  const limits = new TargetLimits();
  const targets = Array.from({ length: 5000 }, (_, index) => ({ ...TARGET, id: `i-${index}` }));
  targets.forEach((target) => limits.onSaid(target, 1, 0));
  assert.equal(limits.size, 4096);
  limits.onSaid({ ...TARGET, id: 'i-4000' }, undefined, 10);
  assert.deepEqual(
    limits.rows(2, 20).map(({ id, requestsPerS, ageMs }) => [id, requestsPerS, ageMs]),
    [
      ['i-4999', 1, 20],
      ['i-4000', undefined, 10],
    ],
  );
  assert.deepEqual(
    limits.rows(2, 20, 15).map(({ id }) => id),
    ['i-4000'],
  );
});
