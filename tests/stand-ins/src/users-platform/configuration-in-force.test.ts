import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { HOST, PLAIN_SERVICE, exampleConfig } from './example-config.js';
import { StoreMode } from './store.js';
import { TestFleet } from './test-fleet.js';

/** A change has to be in force this long after its acknowledgement. */
const APPLY_MS = 4000;
const CHANGE_INTERVAL_MS = 250;
const CHANGES_MS = 7000;
const POLL_MS = 20;
const GATEWAYS = 4;
const NODES = Array.from({ length: GATEWAYS }, (_, index) => `vm-${index + 1}`);

let basePort = 27_000;
let fleet: TestFleet;

beforeEach(async () => {
  // The ports of the previous fleet may still be in use.
  basePort += 10;
  fleet = new TestFleet(basePort);
  await fleet.start();
  await fleet.addTarget(1, PLAIN_SERVICE, 'north-a');
  await Promise.all(NODES.map((_, index) => fleet.addGateway(index + 1, 'north-a')));
  await Promise.all(NODES.map((node) => fleet.until(() => fleet.isReady(node))));
  await fleet.until(() => watchingNodes().length === 2);
});

afterEach(() => fleet.stop());

function watchingNodes(): string[] {
  return NODES.filter((node) => fleet.gateway(node).watchesSource);
}

function versionAt(node: string): number {
  return fleet.gateway(node).state.config?.version ?? 0;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Makes changes for a while and returns when each version was stored. */
async function makeChanges(
  change: (version: number) => void,
  endAt = performance.now() + CHANGES_MS,
  version = 10,
): Promise<Map<number, number>> {
  change(version);
  const storedAt = performance.now();
  await pause(CHANGE_INTERVAL_MS);
  const later =
    performance.now() < endAt ? await makeChanges(change, endAt, version + 1) : new Map();
  return later.set(version, storedAt);
}

/** Records when a gateway first has each version, until stopped. */
function recordVersions(node: string): () => [number, number][] {
  const seen: [number, number][] = [];
  const timer = setInterval(() => {
    const version = versionAt(node);
    if (version !== seen.at(-1)?.[0]) seen.push([version, performance.now()]);
  }, POLL_MS);
  return () => {
    clearInterval(timer);
    return seen;
  };
}

/** Longest time from the storing of a version until a gateway had it or a newer one, ms. */
function longestDelayMs(
  storedAt: ReadonlyMap<number, number>,
  seen: readonly [number, number][],
): number {
  const now = performance.now();
  const delays = [...storedAt].map(
    ([version, at]) => (seen.find(([inForce]) => inForce >= version)?.[1] ?? now) - at,
  );
  return Math.max(...delays);
}

async function assertInForceInTime(node: string, change: (version: number) => void): Promise<void> {
  const stop = recordVersions(node);
  const storedAt = await makeChanges(change);
  const delayMs = Math.round(longestDelayMs(storedAt, stop()));
  assert.ok(delayMs <= APPLY_MS, `a version was not in force for ${delayMs} ms`);
}

// Guards against a configuration that stays old while updates of other gateways look like a contact.
test('changes are in force in time at a gateway that does not watch and that the store does not answer', async () => {
  const node = NODES.find((name) => !fleet.gateway(name).watchesSource) ?? '';
  fleet.setStoreMode(node, StoreMode.Silent);
  await assertInForceInTime(node, (version) =>
    fleet.store.put('op/config', exampleConfig(version)),
  );
});

// Guards against a configuration that stays old while reads of targets look like a contact.
test('changes are in force in time at a watching gateway that reads targets but no configuration', async () => {
  const [node = ''] = watchingNodes();
  fleet.setStoreMode(node, StoreMode.LosesOperatorKeys);
  const target = await fleet.addTarget(2, PLAIN_SERVICE, 'north-a');
  await assertInForceInTime(node, (version) => {
    fleet.store.put('op/config', exampleConfig(version));
    fleet.store.put(
      `servers/${target.id}`,
      target.entry(PLAIN_SERVICE, 'north-a', { sequence: version, slots: version }),
    );
  });
});

// Guards against timeouts that add up to more than the bound when all watching gateways go silent.
test('a change is in force in time in a region whose watching gateways get no answer', async () => {
  await pause(CHANGE_INTERVAL_MS);
  watchingNodes().forEach((node) => fleet.setStoreMode(node, StoreMode.Silent));
  fleet.store.put('op/config', exampleConfig(20));
  await Promise.all(NODES.map((node) => fleet.until(() => versionAt(node) === 20, APPLY_MS)));
});

// Guards against a silent connection that is noticed only after a missed change is overdue.
test('a change is in force in time after the connections of all watches have gone silent', async () => {
  NODES.forEach((node) => fleet.setStoreMode(node, StoreMode.Silent));
  await pause(CHANGE_INTERVAL_MS);
  NODES.forEach((node) => fleet.setStoreMode(node, StoreMode.Serves));
  fleet.store.put('op/config', exampleConfig(20));
  await Promise.all(NODES.map((node) => fleet.until(() => versionAt(node) === 20, APPLY_MS)));
});

// Guards against a final refusal of requests on routes that were added a moment ago.
test('a gateway that knows of a newer configuration does not refuse unknown paths with 404', async () => {
  const node = 'vm-2';
  const { state } = fleet.gateway(node);
  NODES.forEach((name) => fleet.setStoreMode(name, StoreMode.Silent));
  state.onPeerConfig('vm-9', 40);
  const refused = await fleet.send(node, { path: '/added/x' });
  assert.equal(refused.status, 503);
  assert.ok(Number(refused.headers['retry-after']) > 0);

  const held = fleet.send(node, { path: '/added/x' });
  const route = {
    name: 'added',
    host: HOST,
    prefix: '/added/',
    kind: 'safe',
    service: PLAIN_SERVICE,
    maxAttempts: 1,
  };
  NODES.forEach((name) => fleet.setStoreMode(name, StoreMode.Serves));
  fleet.store.put('op/config', exampleConfig(40, { routes: [route] }));
  await fleet.until(() => state.config?.version === 40);
  assert.ok([200, 503].includes((await held).status));
  await fleet.until(async () => (await fleet.send(node, { path: '/added/x' })).status === 200);
  assert.equal((await fleet.send(node, { path: '/nowhere/x' })).status, 404);
});
