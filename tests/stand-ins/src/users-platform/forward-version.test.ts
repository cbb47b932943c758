import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { PLAIN_SERVICE, HOST, exampleConfig } from './example-config.js';
import { StoreMode } from './store.js';
import type { TargetStandIn } from './target.js';
import { TestFleet } from './test-fleet.js';

const NEW_SERVICE = 'plain-2';
const REQUEST_INTERVAL_MS = 20;
const REQUESTS = 40;
const STATUS_NOT_RUN = 503;

const fleet = new TestFleet(25_100);
let oldTarget: TargetStandIn;
let newTarget: TargetStandIn;

/** Routes `/read/` to a service; both services have targets in the west only. */
function configFor(version: number, service: string): object {
  const route = {
    name: 'read',
    host: HOST,
    prefix: '/read/',
    kind: 'safe',
    service,
    timeoutMs: 3000,
    targetLatencyMs: 2000,
    priority: 1,
    maxAttempts: 1,
  };
  const services = [{ name: PLAIN_SERVICE }, { name: NEW_SERVICE }];
  return exampleConfig(version, { routes: [route], services });
}

before(async () => {
  await fleet.start();
  fleet.store.put('op/config', configFor(5, PLAIN_SERVICE));
  oldTarget = await fleet.addTarget(1, PLAIN_SERVICE, 'west-a');
  newTarget = await fleet.addTarget(2, NEW_SERVICE, 'west-a');
  await fleet.addGateway(1, 'north-a');
  await fleet.addGateway(2, 'west-a');
  await Promise.all(['vm-1', 'vm-2'].map((node) => fleet.until(() => fleet.isReady(node))));
  await fleet.until(async () => (await fleet.send('vm-1', { path: '/read/x' })).status === 200);
});

after(() => fleet.stop());

async function sendInTurn(count: number): Promise<number[]> {
  if (count === 0) return [];
  const sent = fleet.send('vm-1', { path: '/read/x' });
  await new Promise((resolve) => {
    setTimeout(resolve, REQUEST_INTERVAL_MS);
  });
  const rest = await sendInTurn(count - 1);
  return [(await sent).status, ...rest];
}

// Guards against a request that is handled by an older configuration after it was forwarded.
test('a forwarded request is not run by an older configuration than that of the gateway that forwards it', async () => {
  fleet.setStoreMode('vm-2', StoreMode.LosesOperatorKeys);
  fleet.store.put('op/config', configFor(6, NEW_SERVICE));
  await fleet.until(() => fleet.gateway('vm-1').state.config?.version === 6);
  const runsBefore = oldTarget.runs.length;
  const statuses = await sendInTurn(REQUESTS);
  assert.equal(oldTarget.runs.length - runsBefore, 0);
  assert.ok(newTarget.runs.length > 0);
  assert.deepEqual(
    statuses.filter((status) => status !== 200 && status !== STATUS_NOT_RUN),
    [],
  );
  fleet.setStoreMode('vm-2', StoreMode.Serves);
});
