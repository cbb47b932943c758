import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EntrySyncParams, EntrySyncResult, ProcessRef } from '@marjoramcart/core';
import { buildSnapshot, mainPartSchema, snapshotDelta } from '@marjoramcart/core';
import {
  ManualTimerService,
  silentLogger,
  type RpcClient,
  type RpcResult,
} from '@marjoramcart/runtime';
import { EntryState } from '../state/entry-state.js';
import { SyncTask } from './sync-task.js';

const self: ProcessRef = {
  bootId: 'b',
  role: 'entry',
  vm: 'v',
  region: 'north',
  failureDomain: 'north-1',
  peerAddress: '127.0.0.1:1',
};

function snapshotAt(revision: number): ReturnType<typeof buildSnapshot> {
  const main = mainPartSchema.parse({ format: 1, regions: {}, services: {}, classes: {} });
  return buildSnapshot(revision, main, []);
}

function setup(
  respond: (
    address: string,
    method: string,
    params: EntrySyncParams,
  ) => Promise<RpcResult<EntrySyncResult>>,
): {
  timers: ManualTimerService;
  state: EntryState;
  sync: SyncTask;
} {
  const timers = new ManualTimerService();
  const state = new EntryState(self, timers);
  const sync = new SyncTask({
    control: '127.0.0.1:2',
    state,
    rpc: { call: respond } as unknown as RpcClient,
    timers,
    log: silentLogger(),
    reports: {
      load: () => ({ openRequests: 0, queued: 0, draining: false }),
      takeObservations: () => [],
      suspects: () => [],
      onSuspects: () => undefined,
    },
  });
  return { timers, state, sync };
}

function responseAt(revision: number): RpcResult<EntrySyncResult> {
  const delta = snapshotDelta(snapshotAt(revision), {});
  return { kind: 'ok', value: { control: self, revision, delta } };
}

test('an older configuration revision never replaces a newer one', async () => {
  // Guards against a stale control daemon that reverts the configuration.
  const responses = [responseAt(5), responseAt(4)];
  const { state, sync } = setup(() => Promise.resolve(responses.shift() ?? responseAt(5)));
  await sync.sync();
  await sync.sync();
  assert.equal(state.revision, 5);
});

test('after a pause dispatch waits for a sync, but for at most one second', async () => {
  // Guards against requests that are dispatched with state from before the pause.
  const open: (() => void)[] = [];
  const { timers, sync } = setup(
    () =>
      new Promise((resolve) => {
        open.push(() => resolve(responseAt(1)));
      }),
  );
  const started = sync.start();
  open.shift()?.();
  await started;
  timers.pause(5000);
  const pending = sync.syncAfterPause;
  assert.ok(pending);
  timers.advance(1000);
  await pending;
  assert.equal(sync.syncAfterPause, undefined);
});

test('an entry that loses its control daemon keeps serving and reports the loss', async () => {
  const responses = [responseAt(1)];
  const { timers, state, sync } = setup(() =>
    Promise.resolve(
      responses.shift() ?? { kind: 'error', error: { kind: 'timeout', timeoutMs: 1000 } },
    ),
  );
  await sync.sync();
  timers.advance(4000);
  await sync.sync();
  assert.equal(state.controlLost, true);
  assert.equal(state.revision, 1);
  assert.ok(state.ready);
});

