import assert from 'node:assert/strict';
import { once } from 'node:events';
import http from 'node:http';
import net from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { SystemTimerService } from '../timers/system-timer-service.js';
import { HttpClient } from './http-client.js';
import { HttpListener } from './listener.js';
import { readRequestBody } from './read-request-body.js';
import { readResponseBody } from './read-response-body.js';

const MAX_BYTES = 1024 * 1024;
const MAX_COLLECTIONS = 50;
const HOST = '127.0.0.1';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Checks that objects are collected, within some turns of the event loop. */
async function assertCollected(
  refs: readonly { name: string; ref: WeakRef<object> }[],
  left = MAX_COLLECTIONS,
): Promise<void> {
  collectGarbage();
  const held = refs.filter(({ ref }) => ref.deref() !== undefined).map(({ name }) => name);
  if (held.length === 0) return;
  assert.ok(left > 0, `still referenced: ${held.join(', ')}`);
  await delay(1);
  await assertCollected(refs, left - 1);
}

test('an open connection does not hold the latest request, its body or its response', async () => {
  // Guards against a connection that keeps the body of its latest request in memory while it stays open.
  const timers = new SystemTimerService();
  const refs: { name: string; ref: WeakRef<object> }[] = [];
  const listener = new HttpListener({
    address: `${HOST}:0`,
    handler: async (req, res) => {
      const result = await readRequestBody(req, MAX_BYTES, timers);
      assert.equal(result.kind, 'complete');
      if (result.kind === 'complete') refs.push({ name: 'body', ref: new WeakRef(result.body) });
      refs.push({ name: 'request', ref: new WeakRef(req) });
      refs.push({ name: 'response', ref: new WeakRef(res) });
      res.end('done');
    },
    onError: (err) => assert.fail(String(err)),
  });
  await listener.listen();
  const [host, port] = listener.address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  try {
    socket.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nshort`);
    await once(socket, 'data');
    assert.equal(refs.length, 3);
    await assertCollected(refs);
    assert.equal(socket.readableEnded, false);
  } finally {
    socket.destroy();
    listener.destroy();
    timers.close();
  }
});

test('a body is not held by its message once it was delivered', async () => {
  // Guards against a listener of a message that keeps the body as long as anything refers to the message.
  const timers = new SystemTimerService();
  const messages: object[] = [];
  const refs: { name: string; ref: WeakRef<object> }[] = [];
  const listener = new HttpListener({
    address: `${HOST}:0`,
    handler: async (req, res) => {
      messages.push(req);
      const result = await readRequestBody(req, MAX_BYTES, timers);
      if (result.kind === 'complete') refs.push({ name: 'body', ref: new WeakRef(result.body) });
      res.end('done');
    },
    onError: (err) => assert.fail(String(err)),
  });
  await listener.listen();
  const [host, port] = listener.address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  try {
    socket.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nshort`);
    await once(socket, 'data');
    assert.equal(refs.length, 1);
    await assertCollected(refs);
    assert.equal(messages.length, 1);
  } finally {
    socket.destroy();
    listener.destroy();
    timers.close();
  }
});

test('a pooled connection does not hold the latest request, its bodies or its response', async () => {
  // Guards against a connection to a target that keeps the latest bodies in memory while it stays open.
  const server = http.createServer({ keepAlive: true }, (req, res) => {
    req.resume();
    req.on('end', () => res.end('done'));
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as net.AddressInfo;
  const client = new HttpClient({});
  const refs: { name: string; ref: WeakRef<object> }[] = [];
  const exchange = async (): Promise<void> => {
    const body = Buffer.allocUnsafeSlow(MAX_BYTES);
    const abort = new AbortController();
    const sent = await client.send(
      {
        address: `${HOST}:${port}`,
        method: 'POST',
        path: '/',
        headers: {},
        body,
        newConnection: false,
      },
      () => true,
      abort.signal,
    );
    assert.equal(sent.kind, 'answer');
    if (sent.kind !== 'answer') return;
    const result = await readResponseBody(sent.res);
    assert.equal(result.kind, 'complete');
    if (result.kind !== 'complete') return;
    refs.push({ name: 'request body', ref: new WeakRef(body) });
    refs.push({ name: 'request', ref: new WeakRef(sent.req) });
    refs.push({ name: 'response', ref: new WeakRef(sent.res) });
    refs.push({ name: 'response body', ref: new WeakRef(result.body) });
    refs.push({ name: 'signal', ref: new WeakRef(abort.signal) });
  };
  try {
    await exchange();
    assert.equal(refs.length, 5);
    await assertCollected(refs);
    // Also one that was reused.
    await exchange();
    await assertCollected(refs);
    const connections = await new Promise<number>((resolve) => {
      server.getConnections((_err, count) => resolve(count));
    });
    assert.equal(connections, 1);
  } finally {
    client.close();
    server.close();
    server.closeAllConnections();
  }
});
