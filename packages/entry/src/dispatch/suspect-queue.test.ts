import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualTimerService } from '@marjoramcart/runtime';
import type { DomainView, ProcessRecord, ProcessRef, TargetState } from '@marjoramcart/core';
import type { EntryState } from '../state/entry-state.js';
import { TargetTable } from '../routing/target-table.js';
import { SuspectOwners } from './suspect-owners.js';
import { SuspectQueue } from './suspect-queue.js';

const SERVICE = 'chat';
const DEADLINE_MS = 1000;

function entry(bootId: string): ProcessRef {
  return {
    bootId,
    role: 'entry',
    vm: `vm-${bootId}`,
    region: 'north',
    failureDomain: 'north-a',
    peerAddress: `${bootId}:1`,
  };
}

function target(vm: string, healthy = true): TargetState {
  return { vm, healthy, leaving: false, services: [SERVICE], running: 0 } as unknown as TargetState;
}

function viewOf(targets: readonly TargetState[], entries: readonly string[]): DomainView {
  const processes = entries.map((bootId) => ({ process: entry(bootId) }) as ProcessRecord);
  return { targets, processes, summaries: [], isolated: false } as unknown as DomainView;
}

function queueOf(bootId: string, view: DomainView, timers: ManualTimerService): SuspectQueue {
  const state = { self: entry(bootId), view, viewAgeMs: 0 } as unknown as EntryState;
  const targets = new TargetTable(state, () => timers.now());
  return new SuspectQueue(targets, timers, new SuspectOwners(state));
}

async function acquireAll(
  entries: readonly string[],
  targets: readonly TargetState[],
): Promise<(string | undefined)[]> {
  const timers = new ManualTimerService();
  const view = viewOf(targets, entries);
  const { signal } = new AbortController();
  return Promise.all(
    entries.map((bootId) =>
      queueOf(bootId, view, timers).acquire(SERVICE, new Set(), DEADLINE_MS, signal),
    ),
  );
}

// Guards against refusing a sound request that ran beside one which crashes its targets: two entries ran
// a suspect each on one target.
test('two entries run their suspects on different targets', async () => {
  const targets = ['vm-1', 'vm-2', 'vm-3', 'vm-4'].map((vm) => target(vm));
  const acquired = await acquireAll(['a', 'b'], targets);
  assert.equal(new Set(acquired).size, 2);
  assert.ok(!acquired.includes(undefined));
});

test('targets that are down do not change the division', async () => {
  const targets = ['vm-1', 'vm-2', 'vm-3', 'vm-4'].map((vm, n) => target(vm, n !== 0));
  const acquired = await acquireAll(['a', 'b'], targets);
  assert.equal(new Set(acquired).size, 2);
});

test('an entry whose targets are all down runs its suspects on another one', async () => {
  const targets = [target('vm-1', false), target('vm-2')];
  assert.deepEqual(await acquireAll(['a', 'b'], targets), ['vm-2', 'vm-2']);
});
