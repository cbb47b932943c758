import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { GossipParams, ProcessRef } from '@marjoramcart/core';
import { ManualTimerService } from '@marjoramcart/runtime';
import { ControlState } from '../control-state.js';
import { GossipPacker } from './gossip-packing.js';

function control(vm: string): ProcessRef {
  const place = { region: 'north', failureDomain: 'n1', peerAddress: `${vm}:1` };
  return { bootId: vm, role: 'control', vm, ...place };
}

function daemon(vm: string) {
  const state = new ControlState(control(vm), new ManualTimerService());
  const message = (): GossipParams => ({
    from: state.self,
    revision: 1,
    vmListVersion: 0,
    heartbeats: state.members.heartbeats(),
    origins: [state.members.localUpdate(undefined)],
    summaries: [],
    suspects: [],
  });
  return { state, message, packing: new GossipPacker(state) };
}

test('short forms are sent only to a peer that knows the same daemons', () => {
  // Guards against heartbeats that are taken for those of other daemons.
  const [a, b] = [daemon('a'), daemon('b')];
  assert.ok(a.packing.pack(a.message(), 'b:1').heartbeats);
  a.packing.unpack(b.packing.pack(b.message(), 'a:1'));
  assert.ok(a.packing.pack(a.message(), 'b:1').heartbeats);
  a.state.members.merge([b.state.members.localUpdate(undefined)], 0);
  b.state.members.merge([a.state.members.localUpdate(undefined)], 0);
  a.packing.unpack(b.packing.pack(b.message(), 'a:1'));
  const packed = a.packing.pack(a.message(), 'b:1');
  assert.deepEqual([packed.heartbeats, packed.origins], [undefined, undefined]);
  assert.deepEqual(b.packing.unpack(packed).heartbeats, a.state.members.heartbeats());
  const third = { bootId: 'c', heartbeat: 1, revision: 1, process: control('c') };
  b.state.members.merge([third], 0);
  const late = b.packing.unpack(packed);
  assert.deepEqual([late.heartbeats, late.origins], [undefined, undefined]);
});

test('a daemon of an earlier release is sent forms with names', () => {
  const [a, b] = [daemon('a'), daemon('b')];
  a.packing.unpack(b.message());
  const packed = a.packing.pack(a.message(), 'b:1');
  assert.ok(packed.heartbeats && packed.origins && packed.summaries);
  assert.equal(packed.packedSummaries, undefined);
});
