import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import http, { Agent } from 'node:http';
import { after, before, test } from 'node:test';
import { ANY_REGION } from '@marjoramcart/core';
import { sendRequest, type ClientResponse } from './client-request.js';
import { HOST, PLAIN_SERVICE, PortOffset, exampleConfig } from './example-config.js';
import { StoreMode } from './store.js';
import type { TargetStandIn } from './target.js';
import { TestFleet } from './test-fleet.js';

const BASE_PORT = 29_600;
const NODES = ['vm-1', 'vm-2'];
const CALLERS = `127.0.0.1:${BASE_PORT + PortOffset.Callers}`;
/** Listener for requests that other gateways forward to the gateway in the west. */
const WEST_FORWARDS = `127.0.0.2:${BASE_PORT + PortOffset.Internal + 1}`;
const KEY = 'sk-acme-1';
const SECOND_KEY = 'sk-acme-2';
const WEST_KEY = 'sk-west';
const NORTH_KEY = 'sk-north';
const LATER_KEY = 'sk-later';
/** Not plain ASCII, so that its encodings in headers count. */
const WEST_NAME = 'West & Söhne';
/** 5 s until a configuration is in force and 5 s until a removed key is refused. */
const REVOKED_WITHIN_MS = 10_000;
const ANNOUNCED_BYTES = 60_000;
/** Routes have 1. */
const ACME_PRIORITY = 4;

const fleet = new TestFleet(BASE_PORT);
let north: TargetStandIn;
let west: TargetStandIn;

function configFor(version: number, acmeKeys: string[], changes: object = {}): object {
  const { routes } = exampleConfig(version) as { routes: object[] };
  const [, , read] = routes;
  const open = { ...read, name: 'open', prefix: '/open/', public: true };
  const tenants = [
    { name: 'acme', apiKeys: acmeKeys, priority: ACME_PRIORITY },
    { name: WEST_NAME, apiKeys: [WEST_KEY], homeRegions: ['west'] },
    { name: 'north', apiKeys: [NORTH_KEY], homeRegions: ['north'] },
  ];
  return exampleConfig(version, { routes: [...routes, open], tenants, ...changes });
}

function bearer(key: string): Record<string, string> {
  return { authorization: `Bearer ${key}` };
}

function send(path: string, headers: Record<string, string | string[]>): Promise<ClientResponse> {
  return fleet.send('vm-1', { path, headers });
}

function runsOf(id: string): TargetStandIn['runs'] {
  return [north, west].flatMap(({ runs }) => runs.filter(({ requestId }) => requestId === id));
}

function untilInForce(version: number): Promise<unknown> {
  return Promise.all(
    NODES.map((node) =>
      fleet.until(() => fleet.gateway(node).state.config?.version === version, REVOKED_WITHIN_MS),
    ),
  );
}

/** Name of the customer that the target was told, if the headers have no trace of a key. */
function customerSeen(id: string): string | undefined {
  const [run, ...others] = runsOf(id);
  assert.ok(run);
  assert.deepEqual(others, []);
  assert.ok(!JSON.stringify(run.headers).includes('sk-'));
  assert.equal(run.headers.authorization, undefined);
  const name = run.headers.tenant;
  return name === undefined ? undefined : Buffer.from(String(name), 'latin1').toString('utf8');
}

before(async () => {
  await fleet.start();
  north = await fleet.addTarget(1, PLAIN_SERVICE, 'north-a');
  west = await fleet.addTarget(2, PLAIN_SERVICE, 'west-a');
  await fleet.addGateway(1, 'north-a');
  await fleet.addGateway(2, 'west-a');
  await fleet.until(async () => (await fleet.send('vm-1', { path: '/bound/x' })).status === 200);
});

after(() => fleet.stop());

