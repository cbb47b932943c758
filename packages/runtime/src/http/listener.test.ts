import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { test } from 'node:test';
import { HttpListener } from './listener.js';

function connect(address: string): net.Socket {
  const [host, port] = address.split(':');
  return net.connect({ host, port: Number(port) });
}

test('a request that arrives on an accepted connection while the listener closes gets a response', async () => {
  // Guards against a shutdown that resets a connection while its first request is on its way.
  const listener = new HttpListener({
    address: '127.0.0.1:0',
    handler: (_req, res) => {
      res.end('done');
    },
    onError: () => {},
  });
  await listener.listen();
  const { address } = listener;
  const used = connect(address);
  used.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  await once(used, 'data');
  const fresh = connect(address);
  await once(fresh, 'connect');
  const probe = connect(address);
  probe.write('GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
  await once(probe, 'data');

  const closed = listener.close();
  const responses = [used, fresh].map(async (socket) => {
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
    const [data] = (await once(socket, 'data')) as [Buffer];
    return data.toString('utf8');
  });
  (await Promise.all(responses)).forEach((response) => {
    assert.match(response, /^HTTP\/1\.1 200/);
    assert.match(response, /connection: close/i);
  });
  await closed;
});

test('a connection not yet accepted when the listener closes still gets a response', async () => {
  // Guards against a shutdown that resets connections already established by the operating system.
  const listener = new HttpListener({
    address: '127.0.0.1:0',
    handler: (_req, res) => {
      res.end('done');
    },
    onError: () => {},
  });
  await listener.listen();
  const { address } = listener;
  const sockets = Array.from({ length: 50 }, () => connect(address));
  // The connections are established in this event loop iteration, before any is accepted.
  await new Promise<void>((resolve) => {
    process.nextTick(resolve);
  });
  const closed = listener.close();
  const responses = sockets.map(async (socket) => {
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
    const [data] = (await once(socket, 'data')) as [Buffer];
    return data.toString('utf8');
  });
  (await Promise.all(responses)).forEach((response) => assert.match(response, /^HTTP\/1\.1 200/));
  await closed;
});

test('a listener that has served many connections resets none of those that wait as it closes', async () => {
  // Guards against a shutdown that takes the accept of one connection for an idle iteration.
  const listener = new HttpListener({
    address: '127.0.0.1:0',
    handler: (_req, res) => {
      res.end('done');
    },
    onError: () => {},
  });
  await listener.listen();
  const { address } = listener;
  const ask = (): Promise<boolean> =>
    new Promise((resolve) => {
      const socket = connect(address);
      socket.once('data', () => {
        resolve(true);
        socket.destroy();
      });
      socket.once('error', () => resolve(false));
      socket.write('GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
    });
  const askMany = (): Promise<boolean[]> => Promise.all(Array.from({ length: 100 }, ask));
  await Array.from({ length: 20 }).reduce<Promise<unknown>>(
    (before) => before.then(askMany),
    askMany(),
  );
  const answered = askMany();
  // The connections are established in this event loop iteration, before any is accepted.
  await new Promise<void>((resolve) => {
    process.nextTick(resolve);
  });
  await listener.close();
  assert.equal((await answered).filter((isAnswered) => !isAnswered).length, 0);
});

test('a flood of pipelined requests behind one in flight is not read on', async () => {
  // Guards against requests that Node.js keeps without a limit while an earlier response is missing.
  const readBytes: { socket?: net.Socket } = {};
  let requests = 0;
  const listener = new HttpListener({
    address: '127.0.0.1:0',
    handler: (req) => {
      requests += 1;
      readBytes.socket = req.socket;
      // Never responds.
      return new Promise<void>(() => {});
    },
    onError: () => {},
  });
  await listener.listen();
  const client = connect(listener.address);
  client.on('error', () => undefined);
  await once(client, 'connect');
  client.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(200_000));
  const bytesRead = (): number => readBytes.socket?.bytesRead ?? 0;
  const settle = async (before: number): Promise<number> => {
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    const now = bytesRead();
    return now > 0 && now === before ? now : settle(now);
  };
  assert.ok((await settle(-1)) < 1024 * 1024, `${bytesRead()} bytes read`);
  assert.ok(requests <= 256, `${requests} requests`);
  client.destroy();
  listener.destroy();
});
