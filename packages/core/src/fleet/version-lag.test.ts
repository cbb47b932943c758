import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VersionLag } from './version-lag.js';

test('the lag counts from the first time a missing version was heard of', () => {
  const lag = new VersionLag();
  assert.equal(lag.onReached(3, 0), undefined);
  assert.equal(lag.onHeard(3, 10), false);
  assert.equal(lag.behindMs(10), 0);
  assert.equal(lag.onHeard(5, 20), true);
  assert.equal(lag.onHeard(5, 40), false);
  assert.equal(lag.behindMs(50), 30);
  assert.equal(lag.onReached(5, 60), 40);
  assert.equal(lag.behindMs(100), 0);
});

test('a version between two heard ones ends the lag of the older one only', () => {
  const lag = new VersionLag();
  lag.onReached(1, 0);
  lag.onHeard(5, 10);
  lag.onHeard(9, 30);
  assert.equal(lag.onReached(4, 40), 30);
  assert.equal(lag.behindMs(50), 40);
  assert.equal(lag.onReached(6, 60), 50);
  assert.equal(lag.behindMs(70), 40);
  assert.equal(lag.newestVersion, 9);
  lag.onReached(9, 80);
  assert.equal(lag.behindMs(90), 0);
});
