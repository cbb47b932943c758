import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import fc from 'fast-check';
import { seededRandom } from '@marjoramcart/core';
import { SseFrameParser } from './sse-frame-parser.js';

const STREAM = 'id: 1\ndata: {"a":"data: [DONE]"}\n\nid: 2\ndata: b\r\n\r\nid: 3\ndata: [DONE]\n\n';

test('frames are split correctly wherever the chunk boundaries are', () => {
  // Guards against incomplete events at the caller and an end marker missed at a chunk boundary.
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

test('a missing or repeated event id is an error', () => {
  // Guards against lost or duplicate events after a stream is resumed.
  const frames = new SseFrameParser();
  frames.push(Buffer.from('id: 1\ndata: a\n\nid: 1\ndata: a\n\n'));
  assert.deepEqual(frames.error, { kind: 'id-out-of-order', expected: 2, got: 1 });
});

test('an end marker inside event data does not end the stream', () => {
  const frames = new SseFrameParser();
  frames.push(Buffer.from('data: {"t":"data: [DONE]"}\n\n'));
  assert.equal(frames.done, false);
});

const LINES = [
  'id: 1',
  'id:2',
  'id: 3',
  'id: 7',
  'data: [DONE]',
  'event: error',
  'data: x',
  '\r',
  'data: [DONE] \r',
  '',
  '',
  '',
];

/** What a parser that receives the pieces returns, and its state after them. */
function parse(pieces: readonly Buffer[], doneMarker: boolean): unknown {
  const frames = new SseFrameParser({ doneMarker });
  // A piece belongs to the connection, which may use its memory again.
  const returned = pieces.map((piece) => frames.push(Buffer.from(piece)));
  const { lastId, done, errorSeen, events, error, complete } = frames;
  const text = Buffer.concat(returned.filter((part) => part !== undefined)).toString();
  return { text, lastId, done, errorSeen, events, error, complete };
}

// Guards against events that are lost, changed or cut while they arrive in pieces.
test('a stream in pieces of any size has the result of the whole stream', () => {
  const text = fc.array(fc.constantFrom(...LINES), { maxLength: 40 });
  const sizes = fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 1, maxLength: 20 });
  fc.assert(
    fc.property(text, sizes, fc.boolean(), (lines, cuts, doneMarker) => {
      const stream = Buffer.from(lines.join('\n'));
      const pieces: Buffer[] = [];
      for (let at = 0; at < stream.length; at += pieces.at(-1)?.length ?? 0) {
        pieces.push(stream.subarray(at, at + (cuts[pieces.length % cuts.length] ?? 1)));
      }
      assert.deepEqual(parse(pieces, doneMarker), parse([stream], doneMarker));
    }),
    { numRuns: 3000, seed: 48 },
  );
});

/** Bytes of all buffers that are made meanwhile. */
function allocatedBytes(t: TestContext, run: () => void): number {
  const { concat, allocUnsafe } = Buffer;
  let bytes = 0;
  const counted =
    <Args extends readonly unknown[]>(make: (...args: Args) => Buffer) =>
    (...args: Args): Buffer => {
      const made = make(...args);
      bytes += made.length;
      return made;
    };
  // The calls that a mock records would keep the buffers.
  Object.assign(Buffer, { concat: counted(concat), allocUnsafe: counted(allocUnsafe) });
  t.after(() => Object.assign(Buffer, { concat, allocUnsafe }));
  run();
  return bytes;
}

// Guards against an event loop that is blocked, as an event in pieces is copied for each piece.
test('an event in one-byte pieces takes buffers of at most four times its size', (t) => {
  const event = Buffer.from(`data: ${'x'.repeat(128 * 1024)}\n\n`);
  const frames = new SseFrameParser();
  let received: Buffer | undefined;
  const bytes = allocatedBytes(t, () =>
    event.forEach((_, at) => {
      received = frames.push(event.subarray(at, at + 1));
    }),
  );
  assert.deepEqual(received, event);
  assert.ok(bytes <= 4 * event.length, `${bytes} bytes for ${event.length}`);
});

// Guards against a complete answer that counts as broken off since it has nothing to add to a stream.
test('a stream without events is complete only if it is resumed', () => {
  assert.equal(new SseFrameParser({ doneMarker: false, after: 6 }).complete, true);
  assert.equal(new SseFrameParser({ doneMarker: false }).complete, false);
  const cut = new SseFrameParser({ doneMarker: false, after: 6 });
  cut.push(Buffer.from('id: 7\nda'));
  assert.equal(cut.complete, false);
});
