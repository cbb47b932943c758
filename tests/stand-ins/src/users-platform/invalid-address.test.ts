import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { exampleConfig, MODEL_SERVICE, PLAIN_SERVICE } from './example-config.js';
import { SmallGateway } from './small-gateway.js';

/** Time in which a gateway asks each target that it does not hear from. */
const ASKED_MS = 5000;
/** Targets that report their start. */
const ENGINES = {
  name: MODEL_SERVICE,
  warmupS: 10,
  coldPerS: 1,
  engine: { slots: 8, kvCapacityTokens: 1e5 },
};

const gateway = new SmallGateway({ basePort: 30_300 });

after(() => gateway.close());

// Guards against a gateway that is ended by the entry of a target whose address can't be connected to.
test('targets whose port is out of range do not end the gateway', async () => {
  await gateway.start();
  const { store, target } = gateway;
  store.put('op/config', exampleConfig(4, { services: [ENGINES, { name: PLAIN_SERVICE }] }));
  const address = '127.0.1.3:99999';
  store.put('servers/i-3', target.entry(MODEL_SERVICE, 'north-a', { address }));
  store.put('servers/i-4', target.entry(PLAIN_SERVICE, 'north-a', { address }));
  await delay(ASKED_MS);
  gateway.assertAlive();
  assert.equal((await gateway.sendShort()).status, 200);
});
