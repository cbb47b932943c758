import assert from 'node:assert/strict';
import { test } from 'node:test';
import { buildSnapshot } from './snapshot-builder.js';
import { applyDelta, sectionHashes, snapshotDelta } from './snapshot.js';
import { mainPartSchema, type CustomerConfig } from './config-schema.js';

const main = mainPartSchema.parse({
  format: 1,
  regions: { north: { failure_domains: ['north-1'] } },
  services: {},
  classes: { standard: { priority: 10 } },
});

function customer(index: number): CustomerConfig {
  return { id: `c${index}`, key: index.toString(16).padStart(32, '0'), class: 'standard' };
}

test('a delta contains only the changed sections and reproduces the snapshot', () => {
  const customers = Array.from({ length: 2000 }, (_, index) => customer(index));
  const before = buildSnapshot(1, main, customers);
  const after = buildSnapshot(2, main, [...customers, customer(5000)]);
  const delta = snapshotDelta(after, sectionHashes(before));
  assert.equal(delta.changed.length, 1);
  const result = applyDelta(before, delta);
  assert.equal(result.kind, 'applied');
  assert.equal(result.kind === 'applied' && result.snapshot.rootHash, after.rootHash);
});

test('a delta that is applied to the wrong base is rejected', () => {
  // Guards against applying a mix of two revisions.
  const before = buildSnapshot(1, main, [customer(1)]);
  const after = buildSnapshot(2, main, [customer(1), customer(2)]);
  const delta = snapshotDelta(after, sectionHashes(before));
  const result = applyDelta(undefined, delta);
  assert.equal(result.kind, 'rejected');
});
