import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { test, type TestContext } from 'node:test';
import { FakeTarget } from '../testing/fake-target.js';
import {
  API_KEY,
  chatBody,
  startEntry,
  targetState,
  until,
  type Harness,
} from '../testing/harness.js';

/** Longer than the calls take to reach the target. */
const NOTICE_MS = 3000;

interface Caller {
  readonly entry: Harness;
  readonly socket: net.Socket;
  readonly target: FakeTarget;
  readonly closed: Promise<unknown>;
  /** Ends the responses of the target. */
  readonly release: () => void;
  readonly statuses: () => string[];
}

async function connect(t: TestContext, drainNoticeMs = 0): Promise<Caller> {
  const gate = { open: (): void => undefined };
  const opened = new Promise<void>((resolve) => {
    gate.open = resolve;
  });
  const target = await new FakeTarget(async (_req, res) => {
    await opened;
    res.writeHead(200, { 'content-type': 'application/json' }).end('{}');
  }).listen();
  const entry = await startEntry({ targets: [targetState('t1', target)], drainNoticeMs });
  const [host, port] = entry.daemon.callers.address.split(':');
  const socket = net.connect({ host, port: Number(port), noDelay: true });
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('utf8');
  });
  const closed = once(socket, 'close');
  t.after(() => {
    target.crash();
    socket.destroy();
  });
  const statuses = (): string[] =>
    [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status ?? '');
  return { entry, socket, target, closed, release: () => gate.open(), statuses };
}

function call(text: string): string {
  const body = JSON.stringify(chatBody(text, false));
  return [
    'POST /v1/chat/completions HTTP/1.1',
    'host: x',
    `authorization: Bearer ${API_KEY}`,
    `content-length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}

// Guards against a stop that cuts the response to a call that was sent behind another one.
test('a call that was sent before an earlier one was answered is answered at a stop', async (t) => {
  const { entry, socket, target, closed, release, statuses } = await connect(t, NOTICE_MS);
  await once(socket, 'connect');
  const stopped = entry.stop();
  await until(() => entry.control.syncs.some(({ load }) => load.draining));
  socket.write(call('1'));
  await until(() => target.calls.length === 1);
  socket.write(call('2'));
  await until(() => target.calls.length === 2);
  release();
  await closed;
  assert.deepEqual(statuses(), ['200', '200']);
  await stopped;
});

// Guards against invalid HTTP that cuts the response to an earlier call, which was running.
test('the response to invalid HTTP follows that to the call before it', async (t) => {
  const { entry, socket, target, closed, release, statuses } = await connect(t);
  t.after(() => entry.stop());
  socket.write(call('1'));
  await until(() => target.calls.length === 1);
  socket.write('invalid\r\n\r\n');
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  release();
  await closed;
  assert.deepEqual(statuses(), ['200', '400']);
});

// Guards against a rejection that closes the connection while a later call of it is running.
test('a call behind a rejected one is answered', async (t) => {
  const { entry, socket, target, release, statuses } = await connect(t);
  t.after(() => entry.stop());
  // This call waits for the configuration of its revision before it is rejected.
  const lines = 'authorization: Bearer wrong\r\nmarjoramcart-revision: 1\r\n';
  socket.write(`GET /v1/models HTTP/1.1\r\nhost: x\r\n${lines}\r\n${call('2')}`);
  await until(() => target.calls.length === 1);
  release();
  await until(() => statuses().length === 2);
  assert.match(statuses().join(' '), /^4\d\d 200$/);
});

// Guards against calls that stay in progress for ever, with their bodies, since their connection closed before their turn.
test('a call behind another one ends when its caller leaves', async (t) => {
  const { entry, socket, target } = await connect(t);
  t.after(() => entry.stop());
  socket.write(call('1') + call('2'));
  await until(() => target.calls.length === 2);
  await until(() => entry.control.syncs.at(-1)?.load.openRequests === 2);
  socket.destroy();
  await until(() => entry.control.syncs.at(-1)?.load.openRequests === 0);
});
