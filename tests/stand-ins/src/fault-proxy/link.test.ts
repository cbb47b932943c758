import assert from 'node:assert/strict';
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { Flow } from './flow.js';
import { Link } from './link.js';

const HOST = '127.0.0.1';
const PORT = 28_960;

let target: net.Server;
let link: Link;
let answer: (socket: Socket) => void;

beforeEach(async () => {
  target = net.createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  target.listen(0, HOST);
  await once(target, 'listening');
  const { port } = target.address() as AddressInfo;
  const options = { listen: PORT, target: `${HOST}:${port}`, from: 'client', to: 'target' };
  link = new Link(options, new Flow(), new Flow());
  await link.listen();
});

afterEach(() => {
  link.close();
  target.close();
});

/** Sends a request through the link; returns what came back, and how the connection ended. */
async function exchange(): Promise<{ readonly body: string; readonly ended: boolean }> {
  const socket = net.connect({ host: HOST, port: PORT });
  const received = { body: '', ended: false };
  socket.on('data', (chunk: Buffer) => Object.assign(received, { body: received.body + chunk }));
  // A reset that comes with the last bytes may look like an end; such a socket has no peer.
  socket.on('end', () => Object.assign(received, { ended: socket.remoteAddress !== undefined }));
  socket.on('error', () => undefined);
  socket.write('request');
  await once(socket, 'close');
  return received;
}

// Guards against a reset that comes with the last bytes and is passed on as an ordinary end, so that
// a response without a length passes for complete.
test('a reset right after the last bytes is passed on as a reset', async () => {
  answer = (socket) => {
    socket.write('part');
    socket.resetAndDestroy();
  };
  const { ended } = await exchange();
  assert.equal(ended, false);
});

test('an end is passed on as an end', async () => {
  answer = (socket) => socket.end('whole');
  assert.deepEqual(await exchange(), { body: 'whole', ended: true });
});

// Guards against taking the end of a connection that the client has closed first for a reset.
test('an end after the end of the other side is passed on as an end', async () => {
  const requests: string[] = [];
  answer = (socket) => {
    socket.on('end', () => socket.end('whole'));
    requests.push('request');
  };
  const socket = net.connect({ host: HOST, port: PORT, allowHalfOpen: true });
  const received = { body: '', error: '' };
  socket.on('data', (chunk: Buffer) => Object.assign(received, { body: received.body + chunk }));
  socket.on('error', ({ message }) => Object.assign(received, { error: message }));
  socket.end('request');
  await once(socket, 'close');
  assert.deepEqual(received, { body: 'whole', error: '' });
  assert.equal(requests.length, 1);
});
