/** Property tests of the configuration check and of snapshot deltas, with a fixed seed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { checkConfig } from './check-config.js';
import { MAX_CONFIG_ERRORS } from './config-error.js';
import { diffConfigs } from './diff-config.js';
import { buildSnapshot } from './snapshot-builder.js';
import {
  applyDelta,
  sectionHashes,
  snapshotDelta,
  viewOfSnapshot,
  type Snapshot,
  type SnapshotDelta,
} from './snapshot.js';
import { mainPartSchema, type CustomerConfig } from './config-schema.js';

const SEED = 20_261_204;

const MAIN = `format: 1
regions:
  north: { failure_domains: [north-1], links: { west: { one_way: 80ms, mbit_per_s: 100 } } }
  west: { failure_domains: [west-1] }
models: { m: { version: '3', weights_mb: 10, adapters: [a] } }
services:
  answers: { kind: model, model: m, adapter: a, regions: [north, west], depends_on: [orders] }
  orders:
    kind: plain
    regions: [north, west]
    operations: [{ method: POST, path: /orders, repeatable: false }]
classes: { standard: { priority: 10 } }
customers: [{ id: c1, key: 'a0000000000000000000000000000001', class: standard }]
`;

/** The main part with a random piece replaced, which often is still valid YAML. */
const mutatedText = fc
  .record({
    start: fc.nat(MAIN.length),
    length: fc.nat(40),
    piece: fc.oneof(
      fc.string({ unit: 'binary', maxLength: 8 }),
      fc.constantFrom(
        '[',
        '{',
        '- ',
        ': ',
        '\n',
        '&a ',
        '*a',
        '__proto__: 1\n',
        'constructor',
        '~',
      ),
      fc.constantFrom('north', 'west', 'orders', 'answers', '-1', '1e999', '.nan', '!!binary x'),
    ),
  })
  .map(({ start, length, piece }) => MAIN.slice(0, start) + piece + MAIN.slice(start + length));

/** JSON (valid YAML) with some of the main part's keys, and with wrong types and unknown keys. */
const similarText = fc
  .dictionary(
    fc.constantFrom('format', 'regions', 'models', 'services', 'classes', 'customers', 'limits'),
    fc.oneof(fc.constant(1), fc.jsonValue({ maxDepth: 5 })),
  )
  .map((value) => JSON.stringify(value));

const anyText = fc.oneof(fc.string({ unit: 'binary' }), mutatedText, similarText);
const anyParts = fc.uniqueArray(
  fc.record({ file: fc.constantFrom('config/main', 'config/customers-a', 'x'), text: anyText }),
  { maxLength: 3, selector: ({ file }) => file },
);

const REGIONS = ['north', 'central', 'west'] as const;

/** A valid configuration with up to three regions, five services and twenty customers. */
const validConfigText = fc
  .record({
    regions: fc.subarray([...REGIONS], { minLength: 1 }),
    services: fc.array(fc.record({ min: fc.nat(5), away: fc.nat(9) }), { maxLength: 5 }),
    customers: fc.uniqueArray(fc.nat(1000), { maxLength: 20 }),
  })
  .map(({ regions, services, customers }) =>
    JSON.stringify({
      format: 1,
      regions: Object.fromEntries(
        regions.map((region, index) => {
          const others = regions.slice(index + 1);
          const links = others.map((other) => [other, { one_way: '80ms', mbit_per_s: 100 }]);
          return [
            region,
            { failure_domains: [region], links: Object.fromEntries(links) as unknown },
          ];
        }),
      ),
      models: { m: { version: '1', weights_mb: 10 } },
      services: Object.fromEntries(
        services.map(({ min, away }, index) => [
          `s${index}`,
          { kind: 'model', model: 'm', regions, targets: { min, max: 9 }, weights: { away } },
        ]),
      ),
      classes: { standard: { priority: 10 } },
      customers: customers.map(customer),
    }),
  );

test('no configuration makes the check throw, and each error has a position and a hint', () => {
  // Guards against a value in the configuration service that crashes every control daemon.
  fc.assert(
    fc.property(anyParts, (parts) => {
      const result = checkConfig(parts);
      if (result.kind === 'accepted') return;
      assert.ok(result.errors.length > 0 && result.errors.length <= MAX_CONFIG_ERRORS);
      result.errors.forEach(({ file, line, column, message, hint }) => {
        const lines = parts.find((part) => part.file === file)?.text.split(/\r\n|\r|\n/).length;
        assert.ok(line >= 1 && column >= 1 && line <= (lines ?? 1) + 1, `${line}:${column}`);
        assert.ok(message.length > 0 && hint.length > 0);
      });
    }),
    { seed: SEED, numRuns: 1500 },
  );
});

