import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SharedPrefixAffinity } from './shared-part-homes.js';

const PARTS = Array.from({ length: 2000 }, (_, index) => `part-${index}`);
const TARGETS = Array.from({ length: 20 }, (_, index) => `i-${index}`);

// Pattern: hundreds of long shared parts over all regions, which differ in size.
test('parts are spread over targets evenly and over regions by their size', () => {
  const homes = new SharedPrefixAffinity();
  const atFirst = PARTS.filter((part) => homes.preferredTarget(part, TARGETS) === 'i-0').length;
  assert.ok(atFirst > 60 && atFirst < 140, String(atFirst));
  const regions = [
    { region: 'north', targets: 9 },
    { region: 'west', targets: 3 },
    { region: 'empty', targets: 0 },
  ];
  const inWest = PARTS.filter((part) => homes.preferredRegion(part, regions) === 'west').length;
  assert.ok(inWest > 400 && inWest < 600, String(inWest));
});

// Pattern: targets come and go while their parts are in use.
test('the loss of a target moves only its own parts', () => {
  const homes = new SharedPrefixAffinity();
  const left = TARGETS.slice(1);
  const moved = PARTS.filter((part) => {
    const before = homes.preferredTarget(part, TARGETS);
    return before !== 'i-0' && before !== homes.preferredTarget(part, left);
  });
  assert.deepEqual(moved, []);
});
