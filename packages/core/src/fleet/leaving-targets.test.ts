import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeavingTargets, type TargetIncarnation } from './leaving-targets.js';

const TARGET: TargetIncarnation = { id: 'i-1', address: '10.0.0.1:80', bornAt: 5 };
const MINUTES_MS = 60_000;

test('only the start of a target that said so is leaving, not another one with its id or its address', () => {
  const leaving = new LeavingTargets();
  assert.equal(leaving.onLeaving(TARGET, 0), true);
  assert.equal(leaving.onLeaving(TARGET, 10), false);
  assert.equal(leaving.isLeaving({ ...TARGET }), true);
  assert.equal(leaving.isLeaving({ ...TARGET, bornAt: 6 }), false);
  assert.equal(leaving.isLeaving({ ...TARGET, id: 'i-2' }), false);
  assert.equal(leaving.isLeaving({ ...TARGET, address: '10.0.0.2:80' }), false);
});

test('gateways that tell each other of a leaving target do not keep it for ever', () => {
  const one = new LeavingTargets();
  const other = new LeavingTargets();
  one.onLeaving(TARGET, 0);
  Array.from({ length: 20 }, (_, minute) => minute * MINUTES_MS).forEach((now) => {
    one.rows(8, now).forEach((row) => other.onLeaving(row, now, row.ageMs));
    other.rows(8, now).forEach((row) => one.onLeaving(row, now, row.ageMs));
    [one, other].forEach((leaving) => leaving.expire(now));
  });
  assert.equal(one.size + other.size, 0);
});

test('the number of leaving targets is bounded, and the latest ones are told first', () => {
  const leaving = new LeavingTargets();
  Array.from({ length: 5000 }, (_, index) => ({ ...TARGET, id: `i-${index}` })).forEach((target) =>
    leaving.onLeaving(target, 0),
  );
  assert.equal(leaving.size, 4096);
  assert.deepEqual(
    leaving.rows(2, 7).map(({ id, ageMs }) => [id, ageMs]),
    [
      ['i-4998', 7],
      ['i-4999', 7],
    ],
  );
  assert.deepEqual(leaving.rows(2, 7, 7), []);
});
