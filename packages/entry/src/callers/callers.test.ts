import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { test } from 'node:test';
import { SuspectTable } from '@marjoramcart/core';
import { ManualTimerService, readRequestBody } from '@marjoramcart/runtime';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { requestDigest } from './call-parser.js';
import { FakeTarget, STREAM_HEADERS, doneEvent, streamEvents } from '../testing/fake-target.js';
import {
  API_KEY,
  OTHER_API_KEY,
  chatBody,
  errorCode,
  keyDigest,
  keyOf,
  send,
  sendAroundRestriction,
  startEntry,
  targetState,
  testConfig,
  until,
  type Harness,
} from '../testing/harness.js';

const OVERSIZED_BODY_BYTES = 5_000_000;

/** Sends raw bytes and returns everything received until the connection closes. */
function sendRaw(address: string, text: string): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = net.connect({ host, port: Number(port) }, () => socket.write(text));
    const chunks: Buffer[] = [];
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('error', reject);
    socket.on('close', () => resolve(Buffer.concat(chunks).toString('utf8')));
  });
}

function head(apiKey: string, lines: readonly string[]): string {
  return [
    'POST /v1/chat/completions HTTP/1.1',
    'host: x',
    `authorization: Bearer ${apiKey}`,
    ...lines,
    '',
    '',
  ].join('\r\n');
}

test('each kind of invalid request gets its result code and is not run', async (t) => {
  const target = await new FakeTarget((_req, res) => {
    res.writeHead(200).end();
  }).listen();
  const entry = await startEntry({ targets: [targetState('t1', target)] });
  t.after(async () => {
    target.crash();
    await entry.stop();
  });
  const { address } = entry.daemon.callers;
  const deep = `{"model":"chat","messages":${'['.repeat(70)}${']'.repeat(70)}}`;
  const cases: [string, number][] = [
    [head(API_KEY, ['content-length: 5000000']), 1103],
    [`${head(API_KEY, ['content-length: 3', 'connection: close'])}{"a`, 1101],
    [`${head(API_KEY, [`content-length: ${deep.length}`, 'connection: close'])}${deep}`, 1104],
    [`${head(API_KEY, ['content-length: 2', 'connection: close'])}{}`, 1102],
    [head(API_KEY, [`x: ${'y'.repeat(20_000)}`]), 1105],
    ['nonsense\r\n\r\n', 1102],
  ];
  const codes = await Promise.all(
    cases.map(async ([text]) => /"code":(\d+)/.exec(await sendRaw(address, text))?.[1]),
  );
  assert.deepEqual(
    codes.map(Number),
    cases.map(([, code]) => code),
  );
  const late = await send(address, {
    body: chatBody('x'),
    headers: { 'marjoramcart-deadline-ms': 'soon' },
  });
  assert.equal(errorCode(late.body), 1107);
  const unkeyed = await send(address, { path: '/svc/booking/slots', body: {} });
  assert.equal(errorCode(unkeyed.body), 5101);
  assert.ok(unkeyed.body.includes(`"key_prefix":"${entry.daemon.bootId}."`));
  assert.equal(target.calls.length, 0);
});

test('an invalid request on a reused connection gets its result code', async (t) => {
  const entry = await startEntry();
  t.after(() => entry.stop());
  const [host, port] = entry.daemon.callers.address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  const received: Buffer[] = [];
  socket.on('data', (chunk) => received.push(chunk));
  const closed = new Promise((resolve) => {
    socket.on('close', resolve);
  });
  socket.write(`GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${API_KEY}\r\n\r\n`);
  await until(() => Buffer.concat(received).toString('utf8').includes('"object":"list"'));
  received.length = 0;
  socket.write(head(API_KEY, [`x: ${'y'.repeat(20_000)}`]));
  await closed;
  assert.match(Buffer.concat(received).toString('utf8'), /"code":1105/);
});

