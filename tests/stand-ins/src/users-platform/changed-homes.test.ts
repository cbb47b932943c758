import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { HOST, PLAIN_SERVICE, exampleConfig } from './example-config.js';
import { StoreMode } from './store.js';
import { TargetMode, type TargetStandIn } from './target.js';
import { TestFleet } from './test-fleet.js';

const NODES = ['vm-1', 'vm-2'];
const ROSTER_TIMEOUT_MS = 12_000;
const fleet = new TestFleet(25_200);
let northTarget: TargetStandIn;
let westTargets: TargetStandIn[];

/** Routes `/bound/` and `/read/`, which may run in the given regions; any region if undefined. */
function configFor(version: number, bound?: string[], read?: string[]): object {
  const route = (name: string, homeRegions: string[] | undefined): object => ({
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind: 'safe',
    service: PLAIN_SERVICE,
    timeoutMs: 6000,
    // Long enough that no request is taken for stalled before the configuration changes.
    targetLatencyMs: 5000,
    priority: 1,
    maxAttempts: 2,
    homeRegions,
  });
  const routes = [route('bound', bound), route('read', read)];
  return exampleConfig(version, { routes, services: [{ name: PLAIN_SERVICE }] });
}

before(async () => {
  await fleet.start();
  fleet.store.put('op/config', configFor(5, ['west']));
  northTarget = await fleet.addTarget(1, PLAIN_SERVICE, 'north-a');
  westTargets = [
    await fleet.addTarget(2, PLAIN_SERVICE, 'west-a'),
    await fleet.addTarget(3, PLAIN_SERVICE, 'west-a'),
  ];
  await fleet.addGateway(1, 'north-a');
  await fleet.addGateway(2, 'west-a');
  // Until its roster is complete, a gateway that is alone in its region has only one retry.
  await Promise.all(
    NODES.map((node) => fleet.until(() => fleet.gateway(node).rosterComplete, ROSTER_TIMEOUT_MS)),
  );
  await fleet.until(async () => (await fleet.send('vm-1', { path: '/bound/x' })).status === 200);
  westTargets.forEach(({ runs }) => runs.splice(0));
});

after(() => fleet.stop());

function untilInForce(node: string, version: number): Promise<void> {
  return fleet.until(() => fleet.gateway(node).state.config?.version === version);
}

// Guards against a forward by the homes at the arrival of a request, to a region that its route lost.
test('a request is not forwarded to a region that a new configuration excludes', async () => {
  Object.assign(northTarget, { mode: TargetMode.Silent });
  const sent = fleet.send('vm-1', { path: '/read/x', deadlineMs: 5500 });
  await fleet.until(() => northTarget.runs.length === 1);
  // The gateway there would refuse the request by the new configuration, but may not have it yet.
  fleet.setStoreMode('vm-2', StoreMode.LosesOperatorKeys);
  fleet.store.put('op/config', configFor(6, ['west'], ['north']));
  await untilInForce('vm-1', 6);
  northTarget.close();
  const { status } = await sent;
  fleet.setStoreMode('vm-2', StoreMode.Serves);
  assert.equal(status, 502);
  assert.deepEqual(
    westTargets.map(({ runs }) => runs.length),
    [0, 0],
  );
});

// Guards against a retry by the homes at the arrival of a request.
test('a request is not retried in its region once a new configuration excludes that', async () => {
  westTargets.forEach((target) => Object.assign(target, { mode: TargetMode.Silent }));
  const sent = fleet.send('vm-2', { path: '/bound/x', deadlineMs: 5500 });
  const isRunning = ({ runs }: TargetStandIn): boolean => runs.length === 1;
  await fleet.until(() => westTargets.some(isRunning));
  fleet.store.put('op/config', configFor(7, ['north'], ['north']));
  await untilInForce('vm-2', 7);
  const [running, idle] = westTargets.sort((a, b) => b.runs.length - a.runs.length);
  Object.assign(idle ?? {}, { mode: TargetMode.Good });
  running?.close();
  assert.equal((await sent).status, 502);
  assert.equal(idle?.runs.length, 0);
});
