import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { DomainSummary } from '@marjoramcart/core';
import { ManualTimerService } from '@marjoramcart/runtime';
import { ControlState, WARM_UP_TIMEOUT_MS } from '../control-state.js';
import type { ControlDaemon } from '../daemon.js';
import {
  MAIN_CONFIG,
  entryRecord,
  entryRef,
  freeAddress,
  newEntryParams,
  startDaemon,
  targetRecord,
  testClient,
  waitUntil,
} from '../testing/daemon-fixture.js';
import { FakePlatform } from '../testing/fake-platform.js';
import { FakeTarget } from '../testing/fake-target.js';
import { SummaryPublisher } from './summary-publisher.js';

const SYNC_INTERVAL_MS = 100;
const RESTARTS = 3;

const platform = new FakePlatform();
const target = new FakeTarget();
const client = testClient();
const addresses = { north: await freeAddress(), west: await freeAddress() };
const west = { region: 'west', failure_domain: 'west-1' };
const daemons: Partial<Record<'north' | 'west', ControlDaemon>> = {};
const timers: NodeJS.Timeout[] = [];

const startNorth = (): Promise<ControlDaemon> =>
  startDaemon({ vm: 'e1', platformUrl: platform.url, address: addresses.north });

before(async () => {
  await Promise.all([platform.start(), target.start()]);
  platform.write(
    'config/main',
    MAIN_CONFIG.replace(
      'services:',
      '  west: { failure_domains: [west-1], links: { north: { one_way: 1ms, mbit_per_s: 100 } } }\nservices:',
    ),
  );
  platform.setVms([
    targetRecord('t1', target.address),
    entryRecord('e1', addresses.north),
    {
      ...entryRecord('e2', addresses.west),
      region: west.region,
      failureDomain: west.failure_domain,
    },
  ]);
  daemons.north = await startNorth();
  daemons.west = await startDaemon({
    vm: 'e2',
    platformUrl: platform.url,
    address: addresses.west,
    location: west,
  });
  timers.push(
    setInterval(() => {
      void client.call(addresses.north, 'entry.sync', newEntryParams('e1'));
    }, SYNC_INTERVAL_MS),
  );
});

after(async () => {
  timers.forEach((timer) => clearInterval(timer));
  client.close();
  await Promise.all(Object.values(daemons).map(({ kernel }) => kernel.stop()));
  [platform, target].forEach((server) => server.close());
});

/** The summary of the north that the daemon of the west has. */
function northSeenByWest(): DomainSummary | undefined {
  const state = daemons.west?.state;
  return state?.summaries
    .unexpired(state.timers.now())
    .find(({ failureDomain }) => failureDomain === 'north-1');
}

const isServing = (summary: DomainSummary | undefined): boolean =>
  summary?.services[0]?.readyTargets === 1 && summary.entries.length === 1;

// Guards against calls refused for want of a ready target while control daemons are replaced.
test('a control daemon that starts again does not tell other failure domains that nothing is ready', async () => {
  await waitUntil('the north serves', () => isServing(northSeenByWest()), 20_000);
  const seen = new Map<number, DomainSummary>();
  timers.push(
    setInterval(() => {
      const summary = northSeenByWest();
      if (summary) seen.set(summary.version, summary);
    }, 5),
  );
  await Array.from({ length: RESTARTS }).reduce<Promise<void>>(async (earlier) => {
    await earlier;
    await daemons.north?.kernel.stop();
    const { size } = seen;
    daemons.north = await startNorth();
    await waitUntil('a summary of the new daemon', () => seen.size > size, 20_000);
  }, Promise.resolve());
  const summaries = [...seen.values()].map(({ services, entries }) => ({
    ready: services[0]?.readyTargets,
    entries: entries.length,
  }));
  assert.ok(summaries.length > RESTARTS);
  assert.deepEqual(
    summaries.filter(({ ready, entries }) => ready !== 1 || entries !== 1),
    [],
  );
});

// Guards against a failure domain that is never summarised because one of its VMs has failed.
test('a daemon publishes a summary after the warm-up timeout although an entry is missing', () => {
  const time = new ManualTimerService();
  const state = new ControlState({ ...entryRef('e1'), role: 'control' }, time);
  state.applyVmList({ version: 1, vms: [entryRecord('e1', '127.0.0.1:1')] }, 'platform');
  const publisher = new SummaryPublisher(state);
  publisher.publish();
  assert.deepEqual([publisher.isPublisher, state.summaries.failureDomains()], [false, []]);
  time.advance(WARM_UP_TIMEOUT_MS);
  publisher.publish();
  assert.deepEqual([publisher.isPublisher, state.summaries.failureDomains()], [true, ['north-1']]);
});
