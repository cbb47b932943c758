import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { test } from 'node:test';
import { ResultCodes } from '@marjoramcart/core';
import { HttpListener } from '@marjoramcart/runtime';
import { CallerResponse } from './caller-response.js';
import { sendResult } from './send-result.js';

const STALL_MS = 100;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

// Guards against a timeout of one response that closes the connection before the next one is ready.
test('a response may take longer than the one before it may stall', async (t) => {
  const handled: CallerResponse[] = [];
  const listener = new HttpListener({
    address: '127.0.0.1:0',
    handler: (_req, res) => {
      handled.push(new CallerResponse(res, false, STALL_MS));
    },
    onError: () => undefined,
  });
  await listener.listen();
  const [host, port] = listener.address.split(':');
  const socket = net.connect({ host: host ?? '', port: Number(port) });
  t.after(() => {
    socket.destroy();
    listener.destroy();
  });
  socket.write(REQUEST + REQUEST);
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('latin1');
  });
  await new Promise((resolve) => {
    setTimeout(resolve, STALL_MS);
  });
  handled[0]?.send(200, [], Buffer.from('first'));
  await once(socket, 'data');
  await new Promise((resolve) => {
    setTimeout(resolve, 3 * STALL_MS);
  });
  assert.equal(socket.closed, false);
  handled[1]?.send(200, [], Buffer.from('second'));
  await once(socket, 'data');
  assert.match(received, /first[^]*second$/);
});

// Guards against a request that goes on after its caller has left, and against a listener for each on their connection.
test('responses that wait for an earlier one hear of the end of their connection without a listener each', async (t) => {
  const handled: CallerResponse[] = [];
  const connections: net.Socket[] = [];
  const listener = new HttpListener({
    address: '127.0.0.1:0',
    handler: (req, res) => {
      handled.push(new CallerResponse(res, false, STALL_MS));
      connections.push(req.socket);
    },
    onError: () => undefined,
  });
  await listener.listen();
  const [host, port] = listener.address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  t.after(() => {
    socket.destroy();
    listener.destroy();
  });
  socket.write(REQUEST.repeat(20));
  const untilHandled = async (): Promise<void> => {
    if (handled.length === 20) return;
    await new Promise(setImmediate);
    await untilHandled();
  };
  await untilHandled();
  assert.ok((connections[0]?.listenerCount('close') ?? 0) <= 10);
  const left: boolean[] = [];
  handled.forEach((response) => response.onDisconnect(() => left.push(true)));
  socket.destroy();
  await Promise.all(handled.map(({ closed }) => closed));
  assert.equal(left.length, 20);
});

// A request that did not run would be charged, or one that may have run would cost nothing.
test('what may have run is told by the number of targets, and by the result code that is sent', async (t) => {
  const states: boolean[][] = [];
  const codes = [ResultCodes.TargetTimeout, ResultCodes.RetriesSpent];
  const listener = new HttpListener({
    address: '127.0.0.1:0',
    handler: (_req, res) => {
      const response = new CallerResponse(res, false, STALL_MS);
      const before = response.mayHaveRun;
      response.setRuns(1);
      const attempted = response.mayHaveRun;
      sendResult(response, codes[states.length] ?? assert.fail());
      states.push([before, attempted, response.mayHaveRun]);
    },
    onError: () => undefined,
  });
  await listener.listen();
  const [host, port] = listener.address.split(':');
  const socket = net.connect({ host: host ?? '', port: Number(port) });
  t.after(() => {
    socket.destroy();
    listener.destroy();
  });
  socket.write(REQUEST);
  await once(socket, 'data');
  socket.write(REQUEST);
  await once(socket, 'data');
  assert.deepEqual(states, [
    [false, true, true],
    [false, true, false],
  ]);
});
