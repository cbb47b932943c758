import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import { SseFrameParser } from '@marjoramcart/core';
import { readResponseBody } from '@marjoramcart/runtime';
import { CallerResponse } from './caller-response.js';
import { relayStream, type RelayResult } from './relay.js';

interface Relay {
  readonly from: PassThrough & { complete: boolean };
  readonly to: PassThrough;
  readonly result: Promise<RelayResult>;
}

/** Relays between two in-memory streams; the caller's side buffers at most 100 bytes. */
function startRelay(): Relay {
  const from = Object.assign(new PassThrough(), { headers: {}, complete: true });
  const to = Object.assign(new PassThrough({ highWaterMark: 100 }), {
    req: { socket: new EventEmitter() },
    writeHead: () => undefined,
  });
  const response = new CallerResponse(to as unknown as ServerResponse, {
    commonHeaders: () => ({}),
    record: false,
  });
  const result = relayStream(from as unknown as IncomingMessage, {
    response,
    frames: new SseFrameParser(),
    target: 't1',
    attempts: 1,
    onEvents: () => undefined,
  });
  return { from, to, result };
}

function turn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

test('a slow caller applies backpressure to the target', async () => {
  // Guards against unbounded buffering of responses to slow callers.
  const { from, to } = startRelay();
  from.write(`data: ${'x'.repeat(500)}\n\n`);
  await turn();
  assert.ok(from.isPaused());
  to.resume();
  await turn();
  await turn();
  assert.equal(from.isPaused(), false);
});

test('a truncated stream without [DONE] or without the end of the HTTP message is not complete', async () => {
  const whole = startRelay();
  whole.from.end('data: a\n\ndata: [DONE]\n\n');
  assert.equal((await whole.result).kind, 'complete');
  const unmarked = startRelay();
  unmarked.from.end('data: a\n\n');
  assert.equal((await unmarked.result).kind, 'truncated');
  const cut = startRelay();
  cut.from.complete = false;
  cut.from.end('data: a\n\ndata: [DONE]\n\n');
  assert.equal((await cut.result).kind, 'truncated');
  const late = startRelay();
  late.from.write('data: [DONE]\n\ndata: more\n\n');
  assert.deepEqual(await late.result, { kind: 'protocol-fault', message: 'data-after-done' });
  assert.ok(late.from.destroyed, 'a response with data after [DONE] closes the connection');
});

test('a truncated response body is not taken as complete', async () => {
  const from = Object.assign(new PassThrough(), { complete: false });
  const result = readResponseBody(from as unknown as IncomingMessage);
  from.end('{"half":');
  assert.equal((await result).kind, 'truncated');
});
