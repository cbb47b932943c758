import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { test } from 'node:test';
import { checkConfig, configPartsOf } from './check-config.js';
import { MAX_VALUE_BYTES } from './parse-part.js';
import { MAX_CONFIG_ERRORS } from './config-error.js';

const MAIN = `format: 1
regions:
  north: { failure_domains: [north-1], links: { west: { one_way: 80ms, mbit_per_s: 1500 } } }
  west: { failure_domains: [west-1] }
models:
  rigging: { version: '3', weights_mb: 4000, adapters: [manuals] }
services:
  tent-answers: { kind: model, model: rigging, adapter: manuals, regions: [north, west] }
  booking:
    kind: plain
    regions: [north]
    targets: { min: 1, max: 3 }
    operations: [{ method: POST, path: /slots, repeatable: false }]
classes: { standard: { priority: 10 } }
customers:
  - { id: c1, key: a0000000000000000000000000000001, class: standard }
metrics: { customers: [c1] }
`;

function errorsOf(text: string, customers?: string) {
  const parts = [{ file: 'main.yaml', text }];
  const all =
    customers === undefined ? parts : [...parts, { file: 'customers-a', text: customers }];
  const result = checkConfig(all);
  return result.kind === 'accepted' ? [] : result.errors;
}

test('a valid configuration is accepted and gets its defaults', () => {
  const result = checkConfig(configPartsOf(new Map([['config/main', MAIN]])));
  assert.equal(result.kind, 'accepted', JSON.stringify(result));
  assert.equal(result.kind === 'accepted' && result.main.services.booking?.concurrency, 32);
});

// Each row guards against accepting an invalid configuration. It has the replaced text, its
// replacement, the expected message and the text at the reported position.
const REPLACEMENTS = [
  ['classes:', 'clases:', "unknown key 'clases'", 'clases:'],
  ['one_way: 80ms', 'one_way: 80', 'expected string, received number', '80,'],
  ['one_way: 80ms', 'one_way: 80sec', 'use a number with a unit', '80sec'],
  ['mbit_per_s: 1500', 'mbit_per_s: 1500M', 'expected number, received string', '1500M'],
  ['[west-1]', '[north-1]', "already in region 'north'", 'north-1] }\nmodels'],
  ['links: { west:', 'links: { west: {}, west:', 'duplicated mapping key', ''],
  [
    '[west-1]',
    '[west-1], links: { north: { one_way: 1ms, mbit_per_s: 1500 } }',
    'other',
    'north: {',
  ],
  [', links: { west: { one_way: 80ms, mbit_per_s: 1500 } }', '', 'is missing', 'north: {'],
  ['links: { west:', 'links: { east:', "there is no region 'east'", 'east:'],
  ['model: rigging', 'model: constructor', "there is no model 'constructor'", 'constructor'],
  ['adapter: manuals', 'adapter: other', "there is no adapter 'other'", 'other,'],
  ['regions: [north, west]', 'regions: [north, east]', "there is no region 'east'", 'east]'],
  ['min: 1, max: 3', 'min: 4, max: 3', 'above the maximum', '{ min: 4'],
  ['    regions: [north]', '    regions: [north]\n    depends_on: [nope]', 'no service', 'nope'],
  ['class: standard }', 'class: gold }', "there is no class 'gold'", 'gold'],
  ['class: standard }', 'class: standard, services: [nope] }', 'no service', 'nope'],
  ['class: standard }', 'class: standard, regions: [west] }', 'shares no region', '[west] }'],
  ['metrics: { customers: [c1] }', 'metrics: { customers: [c2] }', "no customer 'c2'", 'c2]'],
  ['adapter: manuals,', 'adapter: manuals, depends_on: [booking],', "not in 'west'", 'booking]'],
  ['format: 1', 'format: 1\nlimits: { retry_budget_percent: 101 }', 'Too big', '101'],
] as const;

REPLACEMENTS.forEach(([from, to, message, textAtPosition]) => {
  test(`a configuration with ${JSON.stringify(to)} is rejected with the position of the error`, () => {
    assert.ok(MAIN.includes(from));
    const text = MAIN.replace(from, to);
    const errors = errorsOf(text);
    const error = errors.find((item) => item.message.includes(message));
    assert.ok(error, JSON.stringify(errors));
    assert.equal(error.file, 'main.yaml');
    assert.ok(error.hint.length > 0);
    const rest = text
      .split('\n')
      .slice(error.line - 1)
      .join('\n');
    assert.equal(
      rest.slice(error.column - 1, error.column - 1 + textAtPosition.length),
      textAtPosition,
    );
  });
});

