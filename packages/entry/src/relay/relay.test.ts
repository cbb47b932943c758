import assert from 'node:assert/strict';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import { SseFrameParser } from '@marjoramcart/core';
import { readResponseBody } from '@marjoramcart/runtime';
import { CallerResponse } from './answer.js';
import { relayStream, type RelayResult } from './relay.js';

interface Relay {
  readonly from: PassThrough & { complete: boolean };
  readonly to: PassThrough;
  readonly result: Promise<RelayResult>;
}

/** Relays between two in-memory streams; the caller's side buffers 100 bytes. */
function startRelay(): Relay {
  const from = Object.assign(new PassThrough(), { headers: {}, complete: true });
  const to = Object.assign(new PassThrough({ highWaterMark: 100 }), { writeHead: () => undefined });
  const answer = new CallerResponse(to as unknown as ServerResponse, {
    commonHeaders: () => ({}),
    record: false,
  });
  const result = relayStream(from as unknown as IncomingMessage, {
    response: answer,
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

test('a target is read only as fast as its caller reads', async () => {
  // Guards against memory that grows with the answers of slow callers.
  const { from, to } = startRelay();
  from.write(`data: ${'x'.repeat(500)}\n\n`);
  await turn();
  assert.ok(from.isPaused());
  to.resume();
  await turn();
  await turn();
  assert.equal(from.isPaused(), false);
});

test('a stream is complete only with [DONE] and an end on the HTTP level', async () => {
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
  assert.ok(late.from.destroyed, 'an over-long answer ends its connection');
});

test('a whole answer without its last byte does not count', async () => {
  const from = Object.assign(new PassThrough(), { complete: false });
  const result = readResponseBody(from as unknown as IncomingMessage);
  from.end('{"half":');
  assert.equal((await result).kind, 'truncated');
});
