import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { seededRandom } from '../random-source.js';
import { customerKey, DemandTable, MAX_TOLD_CUSTOMERS, RefusedBy } from './demand-table.js';
import { fairAmount, fairLevel } from './fair-levels.js';
import { ShareGate, type ShortageChange } from './share-gate.js';
import { workUnitsOf } from './work-units.js';

const DEMANDS = fc.array(
  fc.record({
    demand: fc.double({ min: 0.01, max: 1e6, noNaN: true }),
    weight: fc.double({ min: 0.1, max: 10, noNaN: true }),
  }),
  { minLength: 1, maxLength: 40 },
);

function gateOf(table: DemandTable, onChange: (change: ShortageChange) => void = () => undefined) {
  return new ShareGate({ table, random: seededRandom(1), weightOf: () => 1, onChange });
}

/** A table in which `hot` asks for most, and half of all work is refused. */
function shortTable(): DemandTable {
  const table = new DemandTable();
  [['hot', 900] as const, ['calm', 100] as const].forEach(([name, units]) => {
    table.onAsked('chat', customerKey(name), units, 0);
    table.onAdmitted('chat', customerKey(name), units / 2, 0);
    table.onRefused('chat', customerKey(name), units / 2, RefusedBy.Overload, false, 0);
  });
  return table;
}

test('the fair level uses up the capacity, takes only from the largest, and keeps the least', () => {
  fc.assert(
    fc.property(DEMANDS, fc.double({ min: 0.01, max: 0.99, noNaN: true }), (rows, part) => {
      const demands = rows.map((row) => ({ ...row, least: row.demand * part * 0.3 }));
      const asked = demands.reduce((sum, { demand }) => sum + demand, 0);
      const level = fairLevel(demands, asked * part);
      const amounts = demands.map((demand) => fairAmount(demand, level));
      const given = amounts.reduce((sum, amount) => sum + amount, 0);
      assert.ok(Math.abs(given - asked * part) <= asked * 1e-9);
      demands.forEach(({ demand, least, weight }, index) => {
        const amount = amounts[index] ?? 0;
        assert.ok(amount >= least && amount >= Math.min(demand, level * weight));
        assert.ok(amount <= Math.max(least, level * weight));
      });
    }),
    { seed: 7 },
  );
});

test('the fair level has no bound while the capacity covers the demands', () => {
  assert.equal(fairLevel([{ demand: 3, least: 1, weight: 1 }], 3), Infinity);
  assert.equal(fairLevel([], 0), Infinity);
});

test('an output token counts as ten prompt tokens, a plain request as one unit', () => {
  assert.equal(workUnitsOf({ promptTokens: 500, expectedOutputTokens: 20 }), 700);
  assert.equal(workUnitsOf(undefined), 1);
});

test('the demand of a region is scaled from the gateways that told theirs, and expires', () => {
  const table = new DemandTable();
  table.setGateways(5);
  const key = customerKey('acme');
  table.onAsked('chat', key, 200, 0);
  const rest = { customers: 0, asked: 0, admitted: 0 };
  const told = { refused: 10, overloaded: 5, customers: [{ key, asked: 30, admitted: 20 }], rest };
  table.onTold('vm-2', 'chat', told, 0);
  table.onTold('vm-3', 'chat', { ...told, customers: [] }, 0);
  // 100/s of its own, and two of four others told 30/s together.
  assert.equal(table.demandOf('chat', key, 0).asked, 160);
  assert.equal(table.totals('chat', 0).refused, 40);
  assert.equal(table.tellingGateways('chat', 2999), 2);
  assert.ok(table.demandOf('chat', key, 3000).asked < 100);
  table.expire(10_000);
  assert.deepEqual(table.services, []);
});

test('a message lists the largest customers and sums up the rest at 25,000 customers', () => {
  const table = new DemandTable();
  Array.from({ length: 25_000 }, (_, index) =>
    table.onAsked('chat', customerKey(`customer-${index}`), 1 + (index % 500), 0),
  );
  const own = table.ownDemand('chat', 0);
  assert.equal(own?.customers.length, MAX_TOLD_CUSTOMERS);
  assert.equal(own.customers[0]?.asked, 250);
  const listed = own.customers.reduce((sum, { asked }) => sum + asked, 0);
  assert.ok(Math.abs(listed + own.rest.asked - (25_000 * 250.5) / 2) < 1);
  assert.equal(table.ownDemand('chat', 3000)?.customers.length, 0);
});

test('a service becomes short once and has enough again once', () => {
  const changes: ShortageChange[] = [];
  const table = shortTable();
  const gate = gateOf(table, (change) => changes.push(change));
  Array.from({ length: 200 }, (_, index) => index * 100).forEach((now) => {
    table.onAsked('chat', customerKey('calm'), 100, now);
    table.onAdmitted('chat', customerKey('calm'), 100, now);
    gate.check(now);
  });
  assert.deepEqual(
    changes.map(({ short }) => short),
    [true, false],
  );
  assert.ok((changes[1]?.lastedMs ?? 0) > 1000);
});

test('a refused request may come back when its customer has decayed to its level', () => {
  const refusals = (remainingMs: number): number[] => {
    const gate = gateOf(shortTable());
    return Array.from({ length: 50 }, () =>
      gate.decide('chat', customerKey('hot'), 10 + remainingMs, 10),
    ).flatMap((decision) => (decision.kind === 'refuse' ? [decision.retryAfterMs] : []));
  };
  const [unbounded = 0] = refusals(60_000);
  assert.ok(unbounded > 1000 && unbounded < 2500, `${unbounded}`);
  assert.equal(refusals(2000)[0], 400);
  assert.equal(refusals(10)[0], 100);
});

test('a customer below its level always passes, and all pass while a customer is alone', () => {
  const gate = gateOf(shortTable());
  const isPassed = (name: string): boolean =>
    gate.decide('chat', customerKey(name), 1000, 10).kind === 'pass';
  assert.ok(Array.from({ length: 100 }, () => isPassed('calm')).every(Boolean));
  assert.ok(Array.from({ length: 100 }, () => isPassed('unknown')).every(Boolean));
  const alone = new DemandTable();
  alone.onAsked('chat', customerKey('hot'), 100, 0);
  alone.onRefused('chat', customerKey('hot'), 90, RefusedBy.Overload, false, 0);
  const kinds = Array.from(
    { length: 100 },
    () => gateOf(alone).decide('chat', customerKey('hot'), 1000, 10).kind,
  );
  assert.ok(kinds.every((kind) => kind === 'pass'));
});
