import assert from 'node:assert/strict';
import { once } from 'node:events';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { TurnQueue } from './turn-queue.js';

const CALLERS = 10;
const WORK_MS = 40;
/** Turns of the time above that fit into a slice, the last one in part. */
const MAX_TURNS_PER_POLL = 3;
const BLOCKED_MS = 20_000;

function work(ms: number): void {
  const endAt = performance.now() + ms;
  while (performance.now() < endAt);
}

// Guards against requests that are handled although their clients left while they waited.
test('at its turn a request is known to be abandoned if its client left before it was read', async () => {
  const turns = new TurnQueue();
  const server = http.createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const seen = new Promise<boolean>((resolve) => {
    server.once('request', (req) => {
      void turns.next().then(() => resolve(req.socket.readableEnded));
    });
  });
  const state = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
  const client = `
    const { workerData: { port, state } } = require('node:worker_threads');
    const socket = require('node:net').connect(port, '127.0.0.1');
    socket.write('GET / HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n', () => socket.destroy());
    socket.once('close', () => {
      Atomics.store(state, 0, 1);
      Atomics.notify(state, 0);
    });`;
  const { port } = server.address() as AddressInfo;
  const worker = new Worker(client, { eval: true, workerData: { port, state } });
  // Blocks the server until the client has left.
  assert.notEqual(Atomics.wait(state, 0, 0, BLOCKED_MS), 'timed-out');
  assert.equal(await seen, true);
  server.close();
  await worker.terminate();
});

// Guards against polls that are so far apart that clients have long left when their requests are handled.
test('turns that take long are spread over several polls, in order', async () => {
  const turns = new TurnQueue();
  const order: number[] = [];
  const turnsPerPoll: number[] = [0];
  const watch = (): void => {
    turnsPerPoll.push(0);
    if (order.length < CALLERS) setImmediate(watch);
  };
  setImmediate(watch);
  const take = async (index: number): Promise<void> => {
    await turns.next();
    work(WORK_MS);
    order.push(index);
    turnsPerPoll[turnsPerPoll.length - 1] = (turnsPerPoll.at(-1) ?? 0) + 1;
  };
  const callers = Array.from({ length: CALLERS }, (_, index) => index);
  await Promise.all(callers.map(take));
  assert.deepEqual(order, callers);
  assert.ok(Math.max(...turnsPerPoll) <= MAX_TURNS_PER_POLL, turnsPerPoll.join(', '));
});

// Guards against writes of a request that wait for the turns of all others.
test('what a turn leaves for the next tick comes before the next turn', async () => {
  const turns = new TurnQueue();
  const events: string[] = [];
  const take = async (name: string): Promise<void> => {
    await turns.next();
    process.nextTick(() => events.push(`tick ${name}`));
    events.push(name);
  };
  await Promise.all(['a', 'b'].map(take));
  await turns.next();
  assert.deepEqual(events, ['a', 'tick a', 'b', 'tick b']);
});

// Guards against connections that wait for seconds, one accepted in each poll, while the turns of others take long (CONFIG).
test('turns wait while a late backlog is accepted', async () => {
  let polls = 0;
  let left = 0;
  const turns = new TurnQueue({
    isBacklogLate: () => polls < CALLERS,
    onBacklogLeft: () => {
      left += 1;
    },
  });
  const watch = (): void => {
    polls += 1;
    if (polls < CALLERS) setImmediate(watch);
  };
  setImmediate(watch);
  await turns.next();
  assert.equal(polls, CALLERS);
  assert.equal(left, 0);
});

// Guards against requests that are never handled, as new connections come all the time.
test('turns are taken in between, however many connections come', async () => {
  let left = 0;
  const turns = new TurnQueue({
    isBacklogLate: () => true,
    onBacklogLeft: () => {
      left += 1;
    },
  });
  const startedAt = performance.now();
  await Promise.all([turns.next(), turns.next()]);
  assert.ok(performance.now() - startedAt < 1000);
  assert.ok(left > 0);
});
