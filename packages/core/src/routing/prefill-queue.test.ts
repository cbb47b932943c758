import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PrefillQueue, type QueuedPrompt } from './prefill-queue.js';

function prompt(id: string, workMs: number, priority: number, sentAt = 0): QueuedPrompt {
  return { id, workMs, priority, sentAt, local: true };
}

// Pattern: a prompt of 50,000 tokens is being read while short ones arrive.
test('a prompt that is being read holds up a more urgent one, a waiting one does not', () => {
  const queue = new PrefillQueue();
  queue.add(prompt('large', 1000, 2));
  queue.add(prompt('next', 400, 2, 10));
  assert.equal(queue.waitMs(0, 100), 900);
  assert.equal(queue.waitMs(2, 100), 1300);
  assert.equal(queue.backlogMs(100), 1300);
});

test('the target reads the most urgent prompt next', () => {
  const queue = new PrefillQueue();
  queue.add(prompt('large', 1000, 2));
  queue.add(prompt('waiting', 400, 2, 10));
  queue.add(prompt('urgent', 100, 0, 20));
  // At 1050 ms the urgent one is read, with 50 ms left.
  assert.equal(queue.waitMs(0, 1050), 50);
  assert.equal(queue.waitMs(2, 1050), 450);
});

test('prompts of other gateways count, and are read in time without a first byte', () => {
  const queue = new PrefillQueue();
  queue.add({ ...prompt('theirs', 800, 1), local: false });
  assert.equal(queue.waitMs(1, 200), 600);
  assert.equal(queue.waitMs(1, 5000), 0);
});

test('a first byte ends the wait for prompts that were sent before by others', () => {
  const queue = new PrefillQueue();
  queue.add({ ...prompt('theirs', 800, 1), local: false });
  queue.add(prompt('mine', 100, 1, 10));
  queue.onFirstByte('mine', 300);
  assert.equal(queue.backlogMs(300), 0);
});

test('a first byte that is overdue adds to the wait until it comes', () => {
  const queue = new PrefillQueue();
  queue.add(prompt('mine', 100, 1));
  assert.equal(queue.waitMs(1, 150), 0);
  assert.equal(queue.waitMs(1, 500), 310);
  queue.onFirstByte('mine', 510);
  assert.equal(queue.waitMs(1, 510), 0);
});

test('a request that ends before its first byte leaves the queue', () => {
  const queue = new PrefillQueue();
  queue.add(prompt('gone', 1000, 1));
  queue.add(prompt('next', 200, 1, 10));
  queue.remove('gone', 100);
  assert.equal(queue.backlogMs(100), 200);
});
