import assert from 'node:assert/strict';
import { once } from 'node:events';
import { after, afterEach, before, test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { HOST, PLAIN_SERVICE, PortOffset } from './example-config.js';
import { TestFleet } from './test-fleet.js';
import type { TargetStandIn } from './target.js';

const BASE_PORT = 29_400;
const GATEWAY_IP = '127.0.0.1';
const REQUESTS = 20;
const BLOCKED_MS = 20_000;
const BLOCKED = 0;
const SENT = 1;

/**
 * Sends requests and closes their connections while the thread of the gateway is blocked. With `kept`, the
 * connections have been accepted before that and have carried a request.
 */
const CALLERS = `
  const net = require('node:net');
  const { once } = require('node:events');
  const { parentPort, workerData } = require('node:worker_threads');
  const { ip, port, host, requests, kept, state } = workerData;
  const request = (id) =>
    'GET /read/x HTTP/1.1\\r\\nHost: ' + host + '\\r\\nRequest-Id: ' + id + '\\r\\nDeadline-Ms: 3000\\r\\n\\r\\n';
  const open = async (index) => {
    const socket = net.connect(port, ip);
    await once(socket, 'connect');
    if (kept) {
      socket.write(request('before-' + index));
      await once(socket, 'data');
    }
    return socket;
  };
  const leave = (socket, index) =>
    new Promise((resolve) => {
      socket.once('close', resolve);
      socket.write(request((kept ? 'kept-' : 'new-') + index), () => socket.destroy());
    });
  const openAll = () => Promise.all(Array.from({ length: requests }, (_, index) => open(index)));
  const run = async () => {
    const sockets = kept ? await openAll() : [];
    parentPort.postMessage('ready');
    Atomics.wait(state, 0, -1);
    await Promise.all((kept ? sockets : await openAll()).map(leave));
    Atomics.store(state, 0, ${SENT});
    Atomics.notify(state, 0);
  };
  void run();`;

const fleet = new TestFleet(BASE_PORT);
let target: TargetStandIn;
let worker: Worker | undefined;

before(async () => {
  await fleet.start();
  target = await fleet.addTarget(1, PLAIN_SERVICE, 'north-a');
  const node = await fleet.addGateway(1, 'north-a');
  await fleet.until(() => fleet.isReady(node));
  await fleet.until(() => fleet.gateway(node).state.usableTargets(PLAIN_SERVICE).length === 1);
  // Leaves open connections to the target, so that a request is written as soon as it is sent on.
  await sendAll('warm');
});

afterEach(() => worker?.terminate());

after(() => fleet.stop());

async function sendAll(name: string): Promise<void> {
  const send = (): Promise<unknown> => fleet.send('vm-1', { path: `/read/${name}` });
  await Promise.all(Array.from({ length: REQUESTS }, send));
}

/** Blocks this thread, and with it the gateway, until the callers have sent their requests and left. */
async function abandonRequests(kept: boolean): Promise<void> {
  const state = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)).fill(-1);
  worker = new Worker(CALLERS, {
    eval: true,
    workerData: {
      ip: GATEWAY_IP,
      port: BASE_PORT + PortOffset.Callers,
      host: HOST,
      requests: REQUESTS,
      kept,
      state,
    },
  });
  await once(worker, 'message');
  Atomics.store(state, 0, BLOCKED);
  Atomics.notify(state, 0);
  assert.notEqual(Atomics.wait(state, 0, BLOCKED, BLOCKED_MS), 'timed-out');
}

/** Ids of the abandoned requests of a name that the target ran, once the gateway has handled later ones. */
async function runsOf(name: string): Promise<string[]> {
  await sendAll('after');
  await sendAll('after');
  return target.runs.map(({ requestId }) => requestId).filter((id) => id.startsWith(name));
}

// Guards against requests that run for callers who left while their connections waited to be accepted.
test('a request whose caller left before its connection was accepted is not sent on', async () => {
  await abandonRequests(false);
  assert.deepEqual(await runsOf('new'), []);
});

// Guards against requests that run for callers who left before the request was read.
test('a request whose caller left before it was read on a kept connection is not sent on', async () => {
  await abandonRequests(true);
  assert.deepEqual(await runsOf('kept'), []);
});
