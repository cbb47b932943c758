/** Compares the incremental check with the full check, over seeded random edits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { checkConfig, configPartsOf } from './check-config.js';
import { SnapshotBuilder, buildSnapshot } from './snapshot-builder.js';
import { viewOfSnapshot, type ParsedSnapshot } from './snapshot.js';
import { ConfigChecker } from './config-checker.js';

const SEED = 20_261_204;

/** Main parts that differ in what customers refer to; some of them are invalid. */
const mainPartText = fc
  .record({
    west: fc.constantFrom(true, true, true, false),
    classes: fc.constantFrom('standard', 'crews'),
    serviceRegion: fc.constantFrom('north', 'north', 'west'),
    listed: fc.constantFrom([], [], [], [1], [5, 9]),
    own: fc.subarray([1, 2]),
  })
  .map(({ west, classes, serviceRegion, listed, own }) =>
    JSON.stringify({
      format: 1,
      regions: {
        north: {
          failure_domains: ['north-1'],
          ...(west && { links: { west: { one_way: '80ms', mbit_per_s: 100 } } }),
        },
        ...(west && { west: { failure_domains: ['west-1'] } }),
      },
      models: { m: { version: '1', weights_mb: 10 } },
      services: { s: { kind: 'model', model: 'm', regions: [serviceRegion] } },
      classes: { standard: { priority: 10 }, [classes]: { priority: 20 } },
      metrics: { customers: listed.map((n) => `c${n}`) },
      customers: own.map((n) => customer(n, n)),
    }),
  );

function customer(id: number, key: number): object {
  return { id: `c${id}`, key: key.toString(16).padStart(32, '0'), class: 'standard' };
}

/** The value in one of six cases, else undefined. */
function rarely<Value>(value: fc.Arbitrary<Value>): fc.Arbitrary<Value | undefined> {
  return fc.oneof(
    { weight: 5, arbitrary: fc.constant(undefined) },
    { weight: 1, arbitrary: value },
  );
}

/** Customers whose ids and keys often are duplicates, some with an unknown class or region. */
const customersPartText = fc
  .array(
    fc.record({
      id: fc.nat(60),
      key: rarely(fc.nat(60)),
      more: rarely(
        fc.constantFrom(
          { class: 'crews' },
          { regions: ['west'] },
          { regions: ['north'] },
          { x: 1 },
        ),
      ),
    }),
    { maxLength: 3 },
  )
  .map((list) =>
    JSON.stringify({
      format: 1,
      customers: list.map(({ id, key, more }) => ({ ...customer(id, key ?? id), ...more })),
    }),
  );

const edit = fc.oneof(
  {
    weight: 1,
    arbitrary: fc.record({ file: fc.constant('config/main'), text: mainPartText }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      file: fc.constantFrom('a', 'b', 'c', 'd').map((name) => `config/customers-${name}`),
      text: fc.option(fc.oneof({ weight: 12, arbitrary: customersPartText }, fc.constant('{')), {
        freq: 6,
      }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      file: fc.constantFrom('config/main', 'config/other'),
      text: fc.constantFrom(null, null, 'format: 1', '['),
    }),
  },
);

test('incremental checks of successive configurations equal a full check in result, snapshot and view', () => {
  // Guards against a cached part or index that hides an error across parts or reports a false one, and
  // against a section or customer of an older revision in a newer configuration.
  const seen = { accepted: 0, rejected: 0 };
  fc.assert(
    fc.property(mainPartText, fc.array(edit, { minLength: 1, maxLength: 25 }), (main, edits) => {
      const checker = new ConfigChecker();
      const builder = new SnapshotBuilder();
      const values = new Map([['config/main', main]]);
      edits.reduce<ParsedSnapshot | undefined>((before, { file, text }, revision) => {
        if (text === null) values.delete(file);
        else values.set(file, text);
        const result = checker.check(configPartsOf(values));
        assert.deepEqual(result, checkConfig(configPartsOf(values)));
        seen[result.kind] += 1;
        if (result.kind === 'rejected') return before;
        const snapshot = builder.build(revision, result.main, result.customers);
        assert.deepEqual(snapshot, buildSnapshot(revision, result.main, result.customers));
        const view = viewOfSnapshot(snapshot, before);
        assert.deepEqual(view, viewOfSnapshot(snapshot));
        return { snapshot, view };
      }, undefined);
    }),
    { seed: SEED, numRuns: 1000 },
  );
  assert.ok(seen.accepted > 1000 && seen.rejected > 1000, JSON.stringify(seen));
});
