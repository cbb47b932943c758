import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { PLAIN_SERVICE, exampleConfig } from './example-config.js';
import { TestFleet } from './rig.js';

const rig = new TestFleet(24_300);
const NODES = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];

before(async () => {
  await rig.start();
  await rig.addTarget(1, PLAIN_SERVICE, 'north-a');
  await rig.addGateway(1, 'north-a');
  await rig.addGateway(2, 'north-a');
  await rig.addGateway(3, 'north-a');
  await rig.addGateway(4, 'north-a');
  await Promise.all(NODES.map((node) => rig.until(() => rig.isReady(node))));
  await rig.until(() => watching().length === 2);
});

after(() => rig.stop());

function watching(): string[] {
  return NODES.filter((node) => rig.gateway(node).watchesSource);
}

/** Calls of the store in a time. */
async function callsWithin(ms: number): Promise<number> {
  const { calls } = rig.store;
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
  return rig.store.calls - calls;
}

test('two gateways of a region watch the store, and all learn what changes', async () => {
  const added = await rig.addTarget(2, PLAIN_SERVICE, 'north-a');
  await Promise.all(
    NODES.map((node) => rig.until(() => rig.gateway(node).state.target(added.id) !== undefined)),
  );
  rig.store.put('op/config', exampleConfig(8));
  rig.store.put('op/evacuate/north-a', {});
  await Promise.all(
    NODES.map((node) =>
      rig.until(() => {
        const { config, evacuated } = rig.gateway(node).state;
        return config?.version === 8 && evacuated.has('north-a');
      }),
    ),
  );
  rig.store.delete('op/evacuate/north-a');
  rig.store.delete(`servers/${added.id}`);
  await Promise.all(
    NODES.map((node) =>
      rig.until(() => {
        const { state } = rig.gateway(node);
        return state.evacuated.size === 0 && state.target(added.id) === undefined;
      }),
    ),
  );
  // Two gateways wait at two prefixes for 5 s each.
  assert.ok((await callsWithin(1000)) <= 4);
});

test('another gateway watches when one that did is gone', async () => {
  const [gone = ''] = watching();
  await rig.kill(gone);
  const left = NODES.filter((node) => node !== gone);
  NODES.splice(0, NODES.length, ...left);
  await rig.until(() => watching().length === 2);
  rig.store.put('op/config', exampleConfig(9));
  await Promise.all(
    NODES.map((node) => rig.until(() => rig.gateway(node).state.config?.version === 9)),
  );
});
