import assert from 'node:assert/strict';
import http from 'node:http';
import { test, type TestContext } from 'node:test';
import { SuspectTable, type DomainSummary } from '@marjoramcart/core';
import { AUTH_HEADER, MessageAuthenticator, RpcClient, SENDER_HEADER } from '@marjoramcart/runtime';
import { requestDigest } from '../callers/call-parser.js';
import { FLEET_SECRET } from '../testing/fake-control.js';
import { FakeTarget, STREAM_HEADERS, doneEvent, streamEvents } from '../testing/fake-target.js';
import {
  chatBody,
  errorCode,
  keyOf,
  send,
  startEntry,
  targetState,
  testConfig,
  until,
  type Harness,
} from '../testing/harness.js';
import { FORWARD_HEADER, FORWARD_PATH, bodyHash, encodeEnvelope } from './forward-envelope.js';

const STREAM = streamEvents(1, ['a', 'b']) + doneEvent(3);

function summaryOf(harness: Harness, ready: number): DomainSummary {
  const { self } = harness.daemon.state;
  return {
    failureDomain: self.failureDomain,
    region: self.region,
    version: 1,
    ageMs: 0,
    services: ['chat', 'booking'].map((service) => ({
      service,
      readyTargets: ready,
      waitMs: 1,
      freeSlots: 8,
    })),
    entries: [
      {
        bootId: self.bootId,
        peerAddress: harness.daemon.peers.address,
        callerAddress: harness.daemon.callers.address,
        draining: false,
        openRequests: 0,
      },
    ],
  };
}

/** Makes the entries know each other as entries of other failure domains. */
async function introduce(to: Harness, known: readonly DomainSummary[]): Promise<void> {
  to.control.setView({ summaries: known });
  const { version } = to.control.view;
  await until(() => to.daemon.state.view.version === version);
}

interface Pair {
  readonly home: Harness;
  readonly away: Harness;
  readonly target: FakeTarget;
}

/** An entry without targets in north-1 and one with a target in west-1. */
async function startPair(
  t: TestContext,
  config = testConfig(),
  targetCrashes = false,
): Promise<Pair> {
  const target = await new FakeTarget((req, res, self) => {
    if (targetCrashes) self.crash();
    else if (req.url.startsWith('/v1/')) res.writeHead(200, STREAM_HEADERS).end(STREAM);
    else res.writeHead(201, { 'content-type': 'application/json' }).end('{"slot":7}');
  }).listen();
  const home = await startEntry({ config });
  const away = await startEntry({
    config,
    region: 'west',
    failureDomain: 'west-1',
    targets: [targetState('t1', target)],
  });
  t.after(async () => {
    target.crash();
    await Promise.all([home.stop(), away.stop()]);
  });
  await introduce(home, [summaryOf(away, 1)]);
  return { home, away, target };
}

function sendForward(
  address: string,
  change: Readonly<Record<string, unknown>>,
  secret = FLEET_SECRET,
): Promise<{ status: number; code: number | undefined }> {
  const [host, port] = address.split(':');
  const body = Buffer.from('{}');
  const header = encodeEnvelope({
    id: 'r1',
    reason: 'load',
    customer: 'c1',
    service: 'chat',
    method: 'POST',
    path: '/v1/chat/completions',
    stream: true,
    repeatable: true,
    promptTokens: 1,
    maxTokens: 1,
    deadlineMs: 1000,
    digest: 'd',
    bodyHash: bodyHash(body),
    revision: 1,
    visited: [{ bootId: 'other', failureDomain: 'north-2', region: 'north' }],
    ...change,
  });
  const auth = new MessageAuthenticator(secret, () => Date.now());
  return new Promise((resolve, reject) => {
    const req = http.request(
      {
        host,
        port,
        path: FORWARD_PATH,
        method: 'POST',
        agent: false,
        headers: {
          [FORWARD_HEADER]: header,
          [SENDER_HEADER]: 'other',
          [AUTH_HEADER]: auth.sign({ path: FORWARD_PATH, sender: 'other', content: header }),
          'content-length': body.length,
        },
      },
      (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('end', () => {
          const code = errorCode(Buffer.concat(chunks).toString('utf8'));
          resolve({ status: res.statusCode ?? 0, code });
        });
      },
    );
    req.on('error', reject);
    req.end(body);
  });
}