test('a residency violation is rejected before the body is sent and lists the allowed entries', async (t) => {
  // Guards against customer data entering a region that it must not enter.
  const entry = await startEntry({
    view: {
      summaries: [
        {
          failureDomain: 'west-1',
          region: 'west',
          version: 1,
          ageMs: 0,
          services: [],
          entries: [
            {
              bootId: 'w',
              peerAddress: '127.0.0.1:1',
              callerAddress: '127.0.0.1:2',
              draining: false,
              openRequests: 0,
            },
          ],
        },
      ],
    },
  });
  t.after(() => entry.stop());
  const response = await sendRaw(
    entry.daemon.callers.address,
    head(OTHER_API_KEY, ['content-length: 1000']),
  );
  assert.match(response, /^HTTP\/1.1 421 /);
  assert.match(response, /"code":2201/);
  assert.match(response, /"address":"127.0.0.1:2"/);
  assert.match(response, /connection: close/i);
  const expecting = await sendRaw(
    entry.daemon.callers.address,
    head(OTHER_API_KEY, ['content-length: 1000', 'expect: 100-continue']),
  );
  assert.match(expecting, /^HTTP\/1.1 421 /, '100 Continue must not be sent');
  const list = await send(entry.daemon.callers.address, {
    method: 'GET',
    path: '/v1/entries',
    apiKey: OTHER_API_KEY,
  });
  const { entries } = JSON.parse(list.body) as { entries: { key_prefix: string }[] };
  assert.deepEqual(
    entries.map(({ key_prefix: prefix }) => prefix),
    ['w.'],
  );
});

test('a caller that expects 100-continue gets it after the checks of its headers', async (t) => {
  const target = await new FakeTarget((_req, res) => {
    res.writeHead(200, STREAM_HEADERS).end(streamEvents(1, ['a']) + doneEvent(2));
  }).listen();
  const entry = await startEntry({ targets: [targetState('t1', target)] });
  t.after(async () => {
    target.crash();
    await entry.stop();
  });
  const body = JSON.stringify(chatBody('x'));
  const lines = [`content-length: ${body.length}`, 'expect: 100-continue', 'connection: close'];
  const response = await sendRaw(entry.daemon.callers.address, head(API_KEY, lines) + body);
  assert.match(response, /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 /);
});

test('status, readiness and metrics reflect the state of the entry', async (t) => {
  const entry = await startEntry();
  t.after(() => entry.stop());
  const get = (path: string): ReturnType<typeof send> =>
    send(entry.daemon.admin.address, { method: 'GET', path });
  const ready = await get('/readyz');
  assert.equal(ready.status, 200);
  assert.deepEqual(JSON.parse(ready.body), { status: 'ready', revision: 1 });
  const status = JSON.parse((await get('/status')).body) as Record<string, unknown>;
  assert.equal(status.revision, 1);
  assert.equal(status.control_lost, false);
  await send(entry.daemon.callers.address, { body: chatBody('x') });
  const metrics = (await get('/metrics')).body;
  assert.match(metrics, /marjoramcart_requests_total 1/);
  assert.match(metrics, /marjoramcart_results_total{code="4102",run="not_run"} 1/);
  entry.daemon.state.draining = true;
  assert.equal((await get('/readyz')).status, 503);
});

test('a request body below the minimum rate is aborted', async () => {
  // Guards against slow senders that keep connections open forever.
  const timers = new ManualTimerService();
  const body = new PassThrough() as unknown as IncomingMessage & PassThrough;
  body.headers = {};
  const result = readRequestBody(body, 1_000_000, timers);
  body.write('x'.repeat(100));
  timers.advance(4000);
  assert.equal((await result).kind, 'too-slow');
});

test('a graceful shutdown does not interrupt open streams', async (t) => {
  // The entry leaves the entry lists, finishes its open streams and then ends.
  const gate = { open: (): void => undefined };
  const target = await new FakeTarget(async (_req, res) => {
    res.writeHead(200, STREAM_HEADERS).write(streamEvents(1, ['a']));
    await new Promise<void>((resolve) => {
      gate.open = resolve;
    });
    res.end(streamEvents(2, ['b']) + doneEvent(3));
  }).listen();
  const entry = await startEntry({ targets: [targetState('t1', target)] });
  t.after(() => target.crash());
  const { address } = entry.daemon.callers;
  const response = send(address, { body: chatBody('x') });
  await until(() => target.calls.length === 1);
  const stopped = entry.stop();
  await until(() => entry.control.syncs.some(({ load }) => load.draining));
  gate.open();
  const { body, complete } = await response;
  assert.equal(body, streamEvents(1, ['a', 'b']) + doneEvent(3));
  assert.ok(complete);
  await stopped;
  await assert.rejects(send(address, { body: chatBody('x') }));
});

