import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SharedPrefixAffinity } from './shared-prefix-affinity.js';

const PREFIXES = Array.from({ length: 2000 }, (_, index) => `part-${index}`);
const TARGETS = Array.from({ length: 20 }, (_, index) => `i-${index}`);

// Hundreds of long shared prefixes over all regions, which differ in size.
test('prefixes are spread evenly over targets and over regions by their number of targets', () => {
  const affinity = new SharedPrefixAffinity();
  const atFirst = PREFIXES.filter(
    (prefix) => affinity.preferredTarget(prefix, TARGETS) === 'i-0',
  ).length;
  assert.ok(atFirst > 60 && atFirst < 140, String(atFirst));
  const regions = [
    { region: 'north', targets: 9 },
    { region: 'west', targets: 3 },
    { region: 'empty', targets: 0 },
  ];
  const inWest = PREFIXES.filter(
    (prefix) => affinity.preferredRegion(prefix, regions) === 'west',
  ).length;
  assert.ok(inWest > 400 && inWest < 600, String(inWest));
});

// Targets start and stop while their prefixes are in use.
test('the loss of a target reassigns only its prefixes', () => {
  const affinity = new SharedPrefixAffinity();
  const left = TARGETS.slice(1);
  const moved = PREFIXES.filter((prefix) => {
    const before = affinity.preferredTarget(prefix, TARGETS);
    return before !== 'i-0' && before !== affinity.preferredTarget(prefix, left);
  });
  assert.deepEqual(moved, []);
});