test('a call without a target at home is relayed from another failure domain', async (t) => {
  const { home, target } = await startPair(t);
  const answer = await send(home.daemon.callers.address, {
    body: chatBody('x'),
    headers: { 'marjoramcart-deadline-ms': '5000' },
  });
  assert.equal(answer.body, STREAM);
  assert.ok(answer.complete);
  // Guards against a hop that grants the call more time than its caller did.
  assert.ok(Number(target.calls[0]?.headers['marjoramcart-deadline-ms']) < 5000);
  // Guards against an answer that names the entry's own region as the place that ran the call.
  const booking = await send(home.daemon.callers.address, {
    method: 'GET',
    path: '/svc/booking/slots',
  });
  [answer, booking].forEach(({ headers }) => {
    assert.equal(headers['marjoramcart-region'], 'west');
    assert.equal(headers['marjoramcart-target'], 't1');
    assert.equal(headers['marjoramcart-entry'], home.daemon.bootId);
  });
});

test('a non-repeatable call is handed over once and its outcome stays with the owner', async (t) => {
  const { home, target } = await startPair(t);
  const request = {
    path: '/svc/booking/slots',
    body: { crane: 1 },
    headers: { 'idempotency-key': keyOf(home.daemon, 'nonce-0001') },
  };
  const first = await send(home.daemon.callers.address, request);
  assert.equal(first.status, 201);
  assert.equal(first.headers['marjoramcart-run'], 'ran');
  assert.equal((await send(home.daemon.callers.address, request)).body, '{"slot":7}');
  assert.equal(target.calls.length, 1);
});

test('a key of another entry is forwarded to its owner; without the owner it is unknown', async (t) => {
  // Guards against a second dispatcher of the same key.
  const { home, away, target } = await startPair(t);
  const request = (key: string): Parameters<typeof send>[1] => ({
    path: '/svc/booking/slots',
    body: { crane: 1 },
    headers: { 'idempotency-key': key },
  });
  const owned = await send(home.daemon.callers.address, request(keyOf(away.daemon, 'nonce-0001')));
  assert.equal(owned.status, 201);
  assert.equal(owned.headers['marjoramcart-run'], 'ran');
  const stranger = keyOf({ bootId: `${'b'.repeat(20)}-abc123` }, 'nonce-0002');
  const lost = await send(home.daemon.callers.address, request(stranger));
  assert.equal(errorCode(lost.body), 5201);
  assert.equal(target.calls.length, 1);
});

test('a process that was started later on an address does not speak for the one before it', async (t) => {
  // Guards against a `not_run` for a request that ran before its owner was restarted.
  const { home, away } = await startPair(t);
  const bootId = `${'b'.repeat(20)}-abc123`;
  const summary = summaryOf(away, 1);
  const entries = summary.entries.map((entry) => ({ ...entry, bootId }));
  await introduce(home, [{ ...summary, entries }]);
  const key = keyOf({ bootId }, 'nonce-0001');
  const answer = await send(home.daemon.callers.address, {
    path: '/svc/booking/slots',
    body: { crane: 1 },
    headers: { 'idempotency-key': key },
  });
  assert.equal(errorCode(answer.body), 5201);
  assert.equal(answer.headers['marjoramcart-run'], 'unknown');
  const { self } = home.daemon.state;
  const rpc = new RpcClient(new MessageAuthenticator(FLEET_SECRET, Date.now), self.bootId);
  const cancel = (to: string): ReturnType<typeof rpc.call<'key.cancel'>> =>
    rpc.call(
      away.daemon.peers.address,
      'key.cancel',
      { from: self, to, customer: 'c1', key },
      1000,
    );
  assert.deepEqual(await cancel(bootId), { kind: 'ok', value: { state: 'unknown' } });
  const own = await cancel(away.daemon.bootId);
  assert.deepEqual(own, { kind: 'ok', value: { state: 'cancelled' } });
  rpc.close();
});

