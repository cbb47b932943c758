import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BodyBlockLimits, BodyBlocks } from './body-blocks.js';
import { BodyMemory, BodyMemoryLimits, type BodyAllocation } from './body-memory.js';

const KB = 1024;
const { OverheadBytes, StallMs } = BodyMemoryLimits;

interface OpenedBody {
  readonly allocation: BodyAllocation;
  readonly accepted: boolean;
  rejected: boolean;
}

function open(memory: BodyMemory, bytes: number): OpenedBody {
  const allocation = memory.allocate();
  const body = { allocation, accepted: false, rejected: false };
  const accepted = allocation.open(bytes, () => {
    body.rejected = true;
  });
  return Object.assign(body, { accepted });
}

function setUp(maxBytes: number, maxOpen?: number) {
  const clock = { now: 0 };
  const reasons: string[] = [];
  const memory = new BodyMemory(maxBytes, {
    now: () => clock.now,
    onReject: (reason) => reasons.push(reason),
    ...(maxOpen === undefined ? {} : { maxOpen }),
  });
  return { clock, reasons, memory };
}

// Guards against open bodies that cost more than what is counted for them.
test('an open body is charged with its blocks and an overhead, a complete one with its size', () => {
  const { memory } = setUp(1024 * KB);
  const { allocation } = open(memory, 0);
  assert.equal(memory.heldBytes, OverheadBytes);
  allocation.receive(1, KB);
  assert.equal(memory.heldBytes, OverheadBytes + KB);
  allocation.settle(1);
  assert.deepEqual([memory.heldBytes, memory.openBodies], [1, 0]);
  allocation.release();
  assert.equal(memory.heldBytes, 0);
});

// Guards against stalled bodies that keep others out.
test('the body that stalled longest is rejected first', () => {
  const { clock, reasons, memory } = setUp(1024 * KB, 2);
  const first = open(memory, 40 * KB);
  clock.now = 100;
  const second = open(memory, 40 * KB);
  clock.now = StallMs;
  first.allocation.receive(BodyMemoryLimits.ProgressBytes - 1, 40 * KB);
  const third = open(memory, 40 * KB);
  assert.deepEqual([first.rejected, second.rejected, third.accepted], [true, false, true]);
  assert.deepEqual(reasons, ['stalled']);
});

// Guards against 503 for an ordinary short body whose last bytes are in its socket, as a long turn of the
// event loop counts as a stall.
test('a short body is not rejected as stalled after a turn in which nothing could be read', (t) => {
  const clock = { now: 0 };
  t.mock.method(performance, 'now', () => clock.now);
  const reasons: string[] = [];
  const memory = new BodyMemory(1024 * KB, { onReject: (reason) => reasons.push(reason) });
  const waiting = open(memory, 60 * KB);
  const long = open(memory, 800 * KB);
  clock.now += StallMs + 100;
  const arriving = Array.from({ length: 3 }, () => open(memory, 60 * KB));
  assert.ok(arriving.every(({ accepted }) => accepted));
  assert.deepEqual([waiting.rejected, long.rejected], [false, true]);
  assert.deepEqual(reasons, ['newest']);
});

// Guards against long bodies that keep short ones out, though all of them make progress.
test('the newest long body is rejected for a short one, and a long one is refused', () => {
  const { reasons, memory } = setUp(1024 * KB);
  const bodies = [1, 2, 3].map(() => open(memory, 270 * KB));
  assert.ok(bodies.every(({ accepted }) => accepted));
  assert.equal(open(memory, 270 * KB).accepted, false);
  const short = Array.from({ length: 4 }, () => open(memory, 60 * KB));
  assert.ok(short.every(({ accepted }) => accepted));
  assert.deepEqual(
    bodies.map(({ rejected }) => rejected),
    [false, false, true],
  );
  assert.deepEqual(reasons, ['newest', 'newest']);
});

// Guards against a crowd of short bodies that keeps out ordinary requests until it counts as stalled.
test('the short body with the oldest progress is rejected for another short one', () => {
  const { clock, reasons, memory } = setUp(1024 * KB, 2);
  const first = open(memory, 10);
  clock.now = 1;
  const second = open(memory, 10);
  clock.now = 2;
  const third = open(memory, 10);
  assert.deepEqual([first.rejected, second.rejected, third.accepted], [true, false, true]);
  assert.deepEqual(reasons, ['oldest']);
});

// Guards against open bodies that are rejected in vain.
test('no open body is rejected for one that complete bodies leave no room for', () => {
  const { clock, memory } = setUp(100 * KB);
  memory.allocate().grow(90 * KB);
  const opened = open(memory, 0);
  clock.now = 2 * StallMs;
  assert.equal(open(memory, 20 * KB).accepted, false);
  assert.equal(opened.rejected, false);
});

// Guards against tiny pieces that cost many times their size.
test('one-byte pieces take up at most twice their size or 64 KiB more', () => {
  const blocks = new BodyBlocks();
  const bytes = Buffer.from(Array.from({ length: 200_000 }, (_, index) => index % 256));
  bytes.forEach((_, index) => {
    blocks.add(bytes.subarray(index, index + 1));
    const limit = Math.max(2 * blocks.size, BodyBlockLimits.FirstBytes);
    assert.ok(blocks.capacity <= Math.min(limit, blocks.size + BodyBlockLimits.MaxBytes));
  });
  assert.deepEqual(blocks.take(), bytes);
  assert.equal(blocks.capacity, 0);
});

test('an announced body takes up no more than its size', () => {
  const blocks = new BodyBlocks(100_000);
  const pieces = [1, 70_000, 29_999].map((size) => Buffer.alloc(size, size % 251));
  pieces.forEach((piece) => blocks.add(piece));
  assert.equal(blocks.capacity, 100_000);
  assert.deepEqual(blocks.take(), Buffer.concat(pieces));
});
