import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { PLAIN_SERVICE, exampleConfig } from './example-config.js';
import { TestFleet } from './test-fleet.js';

const fleet = new TestFleet(24_300);
const NODES = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];

before(async () => {
  await fleet.start();
  await fleet.addTarget(1, PLAIN_SERVICE, 'north-a');
  await fleet.addGateway(1, 'north-a');
  await fleet.addGateway(2, 'north-a');
  await fleet.addGateway(3, 'north-a');
  await fleet.addGateway(4, 'north-a');
  await Promise.all(NODES.map((node) => fleet.until(() => fleet.isReady(node))));
  await fleet.until(() => watchingNodes().length === 2);
});

after(() => fleet.stop());

function watchingNodes(): string[] {
  return NODES.filter((node) => fleet.gateway(node).watchesSource);
}

/** Number of requests that the store receives during the next `ms` milliseconds. */
async function storeRequestsWithin(ms: number): Promise<number> {
  const { calls } = fleet.store;
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
  return fleet.store.calls - calls;
}

test('only two gateways of a region watch the store, and all gateways receive the changes', async () => {
  const added = await fleet.addTarget(2, PLAIN_SERVICE, 'north-a');
  await Promise.all(
    NODES.map((node) =>
      fleet.until(() => fleet.gateway(node).state.target(added.id) !== undefined),
    ),
  );
  fleet.store.put('op/config', exampleConfig(8));
  fleet.store.put('op/evacuate/north-a', {});
  await Promise.all(
    NODES.map((node) =>
      fleet.until(() => {
        const { config, evacuated } = fleet.gateway(node).state;
        return config?.version === 8 && evacuated.has('north-a');
      }),
    ),
  );
  fleet.store.delete('op/evacuate/north-a');
  fleet.store.delete(`servers/${added.id}`);
  await Promise.all(
    NODES.map((node) =>
      fleet.until(() => {
        const { state } = fleet.gateway(node);
        return state.evacuated.size === 0 && state.target(added.id) === undefined;
      }),
    ),
  );
  // Two gateways watch two prefixes each, with long polls of 5 s.
  assert.ok((await storeRequestsWithin(1000)) <= 4);
});

test('another gateway takes over the watch when a watching gateway is stopped', async () => {
  const [removed = ''] = watchingNodes();
  await fleet.kill(removed);
  const remaining = NODES.filter((node) => node !== removed);
  NODES.splice(0, NODES.length, ...remaining);
  await fleet.until(() => watchingNodes().length === 2);
  fleet.store.put('op/config', exampleConfig(9));
  await Promise.all(
    NODES.map((node) => fleet.until(() => fleet.gateway(node).state.config?.version === 9)),
  );
});
