import assert from 'node:assert/strict';
import { once } from 'node:events';
import net, { Socket, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { UnreadResponses } from './unread-responses.js';

const KB = 1024;
const CLOSE_TIMEOUT_MS = 2000;

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

// Guards against connections that are never closed, with their descriptors, as they were just being ended.
test('a connection that ends with its response is closed', async (context) => {
  const server = net.createServer((socket) => socket.pause().on('error', () => undefined));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const socket = net.connect({ port, host: '127.0.0.1' }).on('error', () => undefined);
  await once(socket, 'connect');
  context.after(() => {
    socket.destroy();
    server.close();
  });
  socket.end('refused');
  const closed = once(socket, 'close', { signal: AbortSignal.timeout(CLOSE_TIMEOUT_MS) });
  unreadResponses().add(socket, 200 * KB, Promise.race<void>([]));
  await closed;
});
