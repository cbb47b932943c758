import assert from 'node:assert/strict';
import net from 'node:net';
import { after, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { HOST } from './example-config.js';
import { SmallGateway } from './small-gateway.js';

const CLIENTS = 16;
/** Requests that a client sends at once, fewer than a connection may have waiting. */
const REQUESTS = 250;
/** Responses of up to 64 KiB are held as a whole. */
const RESPONSE_BYTES = 60_000;
/** Longer than the gateway takes for all requests, shorter than its patience with a reader that stalls. */
const STALL_MS = 12_000;
const OWN_DESCRIPTORS = 200;

const gateway = new SmallGateway({ basePort: 30_310, idleTimeoutMs: 60_000 });
const sockets: net.Socket[] = [];

after(async () => {
  sockets.forEach((socket) => socket.destroy());
  await gateway.close();
});

// Guards against short responses that take up all memory, as their callers do not read them.
test('clients that send many requests and read no response do not exhaust the memory', async () => {
  await gateway.start();
  gateway.target.plainBody = Buffer.alloc(RESPONSE_BYTES, 'x');
  const [host, port] = gateway.process.callersAddress.split(':');
  const requests = Array.from(
    { length: REQUESTS },
    (_, index) =>
      `GET /read/1 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: unread-${index}\r\nDeadline-Ms: 20000\r\n\r\n`,
  );
  Array.from({ length: CLIENTS }).forEach(() => {
    const socket = net.connect({ host, port: Number(port) });
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.pause();
    socket.write(requests.join(''));
  });
  await delay(STALL_MS);
  gateway.assertWithinMemory();
  assert.ok(gateway.process.openDescriptors() <= CLIENTS + OWN_DESCRIPTORS);
  assert.equal((await gateway.sendShort()).status, 200);
});
