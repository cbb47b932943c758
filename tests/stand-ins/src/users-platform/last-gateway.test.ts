import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { HOST, PLAIN_SERVICE, exampleConfig } from './example-config.js';
import { TestFleet } from './test-fleet.js';

const BASE_PORT = 25_400;
const NODES = ['vm-1', 'vm-2'] as const;
const [FIRST, LAST] = NODES;
/** Pause between the stop signals of the gateways of the region. */
const GAP_MS = 800;
/** After the stop signal; a route of 3 s still ends in the grace period of 8 s. */
const LATE_MS = 3700;
const LONG_MS = 12_000;
const ROUTE = {
  host: HOST,
  kind: 'safe',
  service: PLAIN_SERVICE,
  timeoutMs: 3000,
  homeRegions: ['north'],
};
const ROUTES = [
  { ...ROUTE, name: 'read', prefix: '/read/' },
  { ...ROUTE, name: 'long', prefix: '/long/', timeoutMs: LONG_MS },
];

let fleet: TestFleet;
let stopped: Promise<unknown>;

beforeEach(async () => {
  fleet = new TestFleet(BASE_PORT);
  await fleet.start();
  fleet.store.put('op/config', exampleConfig(4, { routes: ROUTES }));
  await fleet.addTarget(1, PLAIN_SERVICE, 'north-a');
  await fleet.addGateway(1, 'north-a');
  await fleet.addGateway(2, 'north-a');
  await fleet.addGateway(3, 'west-a');
  await Promise.all(
    NODES.map((node) =>
      fleet.until(async () => (await fleet.directory(node, 'north')).length === NODES.length),
    ),
  );
  await stopBoth();
});

afterEach(async () => {
  await stopped;
  await fleet.stop();
});

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Sends the stop signal to both gateways; returns when the last one leaves for `LATE_MS`. */
async function stopBoth(): Promise<void> {
  const first = fleet.shutDown(FIRST);
  await pause(GAP_MS);
  stopped = Promise.all([first, fleet.shutDown(LAST)]);
  await pause(LATE_MS);
}

// Guards against a region without any gateway while all of its gateways are replaced in turn: each
// refused all requests 2.8 s after its signal, although short ones end before it exits.
test('the last gateway of a region serves requests that end before it exits', async () => {
  assert.deepEqual(await fleet.directory(LAST, 'north'), [`127.0.0.2:${BASE_PORT}`]);
  assert.equal((await fleet.send(LAST, { path: '/read/x' })).status, 200);
});

// Guards against callers that come back at once, again to a region without a gateway, and give up.
test('callers whose request can not end in time are told when a gateway has restarted', async () => {
  const { status, headers } = await fleet.send(LAST, {
    path: '/long/x',
    headers: { 'deadline-ms': String(LONG_MS) },
  });
  assert.equal(status, 503);
  const retryAfterMs = Number(headers['retry-after']) * 1000;
  assert.ok(retryAfterMs > 3000 && retryAfterMs < 9000, `${retryAfterMs} ms`);
});