test('requests do not circle between entries that send each other their work', async (t) => {
  // Guards against a loop when both sides' summaries promise targets that are gone.
  const { home, away } = await startPair(t);
  away.control.setView({ targets: [] });
  await introduce(away, [summaryOf(home, 1)]);
  const answer = await send(home.daemon.callers.address, { body: chatBody('x') });
  assert.equal(answer.status, 503);
  assert.equal(answer.headers['marjoramcart-run'], 'not_run');
});

test('a forward that is forged, comes back or leaves the allowed regions is refused', async (t) => {
  const { away, target } = await startPair(t);
  const { address } = away.daemon.peers;
  const { self } = away.daemon.state;
  assert.equal((await sendForward(address, {}, 'a secret of somebody else')).code, 6101);
  const back = { bootId: self.bootId, failureDomain: 'west-1', region: 'west' };
  assert.equal((await sendForward(address, { visited: [back] })).code, 4401);
  // c2 may only be handled in the west, so a request that passed the north is refused.
  assert.equal((await sendForward(address, { customer: 'c2' })).code, 2201);
  assert.equal((await sendForward(address, { bodyHash: 'other' })).code, 1102);
  assert.equal(target.calls.length, 0);
});

test('data of a customer bound to its region is never forwarded out of it', async (t) => {
  const base = testConfig() as { customers: { id: string }[] };
  const customers = base.customers.map((c) => (c.id === 'c1' ? { ...c, regions: ['north'] } : c));
  const { home, target } = await startPair(t, { ...base, customers });
  const answer = await send(home.daemon.callers.address, { body: chatBody('x') });
  assert.equal(errorCode(answer.body), 4102);
  assert.equal(target.calls.length, 0);
});

test('a suspect that another failure domain refuses is not tried at home', async (t) => {
  // Guards against a third lost target while the refusal has not been gossiped yet.
  const { home, away } = await startPair(t);
  const body = chatBody('killer');
  const elsewhere = new SuspectTable();
  const digest = requestDigest('c1', 'chat', Buffer.from(JSON.stringify(body)));
  elsewhere.onDeath({ digest, customer: 'c1', service: 'chat' }, 0);
  elsewhere.onDeath({ digest, customer: 'c1', service: 'chat' }, 0);
  away.control.setView({ suspects: elsewhere.localRecords(0) });
  const { version } = away.control.view;
  await until(() => away.daemon.state.view.version === version);
  const answer = await send(home.daemon.callers.address, { body });
  assert.equal(errorCode(answer.body), 4201);
  const metrics = await home.metrics.text();
  assert.match(metrics, /marjoramcart_attempts_total 1\n/);
});

test('a target that dies of a forwarded call counts as one death at the entry that forwarded it', async (t) => {
  // Guards against the refusal of a call that met one dead target, such as any call that ran in a
  // region as its targets were lost: the other entry's report and its answer tell the same death.
  const { home, away } = await startPair(t, testConfig(), true);
  await introduce(away, [summaryOf(home, 0)]);
  const body = chatBody('unlucky');
  const lost = await send(home.daemon.callers.address, { body });
  assert.equal(errorCode(lost.body), 4301);
  const healthy = await new FakeTarget((_req, res) => {
    res.writeHead(200, STREAM_HEADERS).end(STREAM);
  }).listen();
  t.after(() => healthy.crash());
  home.control.setView({ targets: [targetState('t2', healthy)] });
  const { version } = home.control.view;
  await until(() => home.daemon.state.view.version === version);
  const answer = await send(home.daemon.callers.address, { body });
  assert.equal(answer.body, STREAM);
});
