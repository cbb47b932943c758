import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { GossipParams, ProcessRef } from '@marjoramcart/core';
import { ManualTimerService } from '@marjoramcart/runtime';
import { ControlState } from '../control-state.js';
import { GossipPacker } from './gossip-packer.js';

function control(vm: string): ProcessRef {
  const location = { region: 'north', failureDomain: 'n1', peerAddress: `${vm}:1` };
  return { bootId: vm, role: 'control', vm, ...location };
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
  return { state, message, packer: new GossipPacker(state) };
}

test('the compact encoding is used only for a peer that knows the same daemons', () => {
  // Guards against heartbeats that are attributed to other daemons.
  const [a, b] = [daemon('a'), daemon('b')];
  assert.ok(a.packer.pack(a.message(), 'b:1').heartbeats);
  a.packer.unpack(b.packer.pack(b.message(), 'a:1'));
  assert.ok(a.packer.pack(a.message(), 'b:1').heartbeats);
  a.state.members.merge([b.state.members.localUpdate(undefined)], 0);
  b.state.members.merge([a.state.members.localUpdate(undefined)], 0);
  a.packer.unpack(b.packer.pack(b.message(), 'a:1'));
  const packed = a.packer.pack(a.message(), 'b:1');
  assert.deepEqual([packed.heartbeats, packed.origins], [undefined, undefined]);
  assert.deepEqual(b.packer.unpack(packed).heartbeats, a.state.members.heartbeats());
  const third = { bootId: 'c', heartbeat: 1, revision: 1, process: control('c') };
  b.state.members.merge([third], 0);
  const afterThird = b.packer.unpack(packed);
  assert.deepEqual([afterThird.heartbeats, afterThird.origins], [undefined, undefined]);
});

test('a daemon of an earlier release is sent messages with names', () => {
  const [a, b] = [daemon('a'), daemon('b')];
  a.packer.unpack(b.message());
  const packed = a.packer.pack(a.message(), 'b:1');
  assert.ok(packed.heartbeats && packed.origins && packed.summaries);
  assert.equal(packed.packedSummaries, undefined);
});