// Guards against changed requests in a deployment without customers.
test('without customers, the headers are forwarded as they are', async () => {
  const headers = { ...bearer(KEY), tenant: 'any' };
  const [local, remote] = await Promise.all([
    fleet.send('vm-1', { path: '/read/x', id: 'plain-1', headers }),
    fleet.send('vm-1', { path: '/bound/x', id: 'plain-2', headers }),
  ]);
  assert.deepEqual([local.status, remote.status], [200, 200]);
  ['plain-1', 'plain-2'].forEach((id) => {
    const [run] = runsOf(id);
    assert.equal(run?.headers.authorization, `Bearer ${KEY}`);
    assert.equal(run?.headers.tenant, 'any');
  });
  fleet.store.put('op/config', configFor(5, [KEY, SECOND_KEY]));
  await untilInForce(5);
});

// Guards against a key that reaches a target, and against a customer that the caller chooses itself.
test('a target is told the customer of the key, whatever the caller names, and not the key', async () => {
  const headers = { ...bearer(KEY), tenant: 'north', 'marjoramcart-customer': 'north' };
  const sent = await fleet.send('vm-1', { path: '/read/x', id: 'known', headers });
  assert.equal(sent.status, 200);
  assert.equal(customerSeen('known'), 'acme');
});

// Guards against requests without a customer that run, and against keys in responses.
test('a request without exactly one known key is refused with 401', async () => {
  const cases: [Record<string, string | string[]>, number][] = [
    [{}, 2101],
    [{ tenant: 'acme', 'marjoramcart-customer': 'acme' }, 2101],
    [{ authorization: KEY }, 2101],
    [{ authorization: [`Bearer ${KEY}`, `Bearer ${KEY}`] }, 2101],
    [{ authorization: [`Bearer ${KEY}`, 'Bearer sk-unknown'] }, 2101],
    [bearer('sk-unknown'), 2102],
  ];
  const runsBefore = north.runs.length + west.runs.length;
  const responses = await Promise.all(cases.map(([headers]) => send('/read/x', headers)));
  assert.deepEqual(
    responses.map(({ status }) => status),
    cases.map(() => 401),
  );
  assert.deepEqual(
    responses.map(({ headers }) => Number(headers['marjoramcart-code'])),
    cases.map(([, code]) => code),
  );
  responses.forEach(({ body, headers }) =>
    assert.ok(!JSON.stringify([body, headers]).includes('sk-')),
  );
  assert.equal(north.runs.length + west.runs.length, runsBefore);
});

// Guards against memory for bodies of requests that are refused anyway.
test('an unknown key is refused before the body is sent', async () => {
  const [host, port] = CALLERS.split(':');
  const status = await new Promise<number | undefined>((resolve, reject) => {
    const headers = {
      host: HOST,
      'request-id': 'early',
      'content-length': ANNOUNCED_BYTES,
      ...bearer('sk-unknown'),
    };
    const req = http.request({ host, port, method: 'POST', path: '/read/x', headers }, (res) => {
      resolve(res.statusCode);
      req.destroy();
    });
    req.on('error', reject);
    req.flushHeaders();
  });
  assert.equal(status, 401);
});

// Guards against public routes that need a key, or that pass one on.
test('a public route needs no key and tells the target the customer of a known one', async () => {
  const ids = ['open-none', 'open-known', 'open-unknown'];
  const keys = [{}, bearer(KEY), bearer('sk-unknown')];
  const responses = await Promise.all(
    keys.map((headers, index) => {
      const id = ids[index] as string;
      return fleet.send('vm-1', { path: '/open/x', id, headers: { tenant: 'north', ...headers } });
    }),
  );
  assert.deepEqual(
    responses.map(({ status }) => status),
    [200, 200, 200],
  );
  assert.deepEqual(ids.map(customerSeen), [undefined, 'acme', undefined]);
});

