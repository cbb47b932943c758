import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import type { TargetState } from '@marjoramcart/core';
import {
  FakeTarget,
  STREAM_HEADERS,
  doneEvent,
  streamEvents,
  type TargetScript,
} from '../testing/fake-target.js';
import {
  chatBody,
  errorCode,
  keyOf,
  send,
  startEntry,
  targetState,
  until,
  type Harness,
} from '../testing/harness.js';

interface Setup {
  readonly entry: Harness;
  readonly address: string;
  readonly targets: readonly FakeTarget[];
}

/** Starts an entry with one target per script; the first target reports the lowest load. */
async function setup(
  t: TestContext,
  scripts: readonly TargetScript[],
  change: Partial<TargetState> = {},
): Promise<Setup> {
  const targets = await Promise.all(scripts.map((script) => new FakeTarget(script).listen()));
  const states = targets.map((target, index) =>
    targetState(`t${index + 1}`, target, { running: index, ...change }),
  );
  // The tests depend on the order of the targets, so they use a policy without affinity.
  const entry = await startEntry({ targets: states, targetPolicy: 'least-reported-load' });
  t.after(async () => {
    targets.forEach((target) => target.crash());
    await entry.stop();
  });
  return { entry, targets, address: entry.daemon.callers.address };
}

const completeStream: TargetScript = (_req, res) => {
  res.writeHead(200, STREAM_HEADERS);
  res.end(streamEvents(1, ['a', 'b']) + doneEvent(3));
};

const booked: TargetScript = (_req, res) => {
  res.writeHead(201, { 'content-type': 'application/json' }).end('{"slot":7}');
};

const breakConnection: TargetScript = (_req, res) => {
  res.socket?.resetAndDestroy();
};

function book(
  { entry, address }: Pick<Setup, 'entry' | 'address'>,
  nonce: string,
  headers: Readonly<Record<string, string>> = {},
): ReturnType<typeof send> {
  return send(address, {
    path: '/svc/booking/slots',
    body: { crane: 1 },
    headers: { 'idempotency-key': keyOf(entry.daemon, nonce), ...headers },
  });
}

test('a stream truncated before [DONE] ends with an error event and an incomplete HTTP message', async (t) => {
  // Guards against a truncated response that looks complete.
  const { address } = await setup(t, [
    (_req, res) => {
      res.writeHead(200, { 'content-type': 'text/event-stream' });
      res.end(`${streamEvents(1, ['a'])}id: 2\ndata: {"half`);
    },
  ]);
  const response = await send(address, { body: chatBody('x') });
  assert.ok(response.body.startsWith(streamEvents(1, ['a'])));
  assert.ok(!response.body.includes('half'));
  assert.equal(errorCode(response.body), 4302);
  assert.equal(response.complete, false);
});

test('a truncated JSON response is not relayed and the call is retried on another target', async (t) => {
  const { address } = await setup(t, [
    (_req, res) => {
      res.writeHead(200, { 'content-type': 'application/json', 'content-length': '100' });
      res.write('{"half":');
      res.socket?.end();
    },
    (_req, res) => {
      res.writeHead(200, { 'content-type': 'application/json' }).end('{"whole":1}');
    },
  ]);
  const response = await send(address, { body: chatBody('x', false) });
  assert.equal(response.body, '{"whole":1}');
  assert.equal(response.headers['marjoramcart-attempts'], '2');
});

test('a broken stream is resumed on the same target without lost or repeated tokens', async (t) => {
  // Guards against lost, repeated or regenerated tokens after a broken connection.
  const { address, targets } = await setup(t, [
    (req, res) => {
      if (req.method === 'GET') {
        res.writeHead(200, STREAM_HEADERS).end(streamEvents(3, ['c']) + doneEvent(4));
        return;
      }
      res.writeHead(200, STREAM_HEADERS);
      res.write(`${streamEvents(1, ['a', 'b'])}id: 3\nda`, () => res.socket?.resetAndDestroy());
    },
  ]);
  const response = await send(address, { body: chatBody('x') });
  assert.equal(response.body, streamEvents(1, ['a', 'b', 'c']) + doneEvent(4));
  assert.ok(response.complete);
  assert.equal(targets[0]?.calls[1]?.url, '/v1/streams/s1');
  assert.equal(targets[0]?.calls[1]?.headers['last-event-id'], '2');
});

