import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LogFields, Logger } from '../logs/logger.js';
import { ManualTimerService } from '../timers/manual-timer-service.js';
import { LoopWatch } from './loop-watch.js';
import { Metrics } from './metrics.js';

// Guards against a gateway that is short of processor time and says so nowhere.
test('an event loop that is late is told in the log once a second, with the processor time used', async () => {
  const timers = new ManualTimerService();
  const metrics = new Metrics();
  const lines: LogFields[] = [];
  const log = { warn: (_message: string, fields: LogFields) => lines.push(fields) };
  let skippedMs = 0;
  let processorMs = 500;
  const watch = new LoopWatch({
    timers: { every: (ms, fn) => timers.every(ms, fn), now: () => timers.now() + skippedMs },
    metrics,
    log: log as unknown as Logger,
    fields: () => ({ in_flight: 7 }),
    processorMs: () => processorMs,
  });
  watch.start();
  timers.advance(1000);
  assert.equal(watch.delayMs, 0);
  assert.deepEqual(lines, []);
  skippedMs += 250;
  assert.equal(watch.delayMs, 250 - 100);
  processorMs += 30;
  timers.advance(100);
  assert.deepEqual(lines, [
    { loop_delay_ms: 250, processor_ms: 30, since_ms: undefined, in_flight: 7 },
  ]);
  skippedMs += 200;
  timers.advance(100);
  assert.equal(lines.length, 1);
  assert.match(await metrics.text(), /marjoramcart_loop_delay_seconds 0\.25/);
  timers.advance(1100);
  assert.equal(watch.delayMs, 0);
});
