import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CONTENT_ENCODING, decodeBody, encodeBody } from './compression.js';

const MAX_BYTES = 1_000_000;
const OVERSIZED_LENGTH = 2_000_000;

test('a long message is compressed and decoded unchanged, a short one is sent uncompressed', async () => {
  const long = JSON.stringify(Array.from({ length: 200 }, (_, index) => ({ index, name: 'x' })));
  const encoded = await encodeBody(long);
  assert.equal(encoded.headers['content-encoding'], CONTENT_ENCODING);
  assert.ok(encoded.data.length < long.length / 3);
  assert.equal(await decodeBody(encoded.data, CONTENT_ENCODING, long.length), long);
  assert.deepEqual((await encodeBody('{}')).headers, {});
});

test('messages of every size are decoded unchanged', async () => {
  // Guards against a size limit that only the encoder or only the decoder applies.
  const texts = [0, 100, 127, 128, 5000, 32_767, 32_769, 500_000].map((length) =>
    JSON.stringify({ method: 'gossip.exchange', text: 'ä'.repeat(length) }),
  );
  const decoded = await Promise.all(
    texts.map(async (text) => {
      const { data, headers } = await encodeBody(text);
      return decodeBody(data, headers['content-encoding'], 2 * MAX_BYTES);
    }),
  );
  assert.deepEqual(decoded, texts);
});

test('a message whose decoded size exceeds the limit is refused', async () => {
  // Guards against a small message that exhausts the memory when it is decompressed.
  const { data, headers } = await encodeBody('x'.repeat(OVERSIZED_LENGTH));
  await assert.rejects(decodeBody(data, headers['content-encoding'], MAX_BYTES), RangeError);
});
