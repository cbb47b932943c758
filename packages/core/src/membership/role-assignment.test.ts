import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isOrderSender, isSummaryPublisher, isWatcher, proberRank } from './role-assignment.js';

const NAMES = ['a', 'b', 'c', 'd', 'e'];

function assignmentsOf(key: string, live: readonly string[]): unknown[] {
  return live.flatMap((self) => [
    isOrderSender(key, self, live),
    isSummaryPublisher(key, self, live),
    isWatcher(key, self, live),
    proberRank(key, self, live),
  ]);
}

test('cached assignments of a list equal those of a new list', () => {
  // Guards against cached assignments of a previous list or of another key.
  const lists = [NAMES, NAMES.slice(1), NAMES.slice(2), [...NAMES].reverse()];
  const keys = Array.from({ length: 1200 }, (_, n) => `target-${n % 600}`);
  keys.forEach((key) =>
    lists.forEach((list) =>
      assert.deepEqual(assignmentsOf(key, list), assignmentsOf(key, [...list])),
    ),
  );
});
