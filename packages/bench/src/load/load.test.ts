import assert from 'node:assert/strict';
import { once } from 'node:events';
import { Agent, createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { seededRandom } from '@marjoramcart/core';
import { arrivalTimes } from './arrivals.js';
import { summarizeLoad } from './load-report.js';
import { sendStreamedCall, type CallResult } from './streamed-call.js';

async function callServer(respond: (res: ServerResponse) => void): Promise<CallResult> {
  const server = createServer((req, res) => {
    req.resume();
    req.on('end', () => respond(res));
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const agent = new Agent();
  const result = await sendStreamedCall({
    entry: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    key: 'k',
    model: 'm',
    prompt: 'p',
    maxTokens: 2,
    deadlineMs: 5000,
    agent,
  });
  agent.destroy();
  server.close();
  return result;
}

test('a stream that is truncated or breaks off is not counted as complete', async () => {
  // Guards against truncated responses being counted as complete.
  const complete = await callServer((res) => {
    res.setHeader('marjoramcart-attempts', '2');
    res.end('id: 1\ndata: {"a":1}\n\nid: 2\ndata: {"a":2}\n\ndata: [DONE]\n\n');
  });
  assert.equal(complete.end, 'complete');
  assert.equal(complete.gapsMs.length, 1);
  assert.equal(complete.attempts, 2);
  const truncated = await callServer((res) => res.end('id: 1\ndata: {"a":1}\n\n'));
  assert.equal(truncated.end, 'aborted');
  const broken = await callServer((res) => {
    res.write('id: 1\ndata: {"a":1}\n\n', () => res.destroy());
  });
  assert.equal(broken.end, 'aborted');
  const rejected = await callServer((res) => res.writeHead(429).end('{}'));
  const report = summarizeLoad([complete, truncated, broken, rejected], {
    firstTokenMs: 5000,
    betweenTokensMs: 5000,
  });
  assert.deepEqual([report.complete, report.aborted, report.rejected], [1, 2, 1]);
  assert.equal(report.withinTarget, 0.25);
});

test('arrivals are reproducible for a seed and match the requested rate', () => {
  const times = arrivalTimes(50, 60_000, seededRandom(2));
  assert.deepEqual(arrivalTimes(50, 60_000, seededRandom(2)), times);
  assert.ok(Math.abs(times.length - 3000) < 200);
});
