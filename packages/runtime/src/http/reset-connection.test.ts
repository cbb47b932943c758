import assert from 'node:assert/strict';
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { resetConnection } from './reset-connection.js';

const TIMEOUT_MS = 2000;
/** More than the operating system takes for a peer that does not read. */
const LONG_BYTES = 16 * 1024 * 1024;

/** Both ends of a connection; the peer does not read. */
async function connect(context: TestContext): Promise<{ socket: Socket; peer: Socket }> {
  const server = net.createServer({ allowHalfOpen: true, pauseOnConnect: true });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const accepted = once(server, 'connection');
  const { port } = server.address() as AddressInfo;
  const socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  socket.on('error', () => undefined);
  const [peer] = (await accepted) as [Socket];
  peer.on('error', () => undefined);
  if (socket.connecting) await once(socket, 'connect');
  context.after(() => {
    server.close();
    peer.destroy();
  });
  return { socket, peer };
}

async function closes(socket: Socket): Promise<boolean> {
  const closed = once(socket, 'close').then(() => true);
  return Promise.race([closed, delay(TIMEOUT_MS, false)]);
}

const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  'in the same turn': (socket) => socket.end(),
  'after its last bytes': (socket) => socket.end('last'),
  'while its peer reads nothing': (socket) => socket.end(Buffer.alloc(LONG_BYTES)),
};

// Guards against sockets that stay open for good and keep their descriptors.
Object.entries(ENDINGS).forEach(([name, end]) =>
  test(`a connection that is ended ${name} is closed by a reset`, async (context) => {
    const { socket } = await connect(context);
    end(socket);
    const closed = closes(socket);
    resetConnection(socket);
    assert.equal(await closed, true);
  }),
);

test('the peer of an open connection sees the reset', { timeout: TIMEOUT_MS }, async (context) => {
  const { socket, peer } = await connect(context);
  const reset = once(peer, 'error');
  resetConnection(socket);
  peer.resume();
  const [err] = (await reset) as [NodeJS.ErrnoException];
  assert.equal(err.code, 'ECONNRESET');
});
