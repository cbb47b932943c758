import assert from 'node:assert/strict';
import { test } from 'node:test';
import { diffConfigs, type AcceptedConfig } from './diff-config.js';
import { mainPartSchema, type MainPart } from './config-schema.js';

const main = mainPartSchema.parse({
  format: 1,
  regions: {
    north: { failure_domains: ['north-1'], links: { west: { one_way: '80ms', mbit_per_s: 100 } } },
    west: { failure_domains: ['west-1'] },
  },
  models: { m: { version: '3', weights_mb: 10 } },
  services: {
    answers: { kind: 'model', model: 'm', regions: ['north', 'west'] },
    more: { kind: 'model', model: 'm', regions: ['north'] },
  },
  classes: { standard: { priority: 10 } },
});
const key = 'a'.repeat(32);
const customers = [
  { id: 'c1', key, class: 'standard', regions: ['west'] },
  { id: 'c2', key: 'b'.repeat(32), class: 'standard' },
];
const before: AcceptedConfig = { main, customers };

function withServices(change: (services: MainPart['services']) => void): AcceptedConfig {
  const copy = structuredClone(main);
  change(copy.services);
  return { main: copy, customers };
}

test('equal configurations have no difference', () => {
  assert.deepEqual(diffConfigs(before, structuredClone(before)), { changes: [], effects: [] });
});

test('removing a service from a region retires its model there and reports the callers that lose access', () => {
  // Guards against an operator who removes a region without seeing which callers lose access.
  const after = withServices(({ answers }) => answers?.regions.pop());
  const { changes, effects } = diffConfigs(before, after);
  assert.deepEqual(changes, [
    { subject: 'service answers', change: 'regions: [north, west] -> [north]' },
  ]);
  assert.ok(effects.includes('customers that lose access to service answers: 1 (c1)'));
  assert.ok(effects.some((line) => line.startsWith('model m version 3 is retired in west-1')));
});

test('a model that another service still uses is not reported as retired', () => {
  const after = withServices((services) => {
    Reflect.deleteProperty(services, 'more');
  });
  assert.deepEqual(
    diffConfigs(before, after).effects.filter((line) => line.includes('retired')),
    [],
  );
});

test('a new model version is reported as loaded in every failure domain of its services', () => {
  const copy = structuredClone(main);
  if (copy.models.m) copy.models.m.version = '4';
  const { effects } = diffConfigs(before, { main: copy, customers });
  assert.deepEqual(effects, [
    'model m version 4 is loaded in north-1, west-1',
    'model m version 3 is retired in north-1, west-1 once its replacement is ready',
  ]);
});

test('a new API key of a customer is reported with its effect', () => {
  const [first, second] = customers;
  const after = { main, customers: [{ ...first, key: 'c'.repeat(32) }, second] } as AcceptedConfig;
  assert.match(diffConfigs(before, after).effects.join(), /new API key.*\(c1\)/);
});

test('a changed number of targets is reported with its failure domains', () => {
  const copy = structuredClone(main);
  if (copy.services.answers) copy.services.answers.targets = { min: 2, max: 4 };
  const after = { main: copy, customers };
  assert.deepEqual(diffConfigs(before, after).effects, [
    'service answers holds 2 to 4 targets instead of 1 to 1000 in each of north-1, west-1',
  ]);
});
