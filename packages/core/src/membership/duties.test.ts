import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isOrderSender, isSummaryPublisher, isWatcher, proberRank } from './duties.js';

const NAMES = ['a', 'b', 'c', 'd', 'e'];

function dutiesOf(key: string, live: readonly string[]): unknown[] {
  return live.flatMap((self) => [
    isOrderSender(key, self, live),
    isSummaryPublisher(key, self, live),
    isWatcher(key, self, live),
    proberRank(key, self, live),
  ]);
}

test('duties of a list that was asked about before are those of a new list', () => {
  // Guards against duties that are kept beyond a change of the list, or of another key.
  const lists = [NAMES, NAMES.slice(1), NAMES.slice(2), [...NAMES].reverse()];
  const keys = Array.from({ length: 1200 }, (_, n) => `target-${n % 600}`);
  keys.forEach((key) =>
    lists.forEach((list) => assert.deepEqual(dutiesOf(key, list), dutiesOf(key, [...list]))),
  );
});
