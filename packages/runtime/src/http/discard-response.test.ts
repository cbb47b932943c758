import assert from 'node:assert/strict';
import http, { type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { ManualTimerService } from '../timers/manual-timer-service.js';
import { discardResponse } from './discard-response.js';

/** Starts a server that sends a chunk of a body that does not end, and requests it. */
async function unfinishedResponse(chunk: string): Promise<[IncomingMessage, http.Server]> {
  const server = http.createServer((_, res) => res.write(chunk));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const res = await new Promise<IncomingMessage>((resolve) => {
    http.get({ port, host: '127.0.0.1', agent: false }, resolve);
  });
  return [res, server];
}

function closed(res: IncomingMessage): Promise<void> {
  return new Promise((resolve) => {
    res.on('close', resolve);
  });
}

// Guards against reading on for ever from a target that sends a body without end.
test('a response whose body does not end is closed after a while', async () => {
  const timers = new ManualTimerService();
  const [res, server] = await unfinishedResponse('slow');
  discardResponse(res, timers);
  timers.advance(900);
  assert.equal(res.destroyed, false);
  timers.advance(200);
  await closed(res);
  server.close();
});

test('a response with a large body is closed without waiting for its end', async () => {
  const [res, server] = await unfinishedResponse('x'.repeat(200_000));
  discardResponse(res, new ManualTimerService());
  await closed(res);
  server.close();
});
