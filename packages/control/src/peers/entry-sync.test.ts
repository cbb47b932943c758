import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualTimerService } from '@marjoramcart/runtime';
import { ControlState } from '../control-state.js';
import { entryRecord, newEntryParams, targetRecord } from '../testing/domain.js';
import { handleEntrySyncRequest } from './entry-sync.js';

const OTHER_DOMAIN = { region: 'west', failureDomain: 'west-1' };

function newState(timers: ManualTimerService): ControlState {
  const state = new ControlState(
    {
      bootId: 'control-1',
      role: 'control',
      vm: 'e1',
      region: 'north',
      failureDomain: 'north-1',
      peerAddress: '127.0.0.1:1',
    },
    timers,
  );
  const vms = [
    targetRecord('t1', '127.0.0.1:2'),
    entryRecord('e1', '127.0.0.1:1'),
    { ...entryRecord('e2', '127.0.0.1:3'), ...OTHER_DOMAIN },
  ];
  state.applyVmList({ version: 1, vms }, 'platform');
  return state;
}

test('a daemon that has just started replaces no view before it knows targets and domains', () => {
  // Guards against calls refused for want of a target each time a control daemon is replaced.
  const timers = new ManualTimerService();
  const state = newState(timers);
  const held = { ...newEntryParams('e1'), viewVersion: 5 };
  assert.equal(handleEntrySyncRequest(state, held).view, undefined);
  assert.ok(handleEntrySyncRequest(state, newEntryParams('e3')).view);
  state.targets.recordFailure('t1', timers.now());
  assert.equal(handleEntrySyncRequest(state, held).view, undefined);
  timers.advance(2500);
  assert.ok(handleEntrySyncRequest(state, held).view);
});

test('changes go only to an entry that holds a view of this process', () => {
  // Guards against a view of an entry that is put together from those of two control daemons.
  const timers = new ManualTimerService();
  const state = newState(timers);
  timers.advance(2500);
  const first = handleEntrySyncRequest(state, newEntryParams('e1'));
  assert.ok(first.view && !first.changes);
  const { version } = first.view;
  const held = { ...newEntryParams('e1'), viewVersion: version, viewOf: state.self.bootId };
  state.targets.recordFailure('t1', timers.now());
  timers.advance(200);
  const second = handleEntrySyncRequest(state, held);
  assert.equal(second.view, undefined);
  assert.equal(second.changes?.from, version);
  const newest = second.changes.version;
  const upToDate = handleEntrySyncRequest(state, { ...held, viewVersion: newest });
  assert.ok(!upToDate.view && !upToDate.changes);
  const ofOther = handleEntrySyncRequest(state, { ...held, viewVersion: newest, viewOf: 'control-0' });
  assert.ok(ofOther.view && !ofOther.changes);
});

test('the list of live control daemons is a new one only when it differs', () => {
  // Guards against duties that are computed for all targets again each second, or never again.
  const timers = new ManualTimerService();
  const state = newState(timers);
  const before = state.liveControlIds();
  timers.advance(1000);
  assert.equal(state.liveControlIds(), before);
  const process = { ...state.self, bootId: 'control-2', vm: 'e3', peerAddress: '127.0.0.1:4' };
  state.members.merge([{ bootId: 'control-2', heartbeat: 1, revision: 0, process }], timers.now());
  assert.deepEqual(state.liveControlIds(), ['control-1', 'control-2']);
});
