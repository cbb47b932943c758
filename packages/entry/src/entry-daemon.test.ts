import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeTarget, STREAM_HEADERS, doneEvent, streamEvents } from './testing/fake-target.js';
import { chatBody, errorCode, keyOf, send, startEntry, targetState } from './testing/harness.js';

test('a streamed chat completion and a plain call are relayed completely', async (t) => {
  // Guards against a failure anywhere between caller, configuration, routing and target.
  const target = await new FakeTarget((req, res) => {
    if (req.url.startsWith('/v1/')) {
      res.writeHead(200, STREAM_HEADERS);
      res.write(streamEvents(1, ['a', 'b']));
      res.end(doneEvent(3));
    } else res.writeHead(201, { 'content-type': 'application/json' }).end('{"slot":7}');
  }).listen();
  const entry = await startEntry({ targets: [targetState('t1', target)] });
  t.after(async () => {
    await entry.stop();
    target.crash();
  });
  const { address } = entry.daemon.callers;
  const chat = await send(address, { body: chatBody('hello') });
  assert.equal(chat.status, 200);
  assert.equal(chat.body, streamEvents(1, ['a', 'b']) + doneEvent(3));
  assert.ok(chat.complete);
  assert.equal(chat.headers['marjoramcart-code'], '1000');
  assert.equal(chat.headers['marjoramcart-target'], 't1');
  const sent = JSON.parse(target.requests[0]?.body ?? '{}') as Record<string, unknown>;
  assert.equal(sent.priority, 10);
  assert.equal(sent.model, 'chat-model');
  const plain = await send(address, {
    path: '/svc/booking/slots',
    body: { crane: 1 },
    headers: { 'idempotency-key': keyOf(entry.daemon, 'nonce-0001') },
  });
  assert.equal(plain.status, 201);
  assert.equal(plain.body, '{"slot":7}');
  assert.equal(plain.headers['marjoramcart-run'], 'ran');
});

test('a request with an unknown API key is rejected', async (t) => {
  const entry = await startEntry();
  t.after(() => entry.stop());
  const response = await send(entry.daemon.callers.address, {
    body: chatBody('x'),
    apiKey: 'wrong',
  });
  assert.equal(response.status, 401);
  assert.equal(errorCode(response.body), 2102);
});
