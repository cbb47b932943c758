import assert from 'node:assert/strict';
import { test } from 'node:test';
import { usedBeforeReadMs } from './arrival-estimate.js';

// Guards against requests that are held past their time-out, as it counts from the read and not from the arrival (CONFIG).
test('the time-out of a request that came with its connection includes half of the longest wait', () => {
  assert.equal(usedBeforeReadMs({ connectionAgeMs: 40, acceptWaitMs: 600 }, 1500), 300);
  assert.equal(usedBeforeReadMs({ connectionAgeMs: 40, acceptWaitMs: 0 }, 1500), 0);
});

// Guards against time-outs of later requests that are cut short by the wait of their connection.
test('a request that came later on its connection keeps its time-out', () => {
  assert.equal(usedBeforeReadMs({ connectionAgeMs: 2000, acceptWaitMs: 600 }, 1500), 0);
});

// Guards against requests with short time-outs that are given up as soon as they are read.
test('a request loses a quarter of its time-out at most', () => {
  assert.equal(usedBeforeReadMs({ connectionAgeMs: 40, acceptWaitMs: 800 }, 400), 100);
});
