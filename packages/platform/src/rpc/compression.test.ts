import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ENCODING, decodeBody, encodeBody } from './compression.js';

test('a long message is compressed and restored, a short one is sent as it is', async () => {
  const long = JSON.stringify(Array.from({ length: 200 }, (_, index) => ({ index, name: 'x' })));
  const encoded = await encodeBody(long);
  assert.equal(encoded.headers['content-encoding'], ENCODING);
  assert.ok(encoded.data.length < long.length / 3);
  assert.equal(await decodeBody(encoded.data, ENCODING, long.length), long);
  assert.deepEqual((await encodeBody('{}')).headers, {});
});

test('a message that expands beyond the bound is rejected', async () => {
  // Guards against a small message that fills the memory of a daemon.
  const encoded = await encodeBody('a'.repeat(100_000));
  await assert.rejects(decodeBody(encoded.data, ENCODING, 50_000));
});