// Guards against requests that run outside the home regions of their customer, or without it after a forward.
test('the home regions of a customer bind, and a forward carries the customer', async () => {
  const remote = await fleet.send('vm-1', {
    path: '/read/x',
    id: 'homed',
    headers: bearer(WEST_KEY),
  });
  assert.equal(remote.status, 200);
  assert.equal(west.runs.filter(({ requestId }) => requestId === 'homed').length, 1);
  assert.equal(customerSeen('homed'), WEST_NAME);
  const local = await fleet.send('vm-1', {
    path: '/read/x',
    id: 'near',
    headers: bearer(NORTH_KEY),
  });
  assert.equal(local.status, 200);
  assert.equal(north.runs.filter(({ requestId }) => requestId === 'near').length, 1);
  // The route may run in the west only, and the customer in the north only.
  const nowhere = await Promise.all(
    NODES.map((node) =>
      fleet.send(node, { path: '/bound/x', id: 'both', headers: bearer(NORTH_KEY) }),
    ),
  );
  nowhere.forEach(({ status }) => assert.notEqual(status, 200));
  assert.deepEqual(runsOf('both'), []);
});

// Guards against forwards that run for a customer that the receiver does not have, and against refused
// forwards of the previous release, which sends the key.
test('a forward is accepted for a known customer, or by its key', async () => {
  const forward = (id: string, headers: Record<string, string>): Promise<ClientResponse> =>
    sendRequest(WEST_FORWARDS, {
      path: '/read/x',
      id,
      headers: { 'marjoramcart-forwarded-by': 'vm-1', 'marjoramcart-config': '5', ...headers },
    });
  const named = await forward('f-named', { 'marjoramcart-customer': 'acme' });
  const keyed = await forward('f-keyed', bearer(KEY));
  assert.deepEqual([named.status, keyed.status], [200, 200]);
  assert.deepEqual(['f-named', 'f-keyed'].map(customerSeen), ['acme', 'acme']);
  const refused = await Promise.all([
    forward('f-gone', { 'marjoramcart-customer': 'gone', ...bearer(KEY) }),
    forward('f-none', {}),
    forward('f-unknown', bearer('sk-unknown')),
  ]);
  refused.forEach(({ status, headers }) => {
    assert.equal(status, 401);
    assert.equal(headers['marjoramcart-run'], 'not_run');
    assert.equal(headers['marjoramcart-attempts'], '0');
  });
});

// Guards against 401 for a key that was added, at a gateway that knows that it lacks a configuration.
test('a key that was just added waits for its configuration', async () => {
  fleet.setStoreMode('vm-2', StoreMode.LosesOperatorKeys);
  fleet.store.put('op/config', configFor(6, [KEY, SECOND_KEY, LATER_KEY]));
  const { state } = fleet.gateway('vm-2');
  await fleet.until(() => state.newestConfigVersion === 6 || state.config?.version === 6);
  const statuses: number[] = [];
  await fleet.until(async () => {
    const { status } = await fleet.send('vm-2', { path: '/read/x', headers: bearer(LATER_KEY) });
    statuses.push(status);
    return status === 200;
  });
  assert.deepEqual(
    statuses.filter((status) => status !== 200 && status !== 503),
    [],
  );
  fleet.setStoreMode('vm-2', StoreMode.Serves);
});

// Guards against removed keys that work on open connections, or again when the store comes back.
test('a removed key is refused on an open connection, also after the store came back from a copy', async () => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const sockets = new Set<unknown>();
  agent.on('free', (socket) => sockets.add(socket));
  const statusOf = async (key: string): Promise<number> =>
    (await fleet.send('vm-1', { path: '/read/x', agent, headers: bearer(key) })).status;
  assert.equal(await statusOf(SECOND_KEY), 200);
  fleet.store.keepCopy();
  fleet.store.put('op/config', configFor(7, [KEY]));
  await fleet.until(async () => (await statusOf(SECOND_KEY)) === 401, REVOKED_WITHIN_MS);
  assert.equal(await statusOf(KEY), 200);
  const { state } = fleet.gateway('vm-1');
  const eraBefore = state.era;
  fleet.store.goBack();
  await fleet.until(() => state.era > eraBefore);
  assert.equal(await statusOf(SECOND_KEY), 401);
  assert.equal(sockets.size, 1);
  agent.destroy();
});