test('an entry syncs with another control daemon while the local one does not respond', async () => {
  // Guards against missed updates on leaving targets while the local control daemon is frozen.
  const local = { responds: true };
  const asked: [string, string | undefined, number][] = [];
  const own: ProcessRef = { ...self, role: 'control', bootId: 'b', peerAddress: '127.0.0.1:2' };
  const peer: ProcessRef = { ...self, role: 'control', bootId: 'c', peerAddress: '127.0.0.1:3' };
  const processes = [{ process: peer, heartbeat: 1, revision: 1 }];
  const view = { targets: [], summaries: [], suspects: [], isolated: false, entriesPerRegion: {} };
  const { timers, state, sync } = setup((address, _method, { viewOf, viewVersion }) => {
    asked.push([address, viewOf, viewVersion]);
    const isLocal = address === '127.0.0.1:2';
    if (isLocal && !local.responds) {
      return Promise.resolve({ kind: 'error', error: { kind: 'timeout', timeoutMs: 1000 } });
    }
    const version = isLocal ? 10 : 20;
    const control = isLocal ? own : peer;
    const value = { control, revision: 0, view: { ...view, version, processes } };
    return Promise.resolve({ kind: 'ok', value });
  });
  await sync.sync();
  local.responds = false;
  assert.equal(await sync.sync(), true);
  assert.equal(state.view.version, 20);
  await sync.sync();
  timers.advance(4000);
  assert.equal(state.controlLost, true);
  local.responds = true;
  await sync.sync();
  assert.equal(state.view.version, 20, 'the old state of a daemon that was frozen is not used');
  timers.advance(2000);
  await sync.sync();
  assert.equal(state.view.version, 10);
  assert.equal(state.controlLost, false);
  assert.deepEqual(asked, [
    ['127.0.0.1:2', undefined, 0],
    ['127.0.0.1:2', 'b', 10],
    ['127.0.0.1:3', 'b', 10],
    ['127.0.0.1:3', 'c', 20],
    ['127.0.0.1:2', 'c', 20],
    ['127.0.0.1:3', 'c', 20],
    ['127.0.0.1:2', 'c', 20],
  ]);
});

test('section hashes are sent only when a delta is needed, and one sync delivers a change', async () => {
  // Guards against sending the hashes of all sections in each of four syncs per second.
  const sent: EntrySyncParams[] = [];
  const current = { snapshot: snapshotAt(1) };
  const respond = (_address: string, _method: string, params: EntrySyncParams) => {
    sent.push(params);
    const { snapshot } = current;
    const delta =
      params.held && snapshot.revision > params.revision
        ? snapshotDelta(snapshot, params.held)
        : undefined;
    return Promise.resolve({
      kind: 'ok',
      value: { control: self, revision: snapshot.revision, ...(delta && { delta }) },
    } as const);
  };
  const { state, sync } = setup(respond);
  await sync.sync();
  await sync.sync();
  assert.equal(state.revision, 1);
  current.snapshot = snapshotAt(2);
  await sync.sync();
  assert.equal(state.revision, 2);
  state.witness(3);
  current.snapshot = snapshotAt(3);
  await sync.sync();
  assert.equal(state.revision, 3);
  assert.deepEqual(
    sent.map(({ held }) => held !== undefined),
    [true, false, false, true, true],
  );
});

test('view changes are applied only to the view version and control daemon they are based on', async () => {
  // Guards against a view that mixes the state of two control daemons.
  const items = { targets: [], processes: [], summaries: [], suspects: [] };
  const rest = { isolated: false, entriesPerRegion: { north: 1 } };
  const other = { ...self, bootId: 'other' };
  const changed = { ...items, isolated: true, entriesPerRegion: { north: 2 } };
  const values: EntrySyncResult[] = [
    { control: self, revision: 1, view: { version: 5, ...items, ...rest } },
    { control: other, revision: 1, changes: { from: 5, version: 6, ...changed } },
    { control: self, revision: 1, changes: { from: 4, version: 6, ...changed } },
    { control: self, revision: 1, changes: { from: 5, version: 6, ...changed } },
    { control: other, revision: 1, view: { version: 3, ...items, ...rest } },
  ];
  const sent: EntrySyncParams[] = [];
  const { state, sync } = setup((_address, _method, params) => {
    sent.push(params);
    return Promise.resolve({ kind: 'ok', value: values[sent.length - 1] as EntrySyncResult });
  });
  state.apply({ control: self, revision: 1, delta: snapshotDelta(snapshotAt(1), {}) });
  const versions: number[] = [];
  await values.reduce(async (before) => {
    await before;
    await sync.sync();
    versions.push(state.view.version);
  }, Promise.resolve());
  assert.deepEqual(versions, [5, 5, 5, 6, 3]);
  assert.deepEqual(
    sent.map(({ viewOf }) => viewOf),
    [undefined, 'b', 'b', 'b', 'b'],
  );
  assert.equal(state.viewOf, 'other');
});