test('a connection that becomes idle during a shutdown does not delay it', async (t) => {
  // Guards against a shutdown that waits for the keep-alive timeout of 5 s.
  const gate = { open: (): void => undefined };
  const target = await new FakeTarget(async (_req, res) => {
    res.writeHead(200, STREAM_HEADERS).write(streamEvents(1, ['a']));
    await new Promise<void>((resolve) => {
      gate.open = resolve;
    });
    res.end(doneEvent(2));
  }).listen();
  const entry = await startEntry({ targets: [targetState('t1', target)] });
  const body = JSON.stringify(chatBody('x'));
  const [host, port] = entry.daemon.callers.address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  t.after(() => {
    target.crash();
    socket.destroy();
  });
  const received: Buffer[] = [];
  socket.on('data', (chunk) => received.push(chunk));
  socket.write(head(API_KEY, [`content-length: ${body.length}`]) + body);
  await until(() => received.length > 0);
  const stopped = { done: false };
  void entry.stop().then(() => {
    stopped.done = true;
  });
  await until(() => entry.control.syncs.some(({ load }) => load.draining));
  gate.open();
  await until(() => stopped.done, 3000);
  assert.match(Buffer.concat(received).toString('utf8'), /\[DONE\]/);
});

test('a request that another entry refuses as a suspect is refused here', async (t) => {
  const entry = await startEntry();
  t.after(() => entry.stop());
  const body = chatBody('killer');
  const digest = requestDigest('c1', 'chat', Buffer.from(JSON.stringify(body)));
  const remoteSuspects = new SuspectTable();
  remoteSuspects.onDeath({ digest, customer: 'c1', service: 'chat' }, 0);
  remoteSuspects.onDeath({ digest, customer: 'c1', service: 'chat' }, 0);
  entry.control.setView({ suspects: remoteSuspects.localRecords(0) });
  const { version } = entry.control.view;
  await until(() => entry.daemon.state.view.version === version);
  const response = await send(entry.daemon.callers.address, { body });
  assert.equal(errorCode(response.body), 4201);
});

test('a caller that sends its whole oversized body before it reads gets the result code', async (t) => {
  // Guards against a connection reset, on which the caller would lose the unread response.
  const entry = await startEntry();
  t.after(() => entry.stop());
  const [host, port] = entry.daemon.callers.address.split(':');
  const response = await new Promise<string>((resolve, reject) => {
    const socket = net.connect({ host, port: Number(port) });
    const chunks: Buffer[] = [];
    socket.on('error', reject).on('data', (chunk) => chunks.push(chunk));
    socket.on('close', () => resolve(Buffer.concat(chunks).toString('utf8')));
    socket.pause();
    socket.write(head(API_KEY, [`content-length: ${OVERSIZED_BODY_BYTES}`]));
    socket.write(Buffer.alloc(OVERSIZED_BODY_BYTES, 'x'), () => socket.resume());
  });
  assert.match(response, /^HTTP\/1.1 413 /);
  assert.match(response, /"code":1103/);
});

test('oversized headers in many small writes on a reused connection get their result code', async (t) => {
  // Guards against a close without a response, since each further write is a new parser error.
  const entry = await startEntry();
  t.after(() => entry.stop());
  const [host, port] = entry.daemon.callers.address.split(':');
  const socket = net.connect({ host, port: Number(port), noDelay: true });
  const chunks: Buffer[] = [];
  socket.on('data', (chunk) => chunks.push(chunk));
  const text = (): string => Buffer.concat(chunks).toString('utf8');
  const closed = once(socket, 'close');
  socket.write(`GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${API_KEY}\r\n\r\n`);
  await until(() => text().includes('"list"'));
  socket.write('GET /v1/models HTTP/1.1\r\nhost: x\r\n');
  await Array.from({ length: 40 }).reduce<Promise<void>>(async (before, _, index) => {
    await before;
    await new Promise((resolve) => {
      socket.write(`x-${index}: ${'n'.repeat(1000)}\r\n`, resolve);
    });
  }, Promise.resolve());
  await closed;
  assert.match(text(), /HTTP\/1.1 431 /);
  assert.match(text(), /"code":1105/);
});

