import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import { after, before, test } from 'node:test';
import { HttpListener } from './listener.js';

const HOST = '127.0.0.1';
const PORT = 30_650;
const CONNECTIONS = 10;

const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
const errors: unknown[] = [];
let accepted = 0;

const listener = new HttpListener({
  address: `${HOST}:${PORT}`,
  handler: (_req, res) => {
    res.end('served');
  },
  onError: (err) => errors.push(err),
});

before(() => listener.listen());

after(() => {
  agent.destroy();
  listener.destroy();
});

function get(options: http.RequestOptions): Promise<{ status: number; reused: boolean }> {
  return new Promise((resolve, reject) => {
    const req = http.get({ host: HOST, port: PORT, ...options }, (res) => {
      res.resume();
      res.on('end', () => resolve({ status: res.statusCode ?? 0, reused: req.reusedSocket }));
    });
    req.on('error', reject);
  });
}

const nextTick = (): Promise<void> =>
  new Promise((resolve) => {
    process.nextTick(resolve);
  });

// Guards against callers that wait for seconds in the backlog of a gateway that will not get to them (CONFIG).
test('connections that are not accepted yet are reset, others stay, and new ones are accepted', async () => {
  assert.equal((await get({ agent })).status, 200);
  const closed = Array.from({ length: CONNECTIONS }, () => {
    const socket = net.connect(PORT, HOST);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      accepted += 1;
    });
    socket.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
    return new Promise((resolve) => {
      socket.once('close', resolve);
    });
  });
  // The connections are set up then, and accepted in the next poll.
  await nextTick();
  await nextTick();
  await listener.resetBacklog();
  await Promise.all(closed);
  assert.equal(accepted, 0);
  assert.deepEqual(await get({ agent }), { status: 200, reused: true });
  assert.deepEqual(await get({ agent: false }), { status: 200, reused: false });
  assert.deepEqual(errors, []);
});
