import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualClock } from '../fakes/virtual-clock.js';
import { jainIndex } from './call-record.js';
import { spreadOf } from './report.js';
import { runScenario } from './run-scenario.js';
import { DEFAULT_COMBINATION, policyCombinations } from './policy-combinations.js';
import { scenarios, users } from './workloads.js';

test('simulated actions at the same time run in the order of their scheduling', () => {
  const clock = new VirtualClock();
  const seen: number[] = [];
  [5, 1, 3, 1, 4].forEach((delay, at) => clock.after(delay, () => seen.push(delay * 10 + at)));
  clock.runUntil(10);
  assert.deepEqual(seen, [11, 13, 32, 44, 50]);
});

test('a run is reproducible from its seed', () => {
  // Guards against figures in docs/measurements.md that cannot be reproduced.
  const [user] = users;
  const scenario = scenarios.find(({ name }) => name === 'half-lost');
  const system = policyCombinations.find(({ name }) => name === DEFAULT_COMBINATION);
  assert.ok(user && scenario && system);
  const first = runScenario(user, scenario, system, 3);
  assert.deepEqual(runScenario(user, scenario, system, 3), first);
  assert.notDeepEqual(runScenario(user, scenario, system, 4), first);
});

test('median, range and fairness index are computed correctly', () => {
  assert.deepEqual(spreadOf([3, 1, 2, 10]), { median: 2.5, min: 1, max: 10 });
  assert.equal(jainIndex([1, 0, 0, 0]), 0.25);
});
