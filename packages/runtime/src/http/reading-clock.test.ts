import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReadingClock, ReadingClockLimits } from './reading-clock.js';

const { IntervalMs, MaxStepMs } = ReadingClockLimits;

// Guards against clients that never count as silent, and against ones that do after a long turn.
test('the clock follows the time while connections are polled, and a long turn by a bound', () => {
  const wall = { now: 1000 };
  const clock = new ReadingClock(() => wall.now);
  const from = clock.now();
  Array.from({ length: 10 }).forEach(() => {
    wall.now += IntervalMs;
    clock.onPoll();
  });
  assert.equal(clock.now() - from, 10 * IntervalMs);
  wall.now += 10;
  const before = clock.now();
  assert.equal(before - from, 10 * IntervalMs + 10);
  wall.now += 60 * MaxStepMs;
  assert.equal(clock.now() - from, 10 * IntervalMs + MaxStepMs);
  clock.onPoll();
  assert.equal(clock.now() - from, 10 * IntervalMs + MaxStepMs);
});
