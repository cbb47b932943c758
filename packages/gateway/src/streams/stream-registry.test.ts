import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualTimerService, silentLogger } from '@marjoramcart/runtime';
import type { Call } from '../exchange/call.js';
import type { StreamUpdate } from '../peers/stream-update.js';
import { StreamRegistry, type StreamRegistryDeps } from './stream-registry.js';

const SERVICE = 'chat';
const PEERS = ['10.0.0.2', '10.0.0.3'];

/** A registry of a gateway with two peers in its region, and what it sends to them. */
function createRegistry(
  state: Partial<StreamRegistryDeps['state']>,
  seed = 0,
): {
  readonly registry: StreamRegistry;
  readonly sent: StreamUpdate[];
} {
  const sent: StreamUpdate[] = [];
  const alive = PEERS.map((ip, index) => ({ node: ip, ip, region: 'north', bootAt: index }));
  const defaults = {
    mayMissTargets: false,
    onlyVersionWithin: () => undefined,
    needsEarlierTargets: () => false,
  };
  const deps = {
    settings: { node: 'vm-1', region: 'north' },
    state: { ...defaults, ...state },
    gossip: {
      table: {
        alive: () => alive,
        get: (node: string) => alive.find((peer) => peer.node === node),
      },
      sendStreamUpdate: (update: StreamUpdate) => sent.push(update),
    },
    readEarlier: () => Promise.resolve(undefined),
    timers: new ManualTimerService(),
    random: { next: () => seed },
    log: silentLogger(),
  } as unknown as StreamRegistryDeps;
  return { registry: new StreamRegistry(deps), sent };
}

/** A call that takes up the stream of the request `first`. */
function takeUp(changes: object = {}): Call {
  return {
    head: { id: 'second', resumes: 'first', resumeAfter: 4, deadlineMs: 8000, ...changes },
    service: SERVICE,
    route: { timeoutMs: 12_000 },
    facts: { kind: 'stream', deadlineAt: 8000 },
  } as unknown as Call;
}

function tell(registry: StreamRegistry, version: string | undefined, noted: boolean): void {
  registry.onUpdate({ kind: 'told', number: 1, version, noted }, PEERS[0] ?? '');
}

test('a single version decides without a question to other gateways', async () => {
  const { registry, sent } = createRegistry({ onlyVersionWithin: () => 'v1' });
  assert.deepEqual(await registry.scopeOf(takeUp()), { kind: 'only', version: 'v1' });
  assert.deepEqual(sent, []);
});

// Guards against a gateway that has not heard of the second version and takes the first one for the only one.
test('a gateway that may miss targets asks others before it concludes from those that it knows', async () => {
  const state = { onlyVersionWithin: () => 'v1', mayMissTargets: true };
  const { registry, sent } = createRegistry(state);
  const scope = registry.scopeOf(takeUp());
  assert.equal(sent.filter(({ kind }) => kind === 'ask').length, PEERS.length);
  tell(registry, 'v2', true);
  assert.deepEqual(await scope, { kind: 'only', version: 'v2' });

  const other = createRegistry(state);
  const concluded = other.registry.scopeOf(takeUp());
  PEERS.forEach(() => tell(other.registry, undefined, false));
  assert.deepEqual(await concluded, { kind: 'only', version: 'v1' });
});

// Guards against an answer that another gateway only concluded and that comes before that of one that knows.
test('a version that was noted outweighs one that was concluded', async () => {
  const { registry } = createRegistry({});
  const scope = registry.scopeOf(takeUp());
  tell(registry, 'v1', false);
  tell(registry, 'v2', true);
  assert.deepEqual(await scope, { kind: 'only', version: 'v2' });

  const other = createRegistry({});
  const contradicted = other.registry.scopeOf(takeUp());
  ['v1', 'v2'].forEach((version) => tell(other.registry, version, false));
  assert.deepEqual(await contradicted, { kind: 'none' });
});

// Guards against a stream that goes on at the version of another one, about which the process before had
// asked a gateway that was frozen since (ORDER).
test('an answer to a question of the process before is ignored', async () => {
  const first = createRegistry({}, 0.25);
  const second = createRegistry({}, 0.75);
  void first.registry.scopeOf(takeUp({ resumes: 'another' }));
  const scope = second.registry.scopeOf(takeUp());
  const [before, present] = [first, second].map(({ sent }) =>
    sent.flatMap((update) => (update.kind === 'ask' ? [update.number] : [])),
  );
  const answer = (number: number, version: string): void =>
    second.registry.onUpdate({ kind: 'told', number, version, noted: true }, PEERS[0] ?? '');
  answer(before?.[0] ?? 0, 'v1');
  answer(present?.[0] ?? 0, 'v2');
  assert.deepEqual(await scope, { kind: 'only', version: 'v2' });
});

// Guards against a stream that nobody can go on with since its gateway ends right after the first event.
test('a stream beside another version is told before its first event is passed on', () => {
  const { registry, sent } = createRegistry({});
  const begun = takeUp({ id: 'first', resumes: undefined, resumeAfter: undefined });
  registry.onDelivered(begun, { version: 'v1' });
  const row = { id: 'first', service: SERVICE, version: 'v1', ageMs: 0 };
  assert.deepEqual(
    sent,
    PEERS.map(() => ({ kind: 'begun', streams: [row] })),
  );
});

// Guards against a request that names another one without going on with its stream, and so makes the
// version of that stream unknown.
test('only a resumed stream is noted under the request that began it', async () => {
  const { registry } = createRegistry({});
  registry.onDelivered(takeUp({ id: 'first', resumes: undefined, resumeAfter: undefined }), {
    version: 'v1',
  });
  registry.onDelivered(takeUp({ id: 'third', resumeAfter: undefined }), { version: 'v2' });
  assert.deepEqual(await registry.scopeOf(takeUp()), { kind: 'only', version: 'v1' });
});

// Guards against a gateway that goes on at the version which it had to guess for a stream that it forwarded,
// although the gateway at the target has learned another one (ORDER).
test('a gateway that forwarded a stream is told the version once it is proved', async () => {
  const { registry, sent } = createRegistry({});
  const [forwardedBy = ''] = PEERS;
  const begun = {
    ...takeUp({ id: 'first', resumes: undefined, resumeAfter: undefined }),
    forwardedBy,
  };
  const state = { version: undefined as string | undefined };
  registry.onDelivered(begun, {
    version: 'v1',
    check: () =>
      state.version === undefined
        ? { kind: 'pending' }
        : { kind: 'settled', version: state.version },
  });
  assert.equal(sent.length, 0);
  state.version = 'v2';
  assert.deepEqual(await registry.scopeOf(takeUp()), { kind: 'only', version: 'v2' });
  const told = sent.flatMap((update) => (update.kind === 'begun' ? update.streams : []));
  assert.deepEqual([...new Set(told.map(({ version }) => version))], ['v2']);
  const forwarder = createRegistry({ onlyVersionWithin: () => 'v1' }).registry;
  const source = forwarder.forwardedSource(begun);
  assert.deepEqual([source.version, source.check?.()], ['v1', { kind: 'pending' }]);
  forwarder.onUpdate({ kind: 'begun', streams: told.slice(0, 1) }, '10.0.0.9');
  assert.deepEqual(source.check?.(), { kind: 'settled', version: 'v2' });
});
