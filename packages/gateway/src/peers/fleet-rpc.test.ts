import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { createServer, type Server } from 'node:http';
import { afterEach, test } from 'node:test';
import {
  ANY_REGION,
  type FleetConfig,
  type FleetCustomer,
  type FleetState,
} from '@marjoramcart/core';
import { ManualTimerService, Metrics, silentLogger } from '@marjoramcart/runtime';
import { GatewayState } from '../state/gateway-state.js';
import { StateMetrics } from '../state/state-metrics.js';
import { FleetRpcTask, fetchFleetState } from './fleet-rpc.js';

const ADDRESS = '127.0.3.1:21540';
const ERA = 1;
/** State as the previous release (4793590) sends it. */
const PREVIOUS_RELEASE = JSON.stringify({
  era: ERA,
  revision: 40,
  config: {
    version: 7,
    routes: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 },
    services: [{ name: 'plain', warmupMs: 0, coldRequestsPerS: 0 }],
  },
  targets: [],
  evacuated: [],
});
const CUSTOMERS = new Map([['acme', { name: 'acme', keyDigests: ['d-1'], regions: ANY_REGION }]]);

const closers: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

/** A gateway that answers each fetch with a recorded state. */
async function answerWith(recorded: string): Promise<void> {
  const server: Server = createServer((req, res) => {
    req.setEncoding('utf8').on('data', (text: string) => {
      const { id } = JSON.parse(text) as { id: number };
      res.end(`{"jsonrpc":"2.0","id":${id},"result":${recorded}}`);
    });
  });
  const [host, port] = ADDRESS.split(':');
  await new Promise<void>((resolve) => {
    server.listen(Number(port), host, resolve);
  });
  closers.push(() => server.close());
}

/** A gateway of this release that has a state in force. */
async function serve(
  state: FleetState | (() => FleetState),
  timers = new ManualTimerService(),
): Promise<void> {
  const snapshot = typeof state === 'function' ? state : () => state;
  const task = new FleetRpcTask(ADDRESS, snapshot, silentLogger(), timers);
  await task.start();
  closers.push(() => task.stop());
}

async function fetched(): Promise<FleetState> {
  const state = await fetchFleetState(ADDRESS, ERA);
  assert.ok(state);
  return state;
}

function gatewayState(requiresCustomers: boolean): GatewayState {
  const state: GatewayState = new GatewayState(
    'north',
    new ManualTimerService(),
    silentLogger(),
    new StateMetrics(new Metrics(), () => state),
    () => undefined,
    () => undefined,
    requiresCustomers,
  );
  return state;
}

function versionAfter(state: GatewayState, from: FleetState): number | undefined {
  state.applyFromPeer(from, 'vm-2');
  return state.config?.version;
}

async function fromPreviousRelease(): Promise<FleetState> {
  await answerWith(PREVIOUS_RELEASE);
  return fetched();
}

// Guards against requests without keys that are served because a gateway of the previous release passed
// on a configuration without its customers.
test('a configuration of the previous release is not put in force where customers are required', async () => {
  const previous = await fromPreviousRelease();
  assert.equal(versionAfter(gatewayState(true), previous), undefined);
  assert.equal(versionAfter(gatewayState(false), previous), 7);
});

// Guards against a deployment whose customers are only known once the next version is written.
test('the same version with customers replaces one that was passed on without them', async () => {
  const previous = await fromPreviousRelease();
  const state = gatewayState(false);
  state.applyFromPeer(previous, 'vm-2');
  const { lacksCustomers, ...config } = previous.config;
  assert.equal(lacksCustomers, true);
  const complete: FleetConfig = { ...config, customers: CUSTOMERS };
  state.onConfig(complete);
  assert.equal(state.config, complete);
  state.onConfig({ ...complete });
  assert.equal(state.config, complete);
  state.applyFromPeer(previous, 'vm-2');
  assert.equal(state.config, complete);
});

// Guards against a state that is too large, or takes too long, to be fetched in two years.
test('a state with 25,000 customers is fetched', async () => {
  const entries = Array.from({ length: 25_000 }, (_, index) => {
    const name = `customer-${index}`;
    const keyDigests = [`${name}-1`, `${name}-2`].map((key) =>
      createHash('sha256').update(key).digest('hex'),
    );
    return [name, { name, keyDigests, priority: index % 9, regions: ANY_REGION }] as const;
  });
  const previous = JSON.parse(PREVIOUS_RELEASE) as FleetState;
  const config: FleetConfig = {
    ...previous.config,
    services: new Map(),
    customers: new Map(entries),
  };
  await serve({ ...previous, config, evacuated: new Set() });
  assert.deepEqual((await fetched()).config.customers, config.customers);
});

// Guards against customers that are lost between two gateways, and against a deployment without customers
// that no gateway can fetch the configuration of.
test('a gateway of this release passes on the customers, or that there are none', async () => {
  const previous = await fromPreviousRelease();
  await Promise.all(closers.splice(0).map((close) => close()));
  const { lacksCustomers, ...config } = previous.config;
  await serve({ ...previous, config: { ...config, customers: CUSTOMERS } });
  const withCustomers = await fetched();
  assert.deepEqual(withCustomers.config.customers, CUSTOMERS);
  assert.equal(versionAfter(gatewayState(true), withCustomers), 7);
  await Promise.all(closers.splice(0).map((close) => close()));
  await serve({ ...previous, config });
  assert.equal(versionAfter(gatewayState(true), await fetched()), 7);
  await Promise.all(closers.splice(0).map((close) => close()));
  // What a gateway of the previous release left out is still missing one gateway later.
  await serve(previous);
  assert.equal((await fetched()).config.lacksCustomers, lacksCustomers);
});

// Guards against a gateway that outgrows its machine, and is late for its callers, as each answer to the
// gateways that fetch a configuration with many customers is encoded by itself.
test('concurrent and later answers share one encoding of a configuration, for a limited time', async () => {
  let encodings = 0;
  const acme: FleetCustomer = { name: 'acme', keyDigests: ['d-1'], regions: ANY_REGION };
  const counted = {
    ...acme,
    toJSON: () => {
      encodings += 1;
      return acme;
    },
  };
  const named = (first: FleetCustomer): Map<string, FleetCustomer> =>
    new Map([
      ['acme', first],
      ...Array.from({ length: 2000 }, (_, index) => {
        const name = `customer-${index}`;
        return [name, { ...acme, name }] as const;
      }),
    ]);
  const previous = JSON.parse(PREVIOUS_RELEASE) as FleetState;
  const base = { ...previous.config, services: new Map() };
  const config = { ...base, customers: named(counted) };
  let state: FleetState = { ...previous, config, evacuated: new Set() };
  const timers = new ManualTimerService();
  await serve(() => ({ ...state }), timers);
  const states = await Promise.all(Array.from({ length: 30 }, () => fetched()));
  const customers = named(acme);
  states.forEach((each) => assert.deepEqual(each, { ...state, config: { ...base, customers } }));
  assert.equal(encodings, 1);
  state = { ...state, revision: 41, evacuated: new Set(['a']) };
  assert.deepEqual(await fetched(), { ...state, config: { ...base, customers } });
  assert.equal(encodings, 1);
  state = { ...state, config: { ...config, version: 8 } };
  assert.equal((await fetched()).config.version, 8);
  assert.equal(encodings, 2);
  timers.advance(60_000);
  assert.equal((await fetched()).config.version, 8);
  assert.equal(encodings, 3);
});
