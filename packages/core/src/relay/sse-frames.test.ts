import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@marjoramcart/core';
import { SseFrameParser } from './sse-frames.js';

const STREAM = 'id: 1\ndata: {"a":"data: [DONE]"}\n\nid: 2\ndata: b\r\n\r\nid: 3\ndata: [DONE]\n\n';

test('frames are whole and complete however the bytes are split', () => {
  // Guards against half events at the caller and a missed end at a chunk boundary.
  const random = seededRandom(5);
  Array.from({ length: 300 }).forEach(() => {
    const frames = new SseFrameParser();
    let out = '';
    let rest = Buffer.from(STREAM);
    while (rest.length > 0) {
      const size = 1 + Math.floor(random.next() * 20);
      const whole = frames.push(rest.subarray(0, size))?.toString() ?? '';
      assert.match(whole, /^$|\n\r?\n$/);
      out += whole;
      rest = rest.subarray(size);
    }
    assert.equal(out, STREAM);
    assert.ok(frames.complete);
    assert.equal(frames.events, 3);
    assert.equal(frames.lastId, 3);
  });
});

test('a gap or a repeated event number is an error', () => {
  // Guards against lost or doubled events after a resume.
  const frames = new SseFrameParser();
  frames.push(Buffer.from('id: 1\ndata: a\n\nid: 1\ndata: a\n\n'));
  assert.deepEqual(frames.error, { kind: 'id-out-of-order', expected: 2, got: 1 });
});

test('text that mentions the end marker does not end the stream', () => {
  const frames = new SseFrameParser();
  frames.push(Buffer.from('data: {"t":"data: [DONE]"}\n\n'));
  assert.equal(frames.done, false);
});
