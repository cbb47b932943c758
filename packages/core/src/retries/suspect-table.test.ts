import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SUSPECT_LIFETIME_MS, SuspectTable } from './suspect-table.js';

const request = { digest: 'd1', customer: 'c1', service: 'chat' };

test('a request is suspected after one death, refused after two and forgotten after 10 minutes', () => {
  // Guards against a request that crashes one target after another.
  const table = new SuspectTable();
  assert.equal(table.onDeath(request, 0), 'suspect');
  assert.equal(table.onDeath(request, 10), 'refused');
  table.onCompleted('d1', 20);
  assert.equal(table.level('d1', 30), 'refused');
  assert.equal(table.level('d1', 10 + SUSPECT_LIFETIME_MS), 'none');
});

test('a suspect that completes is cleared', () => {
  const table = new SuspectTable();
  table.onDeath(request, 0);
  table.onCompleted('d1', 10);
  assert.equal(table.level('d1', 10), 'none');
});

test('a death observed by another process counts towards the refusal', () => {
  // Guards against losing two more targets at each entry that the caller retries at.
  const otherProcess = new SuspectTable();
  otherProcess.onDeath(request, 0);
  const table = new SuspectTable();
  table.merge(otherProcess.localRecords(5), 0);
  assert.equal(table.level('d1', 0), 'suspect');
  assert.deepEqual(table.localRecords(0), [], 'only deaths observed locally are reported');
  assert.equal(table.onDeath(request, 1), 'refused');
});
