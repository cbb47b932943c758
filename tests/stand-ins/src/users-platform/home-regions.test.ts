import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { HOST, PLAIN_SERVICE, exampleConfig } from './example-config.js';
import { TestFleet } from './test-fleet.js';

const BASE_PORT = 25_300;
/** Address of the only gateway in the north. */
const NORTH = `127.0.0.1:${BASE_PORT}`;
/** Address of the only gateway in the west. */
const WEST = `127.0.0.2:${BASE_PORT}`;
const CONFIG_VERSION = 4;
/** After its stop signal, a gateway still serves requests of 3 s. */
const LEAVING_MS = 1000;
const POLL_MS = 50;
/** Enough to know which routes callers use. */
const REQUESTS = 100;
/** Time after which a gateway that has left is no longer listed by the others. */
const LOST_AFTER_MS = 4000;

let fleet: TestFleet;

beforeEach(async () => {
  fleet = new TestFleet(BASE_PORT);
  await fleet.start();
  await fleet.addTarget(1, PLAIN_SERVICE, 'north-a');
  await fleet.addTarget(2, PLAIN_SERVICE, 'west-a');
  await fleet.addGateway(1, 'north-a');
  await fleet.addGateway(2, 'west-a');
  await fleet.until(async () => (await fleet.directory('vm-2', 'north')).includes(NORTH));
});

afterEach(() => fleet.stop());

/** A configuration in which each route of the host has other home regions. */
function configWithHomes(...homes: string[][]): object {
  const routes = homes.map((homeRegions, index) => ({
    name: `bound-${index}`,
    host: HOST,
    prefix: `/bound-${index}/`,
    kind: 'safe',
    service: PLAIN_SERVICE,
    timeoutMs: 3000,
    homeRegions,
  }));
  return exampleConfig(CONFIG_VERSION, { routes });
}

/** Calls `read` again and again until `ended` is done and for a while longer; returns all results. */
async function collectUntil<Result>(
  ended: Promise<void>,
  read: () => Promise<Result>,
): Promise<Result[]> {
  const results: Result[] = [];
  let endAt = Infinity;
  void ended.then(() => {
    endAt = performance.now() + LOST_AFTER_MS;
  });
  const next = async (): Promise<void> => {
    if (performance.now() >= endAt) return;
    results.push(await read());
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
    await next();
  };
  await next();
  return results;
}

async function putHomes(...homes: string[][]): Promise<void> {
  fleet.store.put('op/config', configWithHomes(...homes));
  const isInForce = (node: string): boolean =>
    fleet.gateway(node).state.config?.version === CONFIG_VERSION;
  await fleet.until(() => ['vm-1', 'vm-2'].every(isInForce));
}

/** Sends requests on one of the routes to a gateway. */
async function useRoute(node: string, index: number): Promise<void> {
  const path = `/bound-${index}/x`;
  await fleet.until(async () => (await fleet.send(node, { path })).status === 200);
  await Promise.all(Array.from({ length: REQUESTS }, () => fleet.send(node, { path })));
}

/** Responses to callers in the north while the only gateway there leaves, and after it has left. */
async function responsesWhileNorthLeaves(...homes: string[][]): Promise<string[][]> {
  await putHomes(...homes);
  return collectUntil(fleet.shutDown('vm-1'), () => fleet.directory('vm-2', 'north'));
}

// Guards against callers that the directory leads out of the home regions of their requests while the
// gateways of their own region are replaced: the routes of their host have no home in common.
test('callers are not led out of their home regions when the routes of a host have different ones', async () => {
  const responses = await responsesWhileNorthLeaves(['west'], ['north']);
  assert.deepEqual([...new Set(responses.flat())], [NORTH]);
  assert.deepEqual(responses.at(-1), []);
});

// Guards against a directory that lists gateways of any region once none of a home accepts requests.
test('callers are not led past their home region when its only gateway leaves', async () => {
  const responses = await responsesWhileNorthLeaves(['north']);
  assert.deepEqual([...new Set(responses.flat())], [NORTH]);
  assert.deepEqual(responses.at(-1), []);
});

// Guards against callers that are led out of their home regions because those of another region use
// other routes of their host.
test('the routes that callers of another region use do not lead callers out of their home regions', async () => {
  await putHomes(['west'], ['north']);
  await Promise.all([useRoute('vm-2', 0), useRoute('vm-1', 1)]);
  const responses = await responsesWhileNorthLeaves(['west'], ['north']);
  assert.deepEqual([...new Set(responses.flat())], [NORTH]);
});

// Guards against callers without a gateway because of a route that none of them uses.
test('callers whose region has no gateway are led to the other home of the route that they use', async () => {
  await putHomes(['west', 'north'], ['north']);
  await Promise.all([useRoute('vm-2', 0), useRoute('vm-1', 0)]);
  const responses = await responsesWhileNorthLeaves(['west', 'north'], ['north']);
  assert.deepEqual(responses.at(-1), [WEST]);
});

// Guards against refused requests while the gateways of their home region leave but still serve them.
test('a request is forwarded to its home region while the only gateway there leaves', async () => {
  fleet.store.put('op/config', configWithHomes(['north']));
  await fleet.until(() => fleet.gateway('vm-2').state.config?.version === CONFIG_VERSION);
  const send = async (): Promise<number> =>
    (await fleet.send('vm-2', { path: '/bound-0/x' })).status;
  await fleet.until(async () => (await send()) === 200);
  const ended = fleet.shutDown('vm-1');
  await new Promise((resolve) => {
    setTimeout(resolve, LEAVING_MS);
  });
  assert.equal(await send(), 200);
  await ended;
});
