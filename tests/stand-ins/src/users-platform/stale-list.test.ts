import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { PLAIN_SERVICE, exampleConfig } from './example-config.js';
import { StoreMode } from './store.js';
import { TestFleet } from './test-fleet.js';

const POLL_MS = 20;
const STALE_MS = 2000;
const NODES = ['vm-1', 'vm-2', 'vm-3'];
const fleet = new TestFleet(25_000);

before(async () => {
  await fleet.start();
  await fleet.addTarget(1, PLAIN_SERVICE, 'north-a');
  await Promise.all(NODES.map((_, index) => fleet.addGateway(index + 1, 'north-a')));
  await Promise.all(NODES.map((node) => fleet.until(() => fleet.isReady(node))));
});

after(() => fleet.stop());

/** Gateways that use a removed target or an evacuated failure domain. */
function nodesWithOldState(removed: string): string[] {
  return NODES.filter((node) => {
    const { state } = fleet.gateway(node);
    return state.target(removed) !== undefined || !state.evacuated.has('north-a');
  });
}

async function untilAll(condition: (node: string) => boolean): Promise<void> {
  await Promise.all(NODES.map((node) => fleet.until(() => condition(node))));
}

// Guards against targets and evacuations that go back to an older state after a compaction.
test('a list that is older than what was read before does not bring back a removed target', async () => {
  const { store } = fleet;
  const removed = await fleet.addTarget(2, PLAIN_SERVICE, 'north-a');
  await untilAll((node) => fleet.gateway(node).state.target(removed.id) !== undefined);
  store.freezeLists();
  store.delete(`servers/${removed.id}`);
  store.put('op/evacuate/north-a', {});
  await fleet.until(() => nodesWithOldState(removed.id).length === 0);

  NODES.forEach((node) => fleet.setStoreMode(node, StoreMode.StaleLists));
  store.put('op/config', exampleConfig(30));
  store.compact();
  const wentBack = new Set<string>();
  const timer = setInterval(() => {
    nodesWithOldState(removed.id).forEach((node) => wentBack.add(node));
  }, POLL_MS);
  await new Promise((resolve) => {
    setTimeout(resolve, STALE_MS);
  });
  clearInterval(timer);
  assert.deepEqual([...wentBack], []);

  NODES.forEach((node) => fleet.setStoreMode(node, StoreMode.Serves));
  await untilAll((node) => fleet.gateway(node).state.config?.version === 30);
});