test('a non-repeatable call is not sent again after its connection breaks', async (t) => {
  // Guards against a booking that is made and paid for twice.
  const s = await setup(t, [breakConnection, booked]);
  const first = await book(s, 'nonce-0001');
  assert.equal(first.headers['marjoramcart-run'], 'unknown');
  const again = await book(s, 'nonce-0001');
  assert.equal(errorCode(again.body), 5201);
  assert.equal(s.targets.flatMap(({ calls }) => calls).length, 1);
});

test('non-repeatable calls do not reuse connections; repeatable calls do', async (t) => {
  // Guards against a reused connection that the target closes while the request is being written.
  const s = await setup(t, [booked]);
  await book(s, 'nonce-0001');
  await book(s, 'nonce-0002');
  assert.equal(s.targets[0]?.connections, 2);
  await send(s.address, { method: 'GET', path: '/svc/booking/slots' });
  await send(s.address, { method: 'GET', path: '/svc/booking/slots' });
  assert.equal(s.targets[0]?.connections, 3);
});

test('a repeatable call is retried when the target closes a reused connection', async (t) => {
  const s = await setup(t, [
    (req, res, target) => {
      const stale = req.url === '/slots?stale' && target.calls.length === 2;
      if (stale) res.socket?.resetAndDestroy();
      else res.writeHead(200, { 'content-type': 'application/json' }).end('{}');
    },
  ]);
  await send(s.address, { method: 'GET', path: '/svc/booking/slots' });
  const response = await send(s.address, { method: 'GET', path: '/svc/booking/slots?stale' });
  assert.equal(response.status, 200);
  assert.equal(response.headers['marjoramcart-attempts'], '2');
});

test('a call whose connection is refused runs on another target, even if it is non-repeatable', async (t) => {
  const s = await setup(t, [booked, booked]);
  s.targets[0]?.crash();
  const response = await book(s, 'nonce-0001');
  assert.equal(response.status, 201);
  assert.equal(response.headers['marjoramcart-target'], 't2');
});

test('a call whose deadline passes in the queue never runs and its key is revoked', async (t) => {
  // Guards against a request that runs after not_run was reported to its caller.
  const gate = { open: (): void => undefined };
  const s = await setup(
    t,
    [
      async (req, res, target) => {
        if (target.calls.length === 1) {
          await new Promise<void>((resolve) => {
            gate.open = resolve;
          });
        }
        await booked(req, res, target);
      },
    ],
    { concurrency: 1 },
  );
  const first = book(s, 'nonce-0001');
  await until(() => s.targets[0]?.calls.length === 1);
  const late = await book(s, 'nonce-0002', { 'marjoramcart-deadline-ms': '60' });
  assert.equal(errorCode(late.body), 3104);
  assert.equal(late.headers['marjoramcart-run'], 'not_run');
  gate.open();
  assert.equal((await first).status, 201);
  assert.equal(errorCode((await book(s, 'nonce-0002')).body), 5105);
  assert.equal(s.targets[0]?.calls.length, 1);
});

test('retries with the same key get the response of the first call without a second run', async (t) => {
  const gate = { open: (): void => undefined };
  const s = await setup(t, [
    async (req, res, target) => {
      await new Promise<void>((resolve) => {
        gate.open = resolve;
      });
      await booked(req, res, target);
    },
  ]);
  const first = book(s, 'nonce-0001');
  await until(() => s.targets[0]?.calls.length === 1);
  const joined = book(s, 'nonce-0001');
  const otherBody = await send(s.address, {
    path: '/svc/booking/slots',
    body: { crane: 2 },
    headers: { 'idempotency-key': keyOf(s.entry.daemon, 'nonce-0001') },
  });
  assert.equal(errorCode(otherBody.body), 5104);
  const shortDeadline = await book(s, 'nonce-0001', { 'marjoramcart-deadline-ms': '40' });
  assert.equal(errorCode(shortDeadline.body), 5201);
  gate.open();
  const bodies = [await first, await joined, await book(s, 'nonce-0001')].map(({ body }) => body);
  assert.deepEqual(bodies, ['{"slot":7}', '{"slot":7}', '{"slot":7}']);
  assert.equal(s.targets[0]?.calls.length, 1);
});

