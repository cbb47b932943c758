import assert from 'node:assert/strict';
import net, { type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { HttpClient } from './http-client.js';
import { probeConnection } from './probe-connection.js';
import { readResponseBody } from './read-response-body.js';

async function readResultOf(respond: (socket: Socket) => void): Promise<string> {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => respond(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient({});
  const sent = await client.send(
    {
      address: `127.0.0.1:${port}`,
      method: 'GET',
      path: '/',
      headers: {},
      body: Buffer.alloc(0),
      newConnection: true,
    },
    () => true,
    new AbortController().signal,
  );
  const body = sent.kind === 'answer' ? await readResponseBody(sent.res) : sent;
  client.close();
  server.close();
  return body.kind;
}

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

test('a response without a length is complete when its connection ends normally', async () => {
  assert.equal(await readResultOf((socket) => socket.end(`${HEAD}whole`)), 'complete');
});

test('a response without a length is truncated when its connection is reset', async () => {
  const kind = await readResultOf((socket) => {
    socket.write(`${HEAD}part`, () => {
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
  });
  assert.equal(kind, 'truncated');
});

test('a response without a length is truncated when its last bytes and the reset arrive together', async () => {
  // libuv reports such a reset as an ordinary end, so a partial response would look complete.
  const kinds = await Promise.all(
    Array.from({ length: 20 }, () =>
      readResultOf((socket) => {
        socket.write(`${HEAD}part`);
        socket.resetAndDestroy();
      }),
    ),
  );
  assert.ok(!kinds.includes('complete'), kinds.join(' '));
});

test('a pooled request is checked again once its new connection is established', async (t) => {
  // Guards against a request written to a destination that was withdrawn while it was being connected.
  const received: Buffer[] = [];
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => received.push(bytes));
  });
  const closed = new Promise((resolve) => {
    server.once('connection', (socket) => socket.once('close', resolve));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient({});
  t.after(() => {
    client.close();
    server.close();
  });
  const checks = [true, false];
  const sent = await client.send(
    {
      address: `127.0.0.1:${port}`,
      method: 'POST',
      path: '/',
      headers: {},
      body: Buffer.from('body'),
      newConnection: false,
    },
    () => checks.shift() ?? false,
    AbortSignal.timeout(1000),
  );
  await closed;
  assert.equal(sent.kind, 'vetoed');
  assert.equal(Buffer.concat(received).length, 0);
});

// Guards against requests that are never answered because a target switches protocols.
test('a request fails when its response switches protocols', async () => {
  const head = 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n';
  const result = readResultOf((socket) => socket.write(head));
  const late = new Promise((resolve) => {
    setTimeout(resolve, 1000, 'no result').unref();
  });
  assert.equal(await Promise.race([result, late]), 'failed');
});

// Guards against a truncated response that looks complete on a connection that was in use before.
test('a response on a reused connection is truncated when its last bytes and the reset arrive together', async (t) => {
  let requests = 0;
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      if (requests === 1) socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
      else socket.write(`${HEAD}part`, () => socket.resetAndDestroy());
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient({});
  t.after(() => {
    client.close();
    server.close();
  });
  const request = async (): Promise<string> => {
    const sent = await client.send(
      {
        address: `127.0.0.1:${port}`,
        method: 'GET',
        path: '/',
        headers: {},
        body: Buffer.alloc(0),
        newConnection: false,
      },
      () => true,
      new AbortController().signal,
    );
    return sent.kind === 'answer' ? (await readResponseBody(sent.res)).kind : sent.kind;
  };
  assert.equal(await request(), 'complete');
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  assert.notEqual(await request(), 'complete');
  assert.equal(requests, 2);
});

// Guards against a gateway that is ended for its memory, as each kept connection holds the first response that
// came over it.
test('a kept connection does not keep a response in memory that was read', async (t) => {
  const body = Buffer.alloc(1024 * 1024, 'x');
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n`);
      socket.write(body);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient({});
  t.after(() => {
    client.close();
    server.close();
  });
  const request = async (): Promise<WeakRef<object>> => {
    const sent = await client.send(
      {
        address: `127.0.0.1:${port}`,
        method: 'GET',
        path: '/',
        headers: {},
        body: Buffer.alloc(0),
        newConnection: false,
      },
      () => true,
      new AbortController().signal,
    );
    assert.equal(sent.kind, 'answer');
    assert.equal((await readResponseBody(sent.res)).kind, 'complete');
    return new WeakRef(sent.res);
  };
  const responses = await Promise.all(Array.from({ length: 8 }, request));
  await delay(50);
  setFlagsFromString('--expose-gc');
  runInNewContext('gc()');
  const kept = responses.filter((res) => res.deref() !== undefined);
  assert.equal(kept.length, 0, `${kept.length} responses are kept`);
});

// Guards against a request that counts as sent, and is not tried elsewhere, as its process has no descriptors left.
test('a request whose connection can not be started was not sent', async (t) => {
  const client = new HttpClient({});
  t.after(() => client.close());
  const sent = await client.send(
    {
      // The operating system refuses a connection to a broadcast address at once.
      address: '255.255.255.255:80',
      method: 'GET',
      path: '/',
      headers: {},
      body: Buffer.alloc(0),
      newConnection: false,
    },
    () => true,
    new AbortController().signal,
  );
  assert.equal(sent.kind, 'failed');
  assert.equal(sent.sent, false);
});

[
  { name: 'a port that is out of range', address: '127.0.0.1:99999', id: 'i-1' },
  { name: 'a header that is not valid', address: '127.0.0.1:9', id: 'i\n1' },
].forEach(({ name, address, id }) => {
  // Guards against an error that nobody handles, which ends the process.
  test(`a request with ${name} fails without being sent`, async () => {
    const client = new HttpClient({});
    const out = { address, method: 'GET', path: '/', headers: ['id', id], body: Buffer.alloc(0) };
    const signal = AbortSignal.timeout(5000);
    const results = await Promise.all(
      [true, false].map((newConnection) =>
        client.send({ ...out, newConnection }, () => true, signal),
      ),
    );
    client.close();
    results.forEach((result) => assert.equal(result.kind === 'failed' && result.sent, false));
  });
});

test('a probe of a port that is out of range has no answer', async () => {
  assert.equal(await probeConnection('127.0.0.1:99999', 5000), 'no-answer');
});
