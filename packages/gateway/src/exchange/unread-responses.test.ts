import assert from 'node:assert/strict';
import { Socket } from 'node:net';
import { test } from 'node:test';
import { UnreadResponses } from './unread-responses.js';

const KB = 1024;

function unreadResponses(): UnreadResponses {
  return new UnreadResponses({ maxBytes: 100 * KB, onClosed: () => undefined });
}

function openSocket(): Socket {
  return new Socket().on('error', () => undefined);
}

test('beyond the limit, the connection with the most unread bytes is closed', () => {
  const unread = unreadResponses();
  const never = Promise.race<void>([]);
  const [one, many] = [openSocket(), openSocket()];
  unread.add(many, 30 * KB, never);
  unread.add(one, 40 * KB, never);
  unread.add(many, 20 * KB, never);
  assert.ok(!many.destroyed);
  unread.add(many, 20 * KB, never);
  assert.ok(many.destroyed);
  assert.ok(!one.destroyed);
  assert.equal(unread.heldBytes, 41 * KB);
});

test('responses that are read are no longer counted, nor twice after their connection was closed', async () => {
  const unread = unreadResponses();
  const read = Promise.resolve();
  const [one, other] = [openSocket(), openSocket()];
  unread.add(one, 60 * KB, read);
  unread.add(other, 59 * KB, read);
  assert.ok(one.destroyed);
  await read;
  assert.equal(unread.heldBytes, 0);
  unread.add(one, 60 * KB, read);
  assert.equal(unread.heldBytes, 0);
});
