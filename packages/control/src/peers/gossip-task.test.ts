import assert from 'node:assert/strict';
import { test } from 'node:test';
import { buildSnapshot, mainPartSchema, type GossipParams } from '@marjoramcart/core';
import { ManualTimerService, silentLogger } from '@marjoramcart/runtime';
import { ControlState } from '../control-state.js';
import { entryRef } from '../testing/daemon-fixture.js';
import { GossipTask, type GossipTaskOptions } from './gossip-task.js';

test('a daemon without a list of VMs sends no suspects to its seeds', () => {
  // Guards against digests in the region of a seed that the customer's data may not enter.
  const state = new ControlState({ ...entryRef('e1'), role: 'control' }, new ManualTimerService());
  const operations = [{ method: 'GET', path: '/', repeatable: true }];
  const main = mainPartSchema.parse({
    format: 1,
    regions: { north: { failure_domains: ['north-1'] } },
    services: { booking: { kind: 'plain', regions: ['north'], operations } },
    classes: {},
  });
  const customers = [{ id: 'c1', key: '0'.repeat(32), class: 'standard' }];
  state.applySnapshot(buildSnapshot(1, main, customers), 'own-domain');
  const request = { digest: 'd', customer: 'c1', service: 'booking' };
  state.suspects.merge([{ ...request, deaths: 2, refused: true, expiresInMs: 600_000 }], 0);
  const sent: [string, number][] = [];
  const gossip = new GossipTask({
    state,
    rpc: {
      call: (address: string, _method: string, { suspects }: GossipParams) => {
        sent.push([address, suspects.length]);
        return Promise.resolve({ kind: 'error', error: { kind: 'timeout', timeoutMs: 1 } });
      },
      close: () => undefined,
    },
    seeds: ['10.0.9.9:1'],
    seed: 1,
    metrics: { gossip: { inc: () => undefined } },
    log: silentLogger(),
  } as unknown as GossipTaskOptions);
  gossip.round();
  assert.deepEqual([...new Set(sent.map(String))], ['10.0.9.9:1,0']);
});