test('a chat body is read only if the named service or all services allow the region', async (t) => {
  // Guards against a body that is read in a region where its service must not run.
  const config = testConfig({
    services: {
      chat: { kind: 'model', model: 'chat-model', regions: ['north', 'west'] },
      'west-chat': { kind: 'model', model: 'chat-model', regions: ['west'] },
    },
    customers: [
      { id: 'c1', key: keyDigest(API_KEY), class: 'standard' },
      { id: 'c2', key: keyDigest(OTHER_API_KEY), class: 'standard', services: ['chat'] },
    ],
  });
  const entry = await startEntry({ config });
  t.after(() => entry.stop());
  const ask = (apiKey: string, lines: readonly string[]): Promise<string> =>
    sendRaw(
      entry.daemon.callers.address,
      `${head(apiKey, ['content-length: 2', 'connection: close', ...lines])}{}`,
    );
  const [unnamed, disallowed, named, only] = await Promise.all([
    ask(API_KEY, []),
    ask(API_KEY, ['marjoramcart-service: west-chat']),
    ask(API_KEY, ['marjoramcart-service: chat']),
    ask(OTHER_API_KEY, []),
  ]);
  assert.match(unnamed, /"code":2201.*"next":"Name the service in the marjoramcart-service header/);
  assert.match(disallowed, /"code":2201/);
  // The body lacks a model, which is known only after reading it.
  assert.match(named, /"code":1102/);
  assert.match(only, /"code":1102/);
});

test('a request is not run if its customer loses the region or the service while its body arrives', async (t) => {
  // Guards against checking a request only against the configuration at its arrival.
  const target = await new FakeTarget((_req, res) => {
    res.writeHead(200, STREAM_HEADERS).end(streamEvents(1, ['a']) + doneEvent(2));
  }).listen();
  const targets = [targetState('t1', target)];
  const entries = await Promise.all([startEntry({ targets }), startEntry({ targets })]);
  t.after(async () => {
    target.crash();
    await Promise.all(entries.map((entry) => entry.stop()));
  });
  const responses = await Promise.all(
    [{ regions: ['west'] }, { services: ['booking'] }].map((restriction, index) =>
      sendAroundRestriction(entries[index] as Harness, restriction),
    ),
  );
  assert.match(responses[0] ?? '', /HTTP\/1.1 421 .*"code":2202,.*"run":"not_run"/s);
  assert.match(responses[1] ?? '', /HTTP\/1.1 403 .*"code":2104,.*"run":"not_run"/s);
  assert.equal(target.calls.length, 0);
});

test('a rejected retry reports not_run only at the owner of its key', async (t) => {
  // Guards against a wrong not_run from an entry that doesn't know what the owner did.
  const entry = await startEntry();
  t.after(() => entry.stop());
  const runOf = async (bootId: string, apiKey: string, path: string): Promise<unknown> => {
    const headers = { 'idempotency-key': keyOf({ bootId }, 'nonce-0001') };
    const response = await send(entry.daemon.callers.address, { path, body: {}, headers, apiKey });
    return [errorCode(response.body), response.headers['marjoramcart-run']];
  };
  const { bootId } = entry.daemon;
  const other = `${'b'.repeat(20)}-abc123`;
  assert.deepEqual(await runOf(bootId, API_KEY, '/svc/none/slots'), [2103, 'not_run']);
  assert.deepEqual(await runOf(other, API_KEY, '/svc/none/slots'), [2103, 'unknown']);
  assert.deepEqual(await runOf(other, OTHER_API_KEY, '/svc/booking/slots'), [2201, 'unknown']);
});