// Guards against a removed key that outlives its removal in the head of a slow upload.
test('a request whose key is removed while its body arrives is refused and not run', async () => {
  fleet.store.put('op/config', configFor(8, [KEY, LATER_KEY]));
  await untilInForce(8);
  const [host, port] = CALLERS.split(':');
  const headers = { host: HOST, 'request-id': 'slow', ...bearer(LATER_KEY) };
  const req = http.request({ host, port, method: 'POST', path: '/read/x', headers });
  const status = new Promise<number | undefined>((resolve, reject) => {
    req.on('response', (res) => resolve(res.resume().statusCode));
    req.on('error', reject);
  });
  req.write('first part');
  await fleet.until(() => fleet.gateway('vm-1').requestsInFlight === 1);
  fleet.store.put('op/config', configFor(9, [KEY]));
  await untilInForce(9);
  req.end('rest');
  assert.equal(await status, 401);
  assert.deepEqual(runsOf('slow'), []);
});

// Guards against requests that keep the priority of the route at the target.
test('the priority of a customer replaces that of the route', async () => {
  const prompt = { 'token-count': '10,10' };
  await fleet.send('vm-1', { path: '/read/x', id: 'own', headers: { ...prompt, ...bearer(KEY) } });
  await fleet.send('vm-1', { path: '/open/x', id: 'routes', headers: prompt });
  const priorities = ['own', 'routes'].map((id) => runsOf(id)[0]?.headers['request-priority']);
  assert.deepEqual(priorities, [String(ACME_PRIORITY), '1']);
});

// Guards against a request that is refused although the configuration with its key arrives in time.
test('a request with an unknown key waits for a newer configuration that is known', async () => {
  const { state } = fleet.gateway('vm-2');
  const { config } = state;
  assert.ok(config?.customers);
  const version = config.version + 1;
  state.onPeerConfig('vm-1', version);
  const sent = fleet.send('vm-2', { path: '/read/x', id: 'waits', headers: bearer('sk-new') });
  await fleet.until(() => fleet.gateway('vm-2').requestsInFlight === 1);
  const keyDigests = [createHash('sha256').update('sk-new').digest('hex')];
  const later = { name: 'later', keyDigests, regions: ANY_REGION };
  const customers = new Map([...config.customers, ['later', later]]);
  state.onConfig({ ...config, version, customers });
  assert.equal((await sent).status, 200);
  assert.equal(customerSeen('waits'), 'later');
});

// Guards against keys that a gateway accepts for ever that does not hear of their removal.
test('a gateway that fails closed refuses requests that need a key while nobody reaches the source', async () => {
  const settings = { contracts: ['tenants'], revokeMs: 3000, revokeFailClosed: true };
  const closed = new TestFleet(BASE_PORT + 20, undefined, settings);
  await closed.start();
  closed.store.put('op/config', configFor(5, [KEY]));
  await closed.addTarget(11, PLAIN_SERVICE, 'north-a');
  await closed.addGateway(11, 'north-a');
  const statusOf = async (path: string): Promise<number> =>
    (await closed.send('vm-11', { path, headers: bearer(KEY) })).status;
  try {
    await closed.until(async () => (await statusOf('/read/x')) === 200);
    closed.setStoreMode('vm-11', StoreMode.Silent);
    await closed.until(async () => (await statusOf('/read/x')) === 503);
    assert.equal(await statusOf('/open/x'), 200);
    closed.setStoreMode('vm-11', StoreMode.Serves);
    await closed.until(async () => (await statusOf('/read/x')) === 200);
  } finally {
    await closed.stop();
  }
});
