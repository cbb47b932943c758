import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TargetEntry } from '../state/target-entry.js';
import type { PolledReport } from './report-poller.js';
import { StartConfirmer } from './start-confirmer.js';

const ENTRY = { id: 'i-1', record: { id: 'i-1', bornAt: 5 } } as TargetEntry;

/** A confirmer whose target answers with a report. */
function confirmerOf(polled: PolledReport, { listed = ENTRY, tellsStart = true } = {}) {
  const polls: string[] = [];
  const confirmer = new StartConfirmer({
    state: { target: () => listed, tellsStart: () => tellsStart },
    poller: {
      poll: ({ id }) => {
        polls.push(id);
        return Promise.resolve(polled);
      },
    },
  });
  return { confirmer, polls };
}

function reportOf(bornAt: number): PolledReport {
  return { kind: 'report', report: { requests: 0, bornAt } };
}

// Guards against a stream that goes on at a start of another version, which no connection told of (ORDER).
test('only a target that tells the known start time is confirmed', async () => {
  const confirm = (polled: PolledReport, listed?: TargetEntry): Promise<string> =>
    confirmerOf(polled, listed ? { listed } : {}).confirmer.confirm(ENTRY);
  assert.equal(await confirm(reportOf(5)), 'confirmed');
  assert.equal(await confirm(reportOf(6)), 'unconfirmed');
  assert.equal(await confirm(reportOf(5), { ...ENTRY } as TargetEntry), 'unconfirmed');
  assert.equal(await confirm({ kind: 'silent' }), 'unconfirmed');
  assert.equal(await confirm({ kind: 'none' }), 'unconfirmed');
  assert.equal(await confirm({ kind: 'refused' }), 'unreachable');
});

test('streams that go on at a target at the same time share one poll', async () => {
  const { confirmer, polls } = confirmerOf(reportOf(5));
  await Promise.all([confirmer.confirm(ENTRY), confirmer.confirm(ENTRY)]);
  assert.equal(polls.length, 1);
  await confirmer.confirm(ENTRY);
  assert.equal(polls.length, 2);
});

test('a target that tells no start time is not asked', async () => {
  const { confirmer, polls } = confirmerOf(reportOf(6), { tellsStart: false });
  assert.equal(await confirmer.confirm(ENTRY), 'confirmed');
  assert.equal(polls.length, 0);
});
