import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemTimerService } from './system-timer-service.js';

test('a timer that is added later but due earlier runs first', async () => {
  // Guards against a tick that stays scheduled for the first timer.
  const timers = new SystemTimerService();
  const order: string[] = [];
  await new Promise<void>((resolve) => {
    timers.after(90, () => {
      order.push('late');
      resolve();
    });
    timers.after(15, () => order.push('early'));
  });
  timers.close();
  assert.deepEqual(order, ['early', 'late']);
});

test('a pause of a blocked process is announced once, before the timers that came due', async () => {
  // Guards against a pause that is missed by a tick without due timers or announced twice.
  const timers = new SystemTimerService();
  const order: string[] = [];
  timers.onPause(() => order.push('pause'));
  await new Promise<void>((resolve) => {
    timers.after(20, () => {
      order.push('timer');
      resolve();
    });
    const until = performance.now() + 1700;
    // eslint-disable-next-line no-empty
    while (performance.now() < until) {}
  });
  timers.checkPause();
  timers.close();
  assert.deepEqual(order, ['pause', 'timer']);
});
