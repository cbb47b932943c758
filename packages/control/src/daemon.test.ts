import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { isWatcher } from '@marjoramcart/core';
import type { ControlDaemon } from './daemon.js';
import {
  MAIN_CONFIG,
  entryRecord,
  newEntryParams,
  freeAddress,
  startDaemon,
  targetRecord,
  testClient,
  waitUntil,
} from './testing/domain.js';
import { FakePlatform } from './testing/fake-platform.js';
import { FakeTarget } from './testing/fake-target.js';

const platform = new FakePlatform();
const target = new FakeTarget();
const addresses = await Promise.all([freeAddress(), freeAddress(), freeAddress()]);
const daemons: ControlDaemon[] = [];
const client = testClient();

before(async () => {
  await Promise.all([platform.start(), target.start()]);
  platform.write('config/main', MAIN_CONFIG);
  platform.setVms([
    targetRecord('t1', target.address),
    ...addresses.map((address, index) => entryRecord(`e${index}`, address)),
  ]);
  daemons.push(
    ...(await Promise.all(
      addresses.map((address, index) =>
        startDaemon({ vm: `e${index}`, platformUrl: platform.url, address }),
      ),
    )),
  );
});

after(async () => {
  client.close();
  await Promise.all(daemons.map(({ kernel }) => kernel.stop()));
  platform.close();
  target.close();
});

test('three control daemons: an entry receives the configuration and the state of the targets', async () => {
  await waitUntil('all open', () => daemons.every(({ state }) => state.coldStartComplete));
  await waitUntil('the target is known everywhere', () =>
    daemons.every(({ state }) => state.targetStates().some((t) => t.healthy)),
  );
  const result = await client.call(addresses[0] ?? '', 'entry.sync', newEntryParams('e0'));
  assert.equal(result.kind, 'ok');
  if (result.kind !== 'ok') return;
  assert.equal(result.value.revision, 1);
  assert.ok(result.value.delta?.changed.some(({ name }) => name === 'services'));
  assert.deepEqual(result.value.view?.targets[0]?.services, ['crane-booking']);
  const params = { ...newEntryParams('e0'), held: undefined };
  const second = await client.call(addresses[0] ?? '', 'entry.sync', params);
  assert.equal(second.kind === 'ok' && second.value.revision, 1);
  assert.equal(second.kind === 'ok' && second.value.delta, undefined, 'no hashes, no delta');
});

test('three control daemons: at most two of three daemons hold a pending watch', async () => {
  // Guards against reads that grow with the number of daemons.
  await waitUntil('gossip has met', () =>
    daemons.every(({ state }) => state.liveControlIds().length === 3),
  );
  await waitUntil('two watches', () => platform.pendingWatches === 2);
});

test('three control daemons: a new revision is in force at all daemons and never goes back', async () => {
  platform.write('config/main', MAIN_CONFIG.replace('priority: 10', 'priority: 20'));
  await waitUntil('revision 2', () => daemons.every(({ state }) => state.config.revision === 2), 6000);
  // Guards against a service that was restored from an old copy.
  platform.restoreRevision(1);
  await waitUntil('stale answer seen', () => daemons.some(({ state }) => state.rawConfig.staleResponseCount > 0));
  const results = await Promise.all(
    addresses.map((address) => client.call(address, 'status.get', {})),
  );
  assert.ok(results.every((result) => result.kind === 'ok' && result.value.revision === 2));
  platform.restoreRevision(2);
});

test('three control daemons: a rejected text leaves the last accepted one in force and is reported', async () => {
  platform.write('config/main', 'format: 1\nregions: 3\n');
  await waitUntil('rejection seen', () => daemons.some(({ state }) => state.config.rejected));
  const [daemon] = daemons.filter(({ state }) => state.config.rejected);
  assert.equal(daemon?.state.config.revision, 2);
  assert.match(daemon?.state.config.rejected?.message ?? '', /^config\/main:2:\d+: regions/);
});

test('three control daemons: a leaving mark is in force at all daemons within 3 s of the list', async () => {
  const startedAt = performance.now();
  platform.setVms(
    platform.vmList.vms.map((vm) => (vm.vm === 't1' ? { ...vm, state: 'leaving' as const } : vm)),
  );
  await waitUntil('leaving', () => daemons.every(({ state }) => state.targetStates()[0]?.leaving));
  assert.ok(performance.now() - startedAt < 3000);
});

test('three control daemons: another one watches when a watcher is lost', async () => {
  const watchers = daemons.filter(({ state }) =>
    isWatcher('north-1', state.self.bootId, state.liveControlIds()),
  );
  await watchers[0]?.kernel.stop();
  await waitUntil('one watch left', () => platform.pendingWatches === 1);
  await waitUntil('two watches again', () => platform.pendingWatches === 2);
  platform.write('config/main', MAIN_CONFIG.replace('priority: 10', 'priority: 30'));
  const left = daemons.filter((daemon) => daemon !== watchers[0]);
  await waitUntil('new revision', () => left.every(({ state }) => state.config.revision === 4), 6000);
});

test('three control daemons: a daemon starts from a peer while the configuration service is down', async () => {
  platform.close();
  const late = await startDaemon({
    vm: 'e9',
    platformUrl: platform.url,
    seeds: addresses,
  });
  daemons.push(late);
  await waitUntil('open', () => late.state.coldStartComplete);
  assert.equal(late.state.config.revision, 4);
});
