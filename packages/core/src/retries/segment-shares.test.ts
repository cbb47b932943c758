import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SegmentShares } from './segment-shares.js';

test('a segment is common if nearly all of the latest requests of its route have it', () => {
  const shares = new SegmentShares();
  Array.from({ length: 40 }).forEach((_, index) => {
    shares.add('chat', ['system', `document-${index % 4}`]);
    shares.add('draft', ['other-system', 'manual']);
  });
  assert.equal(shares.isCommon('system'), true);
  assert.equal(shares.isCommon('document-1'), false);
  assert.equal(shares.isCommon('manual'), true);
  assert.equal(shares.isCommon('unknown'), false);
  Array.from({ length: 32 }).forEach(() => shares.add('chat', ['new-system']));
  assert.equal(shares.isCommon('system'), false);
});

test('a segment of a route with few requests is not common', () => {
  const shares = new SegmentShares();
  Array.from({ length: 7 }).forEach(() => shares.add('chat', ['system']));
  assert.equal(shares.isCommon('system'), false);
});
