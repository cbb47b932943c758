import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { test } from 'node:test';
import { HttpListener } from './listener.js';

function connect(address: string): net.Socket {
  const [host, port] = address.split(':');
  return net.connect({ host, port: Number(port) });
}

test('a request that arrives on an accepted connection during the close is answered', async () => {
  // Guards against a shutdown that resets a connection whose first request is on its way.
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
  const answers = [used, fresh].map(async (socket) => {
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
    const [data] = (await once(socket, 'data')) as [Buffer];
    return data.toString('utf8');
  });
  (await Promise.all(answers)).forEach((answer) => {
    assert.match(answer, /^HTTP\/1\.1 200/);
    assert.match(answer, /connection: close/i);
  });
  await closed;
});

test('connections that wait to be accepted when the listener closes are answered', async () => {
  // Guards against a shutdown that resets connections which the kernel has already set up.
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
  // The connections are set up in this turn, before the listener can accept them.
  await new Promise<void>((resolve) => {
    process.nextTick(resolve);
  });
  const closed = listener.close();
  const answers = sockets.map(async (socket) => {
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
    const [data] = (await once(socket, 'data')) as [Buffer];
    return data.toString('utf8');
  });
  (await Promise.all(answers)).forEach((answer) => assert.match(answer, /^HTTP\/1\.1 200/));
  await closed;
});
