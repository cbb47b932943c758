import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualTimerService, silentLogger } from '@marjoramcart/runtime';
import type { ControlMetrics } from '../control-metrics.js';
import type { ControlState } from '../control-state.js';
import type { PlatformClient } from '../platform/platform-client.js';
import { ConfigTask } from './config-task.js';

test('a stopped task starts no watch', async () => {
  // Guards against a busy loop: after the stop each wait ends at once, so a failing watch was
  // retried without a pause and used a whole core until the process ended.
  const timers = new ManualTimerService();
  let watches = 0;
  const failed = { kind: 'failed', message: 'connection refused' };
  const watch = (): Promise<unknown> => {
    watches += 1;
    return Promise.resolve(failed);
  };
  const task = new ConfigTask({
    state: {
      timers,
      coldStartComplete: true,
      self: { failureDomain: 'north-1', bootId: 'a' },
      config: { current: {}, revision: 1 },
      rawConfig: { revision: 1 },
      vms: { current: { version: 1 } },
      liveControlIds: () => ['a'],
    } as unknown as ControlState,
    platform: {
      readConfig: () => Promise.resolve(failed),
      readVms: () => Promise.resolve(failed),
      watchConfig: watch,
      watchVms: watch,
    } as unknown as PlatformClient,
    peers: { fetchFromPeers: () => Promise.resolve() },
    metrics: { platformFailures: { inc: () => {} } } as unknown as ControlMetrics,
    log: silentLogger(),
  });
  await task.start();
  await task.stop();
  timers.advance(1000);
  await new Promise(setImmediate);
  assert.equal(watches, 0);
});
