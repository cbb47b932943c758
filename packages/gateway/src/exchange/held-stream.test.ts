import assert from 'node:assert/strict';
import http, { type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, test } from 'node:test';
import { RouteKind, type StreamSource, type VersionScope } from '@marjoramcart/core';
import { HttpClient, SystemTimerService } from '@marjoramcart/runtime';
import type { RequestProtocol } from '../ports/request-protocol.js';
import type { AttemptEnd } from './attempt-end.js';
import { AttemptRunner, type AttemptOptions } from './attempt-runner.js';

const PROOF_MS = 40;
const EVENTS = 'id: 4\ndata: a\n\nid: 5\ndata: b\n\n';

const timers = new SystemTimerService();
const target: { answer: (res: ServerResponse) => void } = { answer: (res) => res.end() };
const server = http.createServer((_req, res) => target.answer(res));

before(async () => {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
});

after(() => {
  timers.close();
  server.close();
  server.closeAllConnections();
});

/** Goes on with a stream at the target, whose start is proved after a while. */
async function goOn(
  proved: string | undefined,
): Promise<{ end: AttemptEnd; text: string; started: boolean }> {
  const client = new HttpClient({});
  const protocol = {
    readResponseHead: () => ({ kind: 'genuine', status: 200, stream: true }),
    readTargetSignals: () => ({}),
    responseHeaders: () => [],
  } as unknown as RequestProtocol;
  const pieces: Buffer[] = [];
  const response = {
    started: false,
    start: () => Object.assign(response, { started: true }),
    write: (piece: Buffer) => pieces.push(piece) > 0,
    setSoftwareVersion: () => undefined,
  };
  const seen = { isProved: false };
  const source: StreamSource = {
    version: undefined,
    check: () => (seen.isProved ? { kind: 'settled', version: proved } : { kind: 'pending' }),
    prove: () =>
      new Promise((resolve) => {
        setTimeout(() => {
          seen.isProved = true;
          resolve();
        }, PROOF_MS);
      }),
  };
  const scope: VersionScope = { kind: 'only', version: 'v1' };
  const call = {
    head: { method: 'POST', path: '/' },
    facts: { kind: RouteKind.Stream, resumable: true },
    body: Buffer.alloc(0),
  };
  const options = {
    progress: { call, response, scope, lastEventId: 3 },
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    headers: ['host', 'api.example'],
    signal: new AbortController().signal,
    mayWrite: () => true,
    toPeer: false,
    onBytes: () => undefined,
    onSignals: () => undefined,
    onDelivered: () => undefined,
    streamSource: () => source,
  } as unknown as AttemptOptions;
  const end = await new AttemptRunner(client, protocol, timers).run(options);
  client.close();
  return { end, text: Buffer.concat(pieces).toString(), started: response.started };
}

// Guards against a stream that ends as complete without its last events, which were held until they were proved (ORDER).
test('a whole answer that arrives at once is passed on to its end after it was held', async () => {
  target.answer = (res) => res.end(EVENTS);
  const { end, text } = await goOn('v1');
  assert.deepEqual([end.kind, text], ['streamed', EVENTS]);
});

test('events that arrive while others are held are passed on in their order', async () => {
  target.answer = (res) => {
    res.write(EVENTS.slice(0, 20));
    setTimeout(() => res.end(EVENTS.slice(20)), PROOF_MS / 2);
  };
  const { end, text } = await goOn('v1');
  assert.deepEqual([end.kind, text], ['streamed', EVENTS]);
});

// Guards against events of another version behind those that were passed on before (ORDER).
test('nothing is passed on of a stream whose source is another version or is not known', async () => {
  target.answer = (res) => res.end(EVENTS);
  const other = await goOn('v2');
  assert.deepEqual([other.end.kind, other.text, other.started], ['lost', '', false]);
  const unknown = await goOn(undefined);
  assert.deepEqual([unknown.end.kind, unknown.text, unknown.started], ['lost', '', false]);
});

test('a stream that breaks off while it is held is lost without any of its events', async () => {
  target.answer = (res) => {
    res.write(EVENTS);
    setTimeout(() => res.socket?.resetAndDestroy(), PROOF_MS / 2);
  };
  const { end, text } = await goOn('v1');
  assert.deepEqual([end.kind, text], ['lost', '']);
});
