import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SuspectTable, type DomainView } from '@marjoramcart/core';
import type { Call } from '../request/call.js';
import type { EntryState } from '../state/entry-state.js';
import { SuspectBroadcast, type SuspectBroadcastDeps } from './suspect-broadcast.js';

const self = { bootId: 'a', role: 'entry', peerAddress: '10.0.0.1:1' };
const view = {
  processes: [
    { process: self },
    { process: { ...self, bootId: 'b', peerAddress: '10.0.0.2:1' } },
    { process: { ...self, bootId: 'c', role: 'control', peerAddress: '10.0.0.3:1' } },
  ],
  summaries: [
    { region: 'west', entries: [{ peerAddress: '10.0.1.1:1' }] },
    { region: 'south', entries: [{ peerAddress: '10.0.2.1:1' }] },
  ],
} as unknown as DomainView;

test('a crashing request is reported to all entries in the allowed regions and to no other', async () => {
  // Guards against a caller that crashes a target at each entry it tries, and against a digest of
  // customer data in a region that this data may not enter.
  const suspects = new SuspectTable();
  const service = { regions: ['north', 'west', 'south'] };
  const customer = { id: 'c1', regions: ['north', 'west'] };
  const customersById = new Map([['c1', customer]]);
  const config = { regions: {}, services: { s: service }, customersById };
  // The customer of the call is that of an older configuration.
  const call = {
    digest: 'd1',
    customer: { ...customer, regions: service.regions },
    service: 's',
    config: service,
  } as unknown as Call;
  suspects.onDeath({ digest: 'd1', customer: 'c1', service: 's' }, 0);
  suspects.onDeath({ digest: 'other', customer: 'c1', service: 's' }, 0);
  const reports: [string, string[]][] = [];
  const broadcast = new SuspectBroadcast({
    self,
    state: { config, view } as unknown as EntryState,
    suspects,
    timers: { now: () => 0 },
    rpc: {
      call: (address: string, _method: string, params: { records: { digest: string }[] }) => {
        reports.push([address, params.records.map(({ digest }) => digest)]);
        return Promise.resolve({ kind: 'error', error: { kind: 'timeout', timeoutMs: 500 } });
      },
    },
  } as unknown as SuspectBroadcastDeps);
  await broadcast.announce(call);
  assert.deepEqual(reports, [
    ['10.0.0.2:1', ['d1']],
    ['10.0.1.1:1', ['d1']],
  ]);
});
