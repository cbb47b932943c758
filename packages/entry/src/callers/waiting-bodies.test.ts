import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { FakeTarget } from '../testing/fake-target.js';
import { chatBody, send, startEntry, targetState } from '../testing/harness.js';

const MEMORY_MB = 16;
const BYTES_PER_MB = 1024 * 1024;
const BODY_BYTES = 3 * BYTES_PER_MB;
const CALLS = 24;
/** The bodies of this size that the memory for long ones suffices for. */
const MAX_HELD = Math.floor((MEMORY_MB * (7 / 8) * BYTES_PER_MB) / BODY_BYTES);
const INTERVAL_MS = 150;
const STATUS_REFUSED = 503;

async function sendInTurn(count: number, sendOne: () => Promise<void>): Promise<Promise<void>[]> {
  if (count === 0) return [];
  const sent = sendOne();
  await delay(INTERVAL_MS);
  return [sent, ...(await sendInTurn(count - 1, sendOne))];
}

// Guards against calls that wait for a target or for its response, whose bodies take up all memory.
test('bodies of calls that wait are held up to the memory for bodies only', async (t) => {
  const gate = { open: (): void => undefined };
  const opened = new Promise<void>((resolve) => {
    gate.open = resolve;
  });
  const target = await new FakeTarget(async (_req, res) => {
    await opened;
    res.writeHead(200, { 'content-type': 'application/json' }).end('{}');
  }).listen();
  const entry = await startEntry({
    targets: [targetState('t1', target, { concurrency: 64 })],
    maxBodyMemoryMb: MEMORY_MB,
  });
  t.after(async () => {
    target.crash();
    await entry.stop();
  });
  const { address } = entry.daemon.callers;
  const statuses: number[] = [];
  const body = chatBody('x'.repeat(BODY_BYTES), false);
  const sendOne = async (): Promise<void> => {
    const { status } = await send(address, { body });
    statuses.push(status);
  };
  // One after the other, so that each body is complete before the next one.
  const calls = await sendInTurn(CALLS, sendOne);
  assert.ok(statuses.length >= CALLS - MAX_HELD);
  assert.ok(statuses.every((status) => status === STATUS_REFUSED));
  // Complete bodies are not rejected in favour of others, and short ones have room left.
  const short = send(address, { body: chatBody('short', false) });
  gate.open();
  await Promise.all(calls);
  assert.equal((await short).status, 200);
  assert.equal((await send(address, { body })).status, 200);
});
