import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createDomainPolicy, createTargetPolicy } from '../policies/create-policies.js';
import { FakeTarget, type TargetScript } from '../testing/fake-target.js';
import {
  API_KEY,
  OTHER_API_KEY,
  chatBody,
  errorCode,
  keyDigest,
  send,
  startEntry,
  targetState,
  testConfig,
  until,
} from '../testing/harness.js';

test('a flood of one customer neither delays other customers nor exceeds its queue limit', async (t) => {
  // Guards against first-come scheduling of a flood and against an unbounded queue.
  const open: (() => void)[] = [];
  const script: TargetScript = async (_req, res) => {
    await new Promise<void>((resolve) => {
      open.push(resolve);
    });
    res.writeHead(200, { 'content-type': 'application/json' }).end('{}');
  };
  const target = await new FakeTarget(script).listen();
  const config = testConfig({
    classes: { standard: { priority: 10, queue_per_customer: 2 } },
    customers: [
      { id: 'c1', key: keyDigest(API_KEY), class: 'standard' },
      { id: 'c2', key: keyDigest(OTHER_API_KEY), class: 'standard' },
    ],
  });
  const entry = await startEntry({
    config,
    targets: [targetState('t1', target, { concurrency: 1 })],
  });
  t.after(async () => {
    target.crash();
    await entry.stop();
  });
  const { address } = entry.daemon.callers;
  const queued = (): number => entry.control.syncs.at(-1)?.load.queued ?? 0;
  const call = (text: string, apiKey = API_KEY): ReturnType<typeof send> =>
    send(address, { body: chatBody(text, false), apiKey });
  const flood = [call('first')];
  await until(() => open.length === 1);
  flood.push(call('second'), call('third'));
  await until(() => queued() === 2);
  assert.equal(errorCode((await call('fourth')).body), 3102);
  const quiet = call('quiet', OTHER_API_KEY);
  await until(() => queued() === 3);
  await [1, 2, 3].reduce(async (before, running) => {
    await before;
    open[running - 1]?.();
    await until(() => open.length === running + 1);
  }, Promise.resolve());
  open[3]?.();
  assert.equal((await quiet).status, 200);
  assert.deepEqual(
    (await Promise.all(flood)).map(({ status }) => status),
    [200, 200, 200],
  );
  // A customer that was idle starts with the same usage as the queued one; then they alternate.
  const order = target.calls.map(({ body }) => /first|second|third|quiet/.exec(body)?.[0]);
  assert.deepEqual(order, ['first', 'second', 'quiet', 'third']);
});

test('a customer does not get its full rate limit at each entry', async (t) => {
  // Limits are divided by the number of entries in the customer's regions.
  const target = await new FakeTarget((_req, res) => {
    res.writeHead(200, { 'content-type': 'application/json' }).end('{}');
  }).listen();
  const limits = { requests_per_s: 4 };
  const entry = await startEntry({
    config: testConfig({
      customers: [{ id: 'c1', key: keyDigest(API_KEY), class: 'standard', limits }],
    }),
    targets: [targetState('t1', target)],
    view: { entriesPerRegion: { north: 1, west: 3 } },
  });
  t.after(async () => {
    target.crash();
    await entry.stop();
  });
  const responses = await Promise.all(
    [1, 2, 3].map(() => send(entry.daemon.callers.address, { body: chatBody('x', false) })),
  );
  assert.deepEqual(responses.map(({ status }) => status).sort(), [200, 429, 429]);
  assert.equal(target.calls.length, 1);
});

test("'default' selects the gateway's default policies and an unknown policy name is an error", () => {
  assert.equal(createTargetPolicy('default').name, 'bounded-affinity');
  assert.equal(createDomainPolicy('default').name, 'weighted-cost');
  assert.throws(() => createTargetPolicy('no-such'), /unknown routing-policy 'target:no-such'/);
});
