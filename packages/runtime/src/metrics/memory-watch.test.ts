import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LogFields, Logger } from '../logs/logger.js';
import { ManualTimerService } from '../timers/manual-timer-service.js';
import { MemoryWatch } from './memory-watch.js';
import { Metrics } from './metrics.js';

const MB = 1024 * 1024;

test('memory that no part counts is told in the log and in the metrics', async () => {
  // Guards against a process that ends for its memory and leaves no trace of what took it up.
  const timers = new ManualTimerService();
  const metrics = new Metrics();
  const lines: LogFields[] = [];
  const log = { warn: (_message: string, fields: LogFields) => lines.push(fields) };
  let rss = 79 * MB;
  new MemoryWatch({
    limitBytes: 100 * MB,
    held: { bodies: () => 2 * MB },
    timers,
    metrics,
    log: log as unknown as Logger,
    usage: () => ({ rss, heapUsed: 12 * MB, external: 60 * MB }),
  }).start();
  timers.advance(3000);
  assert.deepEqual(lines, []);
  rss = 85 * MB;
  timers.advance(9000);
  const expected = { limit_mb: 100, resident_mb: 85, heap_mb: 12, external_mb: 60, bodies_mb: 2 };
  assert.deepEqual(lines, [expected]);
  timers.advance(10_000);
  assert.equal(lines.length, 2);
  assert.match(await metrics.text(), /marjoramcart_held_bytes\{part="bodies"\} 2097152/);
});

test('a process whose memory can not be read goes on', () => {
  // Guards against a process that ends when it has no descriptor left to read its memory.
  const timers = new ManualTimerService();
  const lines: string[] = [];
  const log = { warn: (message: string) => lines.push(message) };
  const failed = new Error('EMFILE: too many open files, uv_resident_set_memory');
  new MemoryWatch({
    limitBytes: 100 * MB,
    held: {},
    timers,
    metrics: new Metrics(),
    log: log as unknown as Logger,
    usage: () => {
      throw failed;
    },
  }).start();
  timers.advance(3000);
  assert.deepEqual(lines, ['memory could not be read']);
});