test('a leaving target receives no new requests', async (t) => {
  const s = await setup(t, [booked, booked]);
  const [first, second] = s.targets as [FakeTarget, FakeTarget];
  s.entry.control.setView({
    targets: [targetState('t1', first, { leaving: true }), targetState('t2', second)],
  });
  const { version } = s.entry.control.view;
  await until(() => s.entry.daemon.state.view.version === version);
  assert.equal((await book(s, 'nonce-0001')).headers['marjoramcart-target'], 't2');
  assert.equal(first.calls.length, 0);
});

test('a stream is cancelled at the engine when its caller disconnects', async (t) => {
  // Guards against engines that generate tokens for disconnected callers.
  const s = await setup(t, [
    (req, res) => {
      if (req.method === 'DELETE') res.writeHead(204).end();
      else res.writeHead(200, STREAM_HEADERS).write(streamEvents(1, ['a']));
    },
  ]);
  const disconnect = new AbortController();
  const response = send(s.address, { body: chatBody('x'), signal: disconnect.signal }).catch(
    () => undefined,
  );
  await until(() => s.targets[0]?.calls.length === 1);
  disconnect.abort();
  await response;
  await until(() => s.targets[0]?.calls.some(({ method }) => method === 'DELETE') === true);
  assert.equal(s.targets[0]?.calls[1]?.url, '/v1/streams/s1');
});

test('a request that crashes targets is refused after two crashes and other requests complete', async (t) => {
  // Guards against one request that takes down a whole service.
  const started = { count: 0 };
  const targets: FakeTarget[] = [];
  const script: TargetScript = async (req, res, target) => {
    if (req.body.includes('killer')) {
      if (started.count < 2) await until(() => started.count >= 2);
      target.crash();
      return;
    }
    started.count += 1;
    if (target === targets[0]) return;
    await completeStream(req, res, target);
  };
  const s = await setup(t, [script, script, script, script]);
  targets.push(...s.targets);
  const [first] = s.targets as [FakeTarget];
  // All three run on the first target.
  s.entry.control.setView({
    targets: s.targets.map((target, index) =>
      targetState(`t${index + 1}`, target, { running: index * 100, sequence: 1 }),
    ),
  });
  const { version } = s.entry.control.view;
  await until(() => s.entry.daemon.state.view.version === version);
  const otherRequests = ['a', 'b'].map((text) => send(s.address, { body: chatBody(text) }));
  await until(() => first.calls.length === 2);
  const crashing = await send(s.address, { body: chatBody('killer') });
  assert.equal(errorCode(crashing.body), 4201);
  const responses = await Promise.all(otherRequests);
  assert.deepEqual(
    responses.map(({ body }) => body),
    [1, 2].map(() => streamEvents(1, ['a', 'b']) + doneEvent(3)),
  );
  const again = await send(s.address, { body: chatBody('killer') });
  assert.equal(errorCode(again.body), 4201);
  const crashedTargets = s.targets.filter(({ calls }) =>
    calls.some(({ body }) => body.includes('killer')),
  );
  assert.equal(crashedTargets.length, 2);
});

test('a quickly restarted target counts as crashed; a broken connection to a live target does not', async (t) => {
  // Guards against crashes hidden by a quick restart and against refusals after network failures.
  const restarted = await setup(t, [breakConnection, breakConnection, breakConnection], {
    sequence: 2000,
  });
  const crashing = await send(restarted.address, { body: chatBody('x') });
  assert.equal(errorCode(crashing.body), 4201);
  assert.equal(restarted.targets.flatMap(({ calls }) => calls).length, 2);
  const live = await setup(t, [breakConnection, breakConnection, breakConnection]);
  const broken = await send(live.address, { body: chatBody('x') });
  assert.equal(errorCode(broken.body), 4301);
  assert.equal(live.targets.flatMap(({ calls }) => calls).length, 3);
});
