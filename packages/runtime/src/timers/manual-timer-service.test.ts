import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualTimerService } from './manual-timer-service.js';

test('a pause is announced before the timers that came due during it run', () => {
  // Guards against timers that act on stale state right after a suspended process resumes.
  const timers = new ManualTimerService();
  const seen: string[] = [];
  timers.every(100, () => seen.push('timer'));
  timers.onPause(({ durationMs }) => seen.push(`pause ${durationMs}`));
  timers.pause(5000);
  assert.deepEqual(seen, ['pause 5000', 'timer']);
});

test('a repeating timer runs once per interval and no longer after it is unsubscribed', () => {
  const timers = new ManualTimerService();
  const times: number[] = [];
  const unsubscribe = timers.every(100, () => times.push(timers.now()));
  timers.advance(250);
  unsubscribe();
  timers.advance(1000);
  assert.deepEqual(times, [100, 200]);
});