test('an accepted configuration always gives the same snapshot and has no difference to itself', () => {
  fc.assert(
    fc.property(validConfigText, fc.nat(), (text, revision) => {
      const [first, second] = [0, 1].map(() => checkConfig([{ file: 'config/main', text }]));
      assert.ok(first?.kind === 'accepted', JSON.stringify(first));
      assert.ok(second?.kind === 'accepted');
      const snapshot = buildSnapshot(revision, first.main, first.customers);
      const again = buildSnapshot(revision, second.main, second.customers);
      assert.equal(snapshot.rootHash, again.rootHash);
      assert.deepEqual(viewOfSnapshot(snapshot).services, first.main.services);
      assert.deepEqual(diffConfigs(first, second), { changes: [], effects: [] });
    }),
    { seed: SEED, numRuns: 500 },
  );
});

const emptyMain = mainPartSchema.parse({
  format: 1,
  regions: { north: { failure_domains: ['north-1'] } },
  services: {},
  classes: { standard: { priority: 10 } },
});

function customer(index: number): CustomerConfig {
  return { id: `c${index}`, key: index.toString(16).padStart(32, '0'), class: 'standard' };
}

const history = fc
  .array(fc.uniqueArray(fc.nat(30), { maxLength: 10 }), { minLength: 2, maxLength: 6 })
  .map((sets) => sets.map((set, index) => buildSnapshot(index + 1, emptyMain, set.map(customer))));

test('the order of customers in the configuration does not change the snapshot', () => {
  fc.assert(
    fc.property(fc.uniqueArray(fc.nat(2000), { maxLength: 100 }), (ids) => {
      const list = ids.map(customer);
      const reversed = [...list].reverse();
      const hash = buildSnapshot(1, emptyMain, list).rootHash;
      assert.equal(buildSnapshot(1, emptyMain, reversed).rootHash, hash);
    }),
    { seed: SEED },
  );
});

test('reordered deltas never lower the revision or mix two revisions', () => {
  // Guards against a delayed response of a peer that restores an older configuration.
  fc.assert(
    fc.property(
      history,
      fc.array(fc.tuple(fc.nat(5), fc.nat(6)), { maxLength: 20 }),
      (all, picks) => {
        const byRevision = new Map(all.map((snapshot) => [snapshot.revision, snapshot]));
        picks.reduce<Snapshot | undefined>((current, [to, from]) => {
          const target = all[to % all.length];
          if (!target) return current;
          // `from` may differ from the current snapshot, as in a response to an earlier request.
          const delta = snapshotDelta(target, sectionHashes(all[from % (all.length + 1)]));
          const result = applyDelta(current, delta);
          if (result.kind === 'rejected') return current;
          const { revision, rootHash } = result.snapshot;
          assert.ok(revision >= (current?.revision ?? 0), `${revision} after ${current?.revision}`);
          assert.equal(rootHash, byRevision.get(revision)?.rootHash);
          return result.snapshot;
        }, undefined);
      },
    ),
    { seed: SEED },
  );
});

test('a delta from any snapshot to a later one reproduces the later one', () => {
  fc.assert(
    fc.property(history, (all) => {
      const [first] = all;
      const last = all.at(-1);
      assert.ok(first && last);
      const result = applyDelta(first, snapshotDelta(last, sectionHashes(first)));
      assert.equal(result.kind === 'applied' && result.snapshot.rootHash, last.rootHash);
    }),
    { seed: SEED },
  );
});

test('applying a malformed delta never throws', () => {
  const section = fc.record({ name: fc.string(), hash: fc.string(), json: fc.string() });
  const anyDelta: fc.Arbitrary<SnapshotDelta> = fc.record({
    revision: fc.integer(),
    rootHash: fc.string(),
    changed: fc.array(section),
    removed: fc.array(fc.string()),
  });
  fc.assert(
    fc.property(history, anyDelta, ([base], delta) => {
      assert.equal(applyDelta(base, delta).kind === 'applied' && delta.changed.length > 0, false);
    }),
    { seed: SEED },
  );
});
