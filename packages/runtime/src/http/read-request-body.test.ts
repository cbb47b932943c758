import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import { ManualTimerService } from '../timers/manual-timer-service.js';
import { readBody } from './read-body.js';
import { RequestBodyTiming, readRequestBody } from './read-request-body.js';

const { TimeoutMs, RateGraceMs } = RequestBodyTiming;

// Guards against a refusal of an ordinary body as too slow, though the rest of it arrived while the process
// was paused.
[2 * RateGraceMs, TimeoutMs].forEach((pauseMs) => {
  test(`what arrived during a pause of ${pauseMs} ms is read before a body is too slow`, async () => {
    const timers = new ManualTimerService();
    const req = new PassThrough() as unknown as IncomingMessage & PassThrough;
    req.headers = { 'content-length': '20' };
    const result = readRequestBody(req, 1000, timers);
    req.write('0123456789');
    timers.pause(pauseMs);
    req.end('0123456789');
    assert.equal((await result).kind, 'complete');
  });
});

// Guards against messages between processes that are refused though they arrived during a pause.
test('what arrived during a pause is read before an internal message is too slow', async (t) => {
  t.mock.timers.enable({ apis: ['setTimeout'] });
  const req = new PassThrough() as unknown as IncomingMessage & PassThrough;
  req.headers = { 'content-length': '20' };
  const result = readBody(req, { maxBytes: 1000, timeoutMs: 1000 });
  req.write('0123456789');
  t.mock.timers.tick(1000);
  req.end('0123456789');
  assert.equal((await result).kind, 'complete');
});

// Guards against bodies that are never given up.
test('a body of which nothing arrived during a pause is too slow', async () => {
  const timers = new ManualTimerService();
  const req = new PassThrough() as unknown as IncomingMessage & PassThrough;
  req.headers = { 'content-length': '20' };
  const result = readRequestBody(req, 1000, timers);
  req.write('0123456789');
  timers.pause(2 * RateGraceMs);
  assert.equal((await result).kind, 'too-slow');
});