test('a dependency cycle is rejected with a message that lists its services', () => {
  const text = MAIN.replace(
    'regions: [north]\n',
    'regions: [north]\n    depends_on: [loop]\n',
  ).replace(
    'classes:',
    '  loop: { kind: model, model: rigging, regions: [north], depends_on: [booking] }\nclasses:',
  );
  const errors = errorsOf(text);
  assert.equal(errors.length, 1);
  assert.match(errors[0]?.message ?? '', /booking -> loop -> booking/);
});

test('ids and API keys that are duplicated across parts are rejected', () => {
  const errors = errorsOf(
    MAIN,
    'format: 1\ncustomers:\n  - { id: c1, key: a0000000000000000000000000000001, class: standard }\n',
  );
  assert.deepEqual(
    errors.map(({ file, line, column }) => `${file}:${line}:${column}`),
    ['customers-a:3:11', 'customers-a:3:20'],
  );
});

test('errors in customers in block style, with comments and wide characters, have the right position', () => {
  // Guards against shifted lines or columns, since each customer is parsed alone to find positions.
  const text = `\uFEFFformat: 1
# Telgitöö 🎪
customers:
  - id: c7
    key: a0000000000000000000000000000007

    # a comment
    class: gold
  -
    id: c8
    key: a0000000000000000000000000000008
    class: standard
    limits:
      streams: 0
    colour: red
  - { key: a0000000000000000000000000000009,
      id: c9, class: standard, regions: [north, east] }
`.replaceAll('\n', '\r\n');
  assert.deepEqual(
    errorsOf(MAIN, text).map(({ line, column }) => `${line}:${column}`),
    ['14:16', '15:5'],
  );
  const valid = text.replace('streams: 0', 'streams: 1').replace('colour: red', '# red');
  assert.deepEqual(
    errorsOf(MAIN, valid).map(({ line, column }) => `${line}:${column}`),
    ['8:12', '17:49'],
  );
});

test('a value over the size limit, a missing and a second main part are rejected', () => {
  assert.match(errorsOf(MAIN, `#${'x'.repeat(MAX_VALUE_BYTES)}`)[0]?.message ?? '', /at most/);
  assert.equal(checkConfig([]).kind, 'rejected');
  const twice = [
    { file: 'a', text: MAIN },
    { file: 'b', text: MAIN },
  ];
  assert.equal(checkConfig(twice).kind, 'rejected');
});

test('aliases that expand without limit and deep nesting are rejected', () => {
  // Guards against a small value that exhausts the memory or stack of a daemon.
  const levels = Array.from({ length: 30 }, (_, i) => `a${i + 1}: &a${i + 1} [*a${i}, *a${i}]`);
  const bomb = errorsOf(`${MAIN}a0: &a0 [x]\n${levels.join('\n')}\n`);
  assert.match(bomb[0]?.message ?? '', /aliases/);
  assert.match(errorsOf('['.repeat(200_000))[0]?.message ?? '', /./);
});

test('long chains of services and thousands of regions without links are rejected', () => {
  // Guards against a stack overflow or gigabytes of errors in every control daemon.
  const chain = Array.from(
    { length: 9000 },
    (_, i) =>
      `  s${i}: { kind: model, model: rigging, regions: [north], depends_on: [s${i + 1}] }\n`,
  );
  const errors = errorsOf(MAIN.replace('classes:', `${chain.join('')}classes:`));
  assert.match(errors[0]?.message ?? '', /no service 's9000'/);
  const regions = Array.from({ length: 5000 }, (_, i) => `  r${i}: { failure_domains: [d${i}] }\n`);
  const many = errorsOf(MAIN.replace('models:', `${regions.join('')}models:`));
  assert.equal(many.length, MAX_CONFIG_ERRORS);
});

test('an error in every customer is reported at most MAX_CONFIG_ERRORS times', () => {
  assert.equal(errorsOf(MAIN, customersText(0, 5000, 'gold')).length, MAX_CONFIG_ERRORS);
});

test('a configuration with 25,000 customers is checked within 2 s', () => {
  const values = new Map([['config/main', MAIN]]);
  [0, 1, 2, 3].forEach((part) => {
    values.set(`config/customers-${part}`, customersText(part * 6250 + 1, 6250, 'standard'));
  });
  const start = performance.now();
  const result = checkConfig(configPartsOf(values));
  const elapsedMs = performance.now() - start;
  assert.equal(result.kind, 'accepted');
  assert.ok(elapsedMs < 2000, `took ${elapsedMs} ms`);
});

function customersText(first: number, count: number, customerClass: string): string {
  const lines = Array.from({ length: count }, (_, offset) => {
    const id = `crew-${first + offset}`;
    const key = createHash('sha256').update(id).digest('hex').slice(0, 32);
    return `  - { id: ${id}, key: ${key}, class: ${customerClass}, regions: [north, west] }\n`;
  });
  return `format: 1\ncustomers:\n${lines.join('')}`;
}
