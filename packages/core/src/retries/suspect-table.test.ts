import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SUSPECT_LIFETIME_MS, SuspectTable } from './suspect-table.js';

const request = { digest: 'd1', customer: 'c1', service: 'chat' };

test('a request is suspected after one death, refused after two and forgotten after 10 minutes', () => {
  // Guards against a request that crashes one target after the other.
  const table = new SuspectTable();
  assert.equal(table.onDeath(request, 0), 'suspect');
  assert.equal(table.onDeath(request, 10), 'refused');
  table.onCompleted('d1', 20);
  assert.equal(table.level('d1', 30), 'refused');
  assert.equal(table.level('d1', 10 + SUSPECT_LIFETIME_MS), 'none');
});

test('an innocent suspect is cleared when it ran to its end', () => {
  const table = new SuspectTable();
  table.onDeath(request, 0);
  table.onCompleted('d1', 10);
  assert.equal(table.level('d1', 10), 'none');
});

test('a death seen elsewhere counts, so that the second one refuses the request', () => {
  // Guards against two more lost targets for each entry that a caller re-sends to.
  const elsewhere = new SuspectTable();
  elsewhere.onDeath(request, 0);
  const table = new SuspectTable();
  table.merge(elsewhere.localRecords(5), 0);
  assert.equal(table.level('d1', 0), 'suspect');
  assert.deepEqual(table.localRecords(0), [], 'only own findings are reported');
  assert.equal(table.onDeath(request, 1), 'refused');
});
