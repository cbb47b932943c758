import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TargetSpeed, USUAL_BASELINE } from './target-speed.js';
import { TargetWork } from './target-work.js';

// Guards against taking a queue for a slow target.
test('time that was spent waiting for other work does not make a target look slow', () => {
  const speed = new TargetSpeed();
  Array.from({ length: 20 }, (_, index) => index * 100).forEach((now) =>
    speed.onTime({ measuredMs: 660, serviceMs: 60, waitMs: 500 }, now),
  );
  assert.equal(speed.factors(USUAL_BASELINE, 2000).absolute, 1);
});

// Guards against noticing a slow target only when its first slow response is complete.
test('requests that are overdue raise the factor before they are answered', () => {
  const work = new TargetWork(1);
  ['a', 'b', 'c'].forEach((id) =>
    work.onSend(id, { prefillMs: 0, priority: 0, expectedMs: 60 }, undefined, 0),
  );
  assert.equal(work.speedFactors(USUAL_BASELINE, 50).absolute, 1);
  assert.ok(work.speedFactors(USUAL_BASELINE, 180).relative >= 3);
});

// Guards against waiting long for requests after a silent cut of all links has ended.
test('requests that hang on dead connections do not make a target look slow', () => {
  const work = new TargetWork(1);
  const ids = ['a', 'b', 'c'];
  ids.forEach((id) => work.onSend(id, { prefillMs: 0, priority: 0, expectedMs: 60 }, undefined, 0));
  assert.equal(work.speedFactors(USUAL_BASELINE, 2000).absolute, 1);
  ids.forEach((id) => work.onEnd(id, 3000));
  assert.equal(work.speedFactors(USUAL_BASELINE, 3000).absolute, 1);
});

// Guards against streams that crawl at a target whose first events come in time.
test('gaps between events that are longer than usual raise the factor, and age within a second', () => {
  const speed = new TargetSpeed();
  Array.from({ length: 20 }, (_, index) => index * 20).forEach((now) => speed.onGap(5, now));
  assert.ok(speed.factors(USUAL_BASELINE, 400).relative > 2);
  assert.ok(speed.factors(USUAL_BASELINE, 2400).relative < 1.2);
});
