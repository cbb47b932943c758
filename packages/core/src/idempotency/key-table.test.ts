import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseIdempotencyKey, type IdempotencyKey } from './idempotency-key.js';
import { RESERVED_BYTES_PER_KEY, KeyTable } from './key-table.js';

const WALL_MS = 1_800_000_000_000;

function key(nonce: string, ttlMs = 60_000): IdempotencyKey {
  const expiry = Math.floor((WALL_MS + ttlMs) / 1000);
  const parsed = parseIdempotencyKey(`${'a'.repeat(20)}-abc123.${expiry}.${nonce}`);
  assert.ok(parsed);
  return parsed;
}

function table(maxKeys = 10, maxBytes = 10 * RESERVED_BYTES_PER_KEY): KeyTable<string> {
  return new KeyTable({ maxKeys, maxBytes });
}

test('a re-send joins the call in flight and gets its outcome', async () => {
  // Guards against a second run of a request that is re-sent while it runs.
  const keys = table();
  const k = key('nonce-01');
  assert.equal(keys.claim(k, 'c1', 'd', WALL_MS).kind, 'new');
  const joined = keys.claim(k, 'c1', 'd', WALL_MS);
  assert.ok(keys.markSent(k.text, WALL_MS));
  keys.finish(k.text, { kind: 'answer', answer: 'booked', bytes: 6 });
  assert.equal(joined.kind, 'join');
  const outcome = joined.kind === 'join' ? await joined.settled : undefined;
  assert.deepEqual(outcome, { kind: 'answer', answer: 'booked', bytes: 6 });
  assert.equal(keys.claim(k, 'c1', 'd', WALL_MS).kind, 'settled');
});

test('a burned key is never sent and a sent key is never burned', () => {
  // Guards against "not run" for a request that runs later or has run.
  const keys = table();
  const burned = key('nonce-01');
  keys.claim(burned, 'c1', 'd', WALL_MS);
  assert.ok(keys.revoke(burned.text));
  assert.equal(keys.markSent(burned.text, WALL_MS), false);
  const sent = key('nonce-02');
  keys.claim(sent, 'c1', 'd', WALL_MS);
  keys.markSent(sent.text, WALL_MS);
  assert.equal(keys.revoke(sent.text), false);
  assert.equal(keys.markSent(sent.text, WALL_MS), false);
  assert.equal(keys.cancel(sent, 'c1', WALL_MS), 'sent');
});

test('a cancel before the request arrives burns the key', () => {
  // Guards against a late forward that runs after its owner reported "not run".
  const keys = table();
  const k = key('nonce-01');
  assert.equal(keys.cancel(k, 'c1', WALL_MS), 'cancelled');
  assert.deepEqual(keys.claim(k, 'c1', 'd', WALL_MS), {
    kind: 'settled',
    outcome: { kind: 'not-run' },
  });
});

test('another body or customer under the same key is rejected', () => {
  const keys = table();
  const k = key('nonce-01');
  keys.claim(k, 'c1', 'd', WALL_MS);
  assert.equal(keys.claim(k, 'c1', 'other', WALL_MS).kind, 'reused');
  assert.equal(keys.claim(k, 'c2', 'd', WALL_MS).kind, 'reused');
});

test('an expired key is neither claimed nor sent, and one too far ahead is rejected', () => {
  // Guards against a run after the owner may have forgotten the key.
  const keys = table();
  const k = key('nonce-01', 2000);
  keys.claim(k, 'c1', 'd', WALL_MS);
  assert.equal(keys.markSent(k.text, WALL_MS + 2000), false);
  assert.equal(keys.claim(k, 'c1', 'd', WALL_MS + 2000).kind, 'expired');
  assert.equal(keys.claim(key('nonce-02', 3_700_000), 'c1', 'd', WALL_MS).kind, 'expiry-too-far');
});

test('a full table rejects new keys, keeps the old ones and frees bytes at expiry', () => {
  // Guards against the eviction of an outcome, which would allow a second run.
  const keys = table(100, 2 * RESERVED_BYTES_PER_KEY);
  const first = key('nonce-01');
  keys.claim(first, 'c1', 'd', WALL_MS);
  keys.claim(key('nonce-02'), 'c1', 'd', WALL_MS);
  assert.equal(keys.claim(key('nonce-03'), 'c1', 'd', WALL_MS).kind, 'full');
  keys.markSent(first.text, WALL_MS);
  const bytes = 3 * RESERVED_BYTES_PER_KEY;
  keys.finish(first.text, { kind: 'answer', answer: 'long', bytes });
  assert.deepEqual(keys.claim(first, 'c1', 'd', WALL_MS), {
    kind: 'settled',
    outcome: { kind: 'answer-dropped' },
  });
  assert.ok(keys.bytes <= 2 * RESERVED_BYTES_PER_KEY);
  keys.removeExpired(WALL_MS + 61_000);
  assert.equal(keys.size, 1, 'the call in flight stays');
});
