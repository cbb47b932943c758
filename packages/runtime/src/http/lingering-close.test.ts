import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { afterEach, test } from 'node:test';
import { SystemTimerService } from '../timers/system-timer-service.js';
import { HttpListener } from './listener.js';
import { lingeringClose } from './lingering-close.js';

const BODY_PARTS = 20;
const PART = 'x'.repeat(50_000);
const PART_INTERVAL_MS = 10;

const timers = new SystemTimerService();
let listener: HttpListener;

afterEach(() => {
  listener.destroy();
  timers.close();
});

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

// Guards against clients that get a reset in place of the refusal of a body that they are still sending.
test('a client that closes its connection after the response can send its body to the end', async () => {
  listener = new HttpListener({
    address: '127.0.0.1:0',
    onError: () => undefined,
    handler: (req, res) => {
      res.writeHead(503, { 'content-length': 0 }).end();
      lingeringClose(req, timers, true);
    },
  });
  await listener.listen();
  const [host, port] = listener.address.split(':');
  const socket = net.connect({ host: host ?? '', port: Number(port), allowHalfOpen: true });
  const errors: Error[] = [];
  let response = '';
  socket.on('error', (err) => errors.push(err));
  socket.on('data', (chunk: Buffer) => {
    response += chunk.toString();
  });
  await once(socket, 'connect');
  const length = BODY_PARTS * PART.length;
  socket.write(
    `POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: ${length}\r\n\r\n`,
  );
  await Array.from({ length: BODY_PARTS }).reduce<Promise<void>>(async (before) => {
    await before;
    await pause(PART_INTERVAL_MS);
    socket.write(PART);
  }, Promise.resolve());
  await pause(PART_INTERVAL_MS);
  socket.destroy();
  assert.deepEqual(errors, []);
  assert.match(response, /^HTTP\/1.1 503/);
});
