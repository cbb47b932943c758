import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { SuspectRecord } from '@marjoramcart/core';
import type { ControlDaemon } from '../daemon.js';
import {
  MAIN_CONFIG,
  entryRecord,
  freeAddress,
  newEntryParams,
  startDaemon,
  targetRecord,
  testClient,
  waitUntil,
} from '../testing/domain.js';
import { FakePlatform } from '../testing/fake-platform.js';
import { FakeTarget } from '../testing/fake-target.js';

const platform = new FakePlatform();
/** A service whose revision stays behind, as seen from the west. */
const stale = new FakePlatform();
const target = new FakeTarget();
const client = testClient();
const addresses = { north: await freeAddress(), west: await freeAddress() };
const daemons: ControlDaemon[] = [];
const west = { region: 'west', failure_domain: 'west-1' };

const TWO_REGIONS = MAIN_CONFIG.replace(
  'services:',
  '  west: { failure_domains: [west-1], links: { north: { one_way: 1ms, mbit_per_s: 100 } } }\nservices:',
)
  .replace('regions: [north]', 'regions: [north, west]')
  .replace(
    'customers:',
    'customers:\n  - { id: c2, key: 1123456789abcdef0123456789abcdef, class: standard, regions: [north] }',
  );

before(async () => {
  await Promise.all([platform.start(), stale.start(), target.start()]);
  const vms = [
    targetRecord('t1', target.address),
    entryRecord('e1', addresses.north),
    {
      ...entryRecord('e2', addresses.west),
      region: west.region,
      failureDomain: west.failure_domain,
    },
  ];
  [platform, stale].forEach((service) => {
    service.write('config/main', TWO_REGIONS);
    service.setVms(vms);
  });
  daemons.push(
    await startDaemon({ vm: 'e1', platformUrl: platform.url, address: addresses.north }),
    await startDaemon({ vm: 'e2', platformUrl: stale.url, address: addresses.west, location: west }),
  );
  await waitUntil('both open', () => daemons.every(({ state }) => state.coldStartComplete));
});

after(async () => {
  client.close();
  await Promise.all(daemons.map(({ kernel }) => kernel.stop()));
  [platform, stale, target].forEach((server) => server.close());
});

test('two failure domains: a summary reaches the other one with its ready targets', async () => {
  await waitUntil('summary', () =>
    Boolean(
      daemons[1]?.state.summaries
        .unexpired(daemons[1].state.timers.now())
        .some(
          ({ failureDomain, services }) =>
            failureDomain === 'north-1' && services[0]?.readyTargets === 1,
        ),
    ),
  );
});

test('two failure domains: a new revision passes a stale configuration service', async () => {
  // Guards against a region that stays on an old configuration with its service.
  platform.write('config/main', TWO_REGIONS.replace('priority: 10', 'priority: 20'));
  await waitUntil('revision 2', () => daemons.every(({ state }) => state.config.revision === 2), 6000);
  assert.equal(stale.revision, 1);
});

test('two failure domains: a refused digest stays in the regions of its customer', async () => {
  const record = (digest: string, customer: string): SuspectRecord => ({
    digest,
    customer,
    service: 'crane-booking',
    deaths: 2,
    refused: true,
    expiresInMs: 600_000,
  });
  const suspects = [record('of-c1', 'c1'), record('of-c2', 'c2')];
  const result = await client.call(addresses.north, 'entry.sync', {
    ...newEntryParams('e1'),
    suspects,
  });
  assert.equal(result.kind === 'ok' && result.value.view?.suspects.length, 2);
  const known = (): string[] =>
    daemons[1]?.state.suspects
      .recordsVisibleTo('north', daemons[1].state.cfg, daemons[1].state.timers.now())
      .map(({ digest }) => digest) ?? [];
  await waitUntil('digest of c1', () => known().includes('of-c1'));
  assert.deepEqual(known(), ['of-c1']);
});

test('two failure domains: an entry that begins to drain is known elsewhere within its notice', async () => {
  // Guards against lists that name an entry that has ended: its keys can't be answered any more.
  const sync = (draining: boolean) =>
    client.call(addresses.north, 'entry.sync', {
      ...newEntryParams('e1'),
      load: { openRequests: 0, queued: 0, draining },
    });
  const drains = (): boolean | undefined =>
    daemons[1]?.state.summaries
      .unexpired(daemons[1].state.timers.now())
      .flatMap(({ entries }) => entries)
      .find(({ bootId }) => bootId === 'entry-e1')?.draining;
  await sync(false);
  await waitUntil('the entry is known', () => drains() === false);
  await sync(true);
  await waitUntil('the entry drains', () => drains() === true, 500);
});
