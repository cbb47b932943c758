import assert from 'node:assert/strict';
import { test } from 'node:test';
import { snapshotDelta, type DomainView, type TargetState } from '@marjoramcart/core';
import { ManualTimerService } from '@marjoramcart/runtime';
import { EntryState } from '../state/entry-state.js';
import { testSnapshot } from '../testing/fake-control.js';
import { testConfig, targetState } from '../testing/harness.js';
import { LinkBudgets } from './link-budgets.js';
import { TargetTable } from './target-table.js';

const MBIT_PER_S = 100;
const BYTES_PER_S = (MBIT_PER_S * 1_000_000) / 8;

interface Setup {
  readonly timers: ManualTimerService;
  readonly state: EntryState;
  readonly apply: (change: Partial<DomainView>) => void;
}

function setup(): Setup {
  const timers = new ManualTimerService();
  const self = {
    bootId: 'b',
    role: 'entry',
    vm: 'vm-1',
    region: 'north',
    failureDomain: 'north-1',
    peerAddress: '127.0.0.1:1',
  } as const;
  const state = new EntryState(self, timers);
  const links = { west: { one_way: '80ms', mbit_per_s: MBIT_PER_S } };
  const config = testConfig({
    regions: {
      north: { failure_domains: ['north-1'], links },
      west: { failure_domains: ['west-1'] },
    },
    limits: { link_share_percent: 40 },
  });
  const snapshot = testSnapshot(1, config);
  const apply = (change: Partial<DomainView>): void => {
    const { view } = state;
    state.apply({
      control: self,
      revision: 1,
      ...(state.revision === 0 && { delta: snapshotDelta(snapshot, {}) }),
      view: { ...view, ...change, version: view.version + 1 },
    });
  };
  apply({ entriesPerRegion: { north: 2, west: 1 } });
  return { timers, state, apply };
}

function report(change: Partial<TargetState>): TargetState {
  return targetState('t1', { address: '127.0.0.1:2' }, change);
}

test('entries share the configured budget of a link and a change of the share does not refill it', () => {
  // Guards against entries that together saturate a slow link and against a refill on each change.
  const { timers, state, apply } = setup();
  const links = new LinkBudgets(state, () => timers.now());
  const share = (BYTES_PER_S * 0.4) / 2;
  assert.equal(links.available('north'), undefined);
  assert.equal(links.available('west'), share);
  links.spend('west', share);
  assert.equal(links.available('west'), 0);
  apply({ entriesPerRegion: { north: 1, west: 1 } });
  assert.equal(links.available('west'), 0);
  timers.advance(500);
  assert.equal(links.available('west'), share);
});

test('requests sent or ended after the report of a target are counted once', () => {
  // Guards against requests counted both by the report and by the correction, and against a delayed
  // report that hides requests sent after it.
  const { timers, state, apply } = setup();
  const targets = new TargetTable(state, () => timers.now());
  const corrections = (): unknown => {
    const [first] = targets.candidates('chat', new Set());
    return first && [first.sentSinceReport, first.endedSinceReport ?? 0, first.inFlight];
  };
  timers.advance(1000);
  apply({ targets: [report({ reportAgeMs: 100 })] });
  targets.begin('t1');
  timers.advance(200);
  targets.begin('t1');
  targets.end('t1', false);
  assert.deepEqual(corrections(), [2, 1, 1]);
  timers.advance(100);
  // A newer report, taken 150 ms before now: between the two requests.
  apply({ targets: [report({ reportAgeMs: 150, sequence: 2, running: 1 })] });
  assert.deepEqual(corrections(), [1, 1, 1]);
  timers.advance(100);
  apply({ targets: [report({ reportAgeMs: 50, sequence: 3, running: 1 })] });
  assert.deepEqual(corrections(), [0, 0, 1]);
});

test('failing targets are excluded while another failure domain is reachable, and kept when isolated', () => {
  // Guards against retrying removed targets with each call when a region lost them all, and against
  // an isolated entry that excludes all of its targets.
  const { timers, state, apply } = setup();
  const targets = new TargetTable(state, () => timers.now());
  const summary = { failureDomain: 'west-1', region: 'west', version: 1, ageMs: 0 };
  apply({ targets: [report({})], summaries: [{ ...summary, services: [], entries: [] }] });
  Array.from({ length: 6 }).forEach(() => {
    targets.begin('t1');
    targets.end('t1', true);
  });
  const candidateCount = (): number => targets.candidates('chat', new Set()).length;
  assert.equal(candidateCount(), 0);
  apply({ summaries: [] });
  assert.equal(candidateCount(), 1);
});
