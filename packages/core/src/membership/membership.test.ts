import assert from 'node:assert/strict';
import { test } from 'node:test';
import { buildSnapshot } from '../config/snapshot-builder.js';
import { viewOfSnapshot } from '../config/snapshot.js';
import { mainPartSchema } from '../config/config-schema.js';
import type { ProcessRef, SuspectRecord, VmRecord } from '../messages/messages.js';
import { ConfigStore } from './config-store.js';
import { ConfigPartStore } from './config-part-store.js';
import { readyServices } from './ready-services.js';
import { isWatcher, proberRank } from './role-assignment.js';
import { MemberTable } from './member-table.js';
import { SummaryTable } from './summary-table.js';
import { GossipedSuspectTable } from './gossiped-suspect-table.js';
import { TargetTable, type TargetReport } from './target-table.js';
import { VmStore } from './vm-store.js';

const plain = {
  kind: 'plain',
  regions: ['north', 'west'],
  operations: [{ method: 'GET', path: '/', repeatable: true }],
};
const main = mainPartSchema.parse({
  format: 1,
  regions: { north: { failure_domains: ['n1'] }, west: { failure_domains: ['w1'] } },
  services: { booking: plain, advice: { ...plain, depends_on: ['booking'] } },
  classes: { standard: { priority: 1 } },
});
const key = '0'.repeat(32);
const customers = [{ id: 'c1', key, class: 'standard', regions: ['north'] }];
const view = viewOfSnapshot(buildSnapshot(1, main, customers));

function control(bootId: string): ProcessRef {
  const peerAddress = `10.0.0.1:${bootId.length}`;
  return { bootId, role: 'control', vm: bootId, region: 'north', failureDomain: 'n1', peerAddress };
}

function target(vm: string, state: VmRecord['state'] = 'live'): VmRecord {
  const address = '10.0.0.9:1';
  return { vm, role: 'target', state, region: 'north', failureDomain: 'n1', address };
}

function report(more: Partial<TargetReport> = {}): TargetReport {
  const load = { running: 1, queued: 0, waitMs: 5, concurrency: 8, sequence: 1, ageMs: 0 };
  return { services: ['booking'], leaving: false, ...load, ...more };
}

function tableOf(count: number): TargetTable {
  const table = new TargetTable('self');
  const records = Array.from({ length: count }, (_, index) => target(`t${index}`));
  table.setRecords(records);
  records.forEach(({ vm }) => table.recordReport(vm, report(), 0));
  return table;
}

function fail(table: TargetTable, vm: string, nowMs: number): void {
  [0, 1, 2].forEach((index) => table.recordFailure(vm, nowMs + index * 1000));
}

test('an older revision, VM list or range response never replaces a newer one', () => {
  // Guards against a configuration service that was restored from an old backup.
  const store = new ConfigStore();
  assert.equal(store.offer(buildSnapshot(5, main, [])), 'taken');
  assert.equal(store.offer(buildSnapshot(4, main, [])), 'older');
  assert.equal(store.revision, 5);
  const parts = new ConfigPartStore();
  parts.apply({ revision: 5, values: [{ key: 'config/main', value: 'new' }] });
  assert.ok(!parts.apply({ revision: 3, values: [{ key: 'config/main', value: 'old' }] }));
  assert.equal(parts.list()[0]?.text, 'new');
  const vms = new VmStore();
  vms.offer({ version: 2, vms: [target('t1', 'leaving')] });
  assert.ok(!vms.offer({ version: 1, vms: [target('t1')] }));
});

test('a rejected revision is reported until a higher one is accepted', () => {
  const store = new ConfigStore();
  store.offer(buildSnapshot(5, main, []));
  store.reject({ revision: 6, message: 'x' });
  assert.equal(store.rejected?.revision, 6);
  store.offer(buildSnapshot(7, main, []));
  assert.equal(store.rejected, undefined);
});

test('two of the live control daemons watch, and another one replaces a failed watcher', () => {
  const live = ['a', 'b', 'c', 'd'];
  const watchers = live.filter((self) => isWatcher('n1', self, live));
  assert.equal(watchers.length, 2);
  const left = live.filter((self) => self !== watchers[0]);
  assert.equal(left.filter((self) => isWatcher('n1', self, left)).length, 2);
  assert.equal(live.filter((self) => proberRank('t1', self, live) >= 0).length, 2);
});

test('a target is excluded after three failures and probed again after the back-off', () => {
  const table = tableOf(4);
  table.recordFailure('t0', 1000);
  table.recordFailure('t0', 2000);
  assert.ok(table.states(2000)[0]?.healthy);
  table.recordFailure('t0', 3000);
  assert.ok(!table.states(3000)[0]?.healthy);
  assert.ok(!table.mayProbe('t0', 4000));
  assert.ok(table.mayProbe('t0', 5000));
  table.recordReport('t0', report(), 5000);
  assert.ok(table.states(5000)[0]?.healthy);
});

test('a target that the other prober still reaches is not excluded', () => {
  const table = tableOf(4);
  const result = { report: report(), failures: 0, reportedAt: 2900, receivedAt: 2900 };
  table.setProbeResult('t0', 'other', result);
  fail(table, 't0', 1000);
  assert.ok(table.states(3000)[0]?.healthy);
});

test('a failed probe of one prober makes all probers probe fast until a probe succeeds', () => {
  // Guards against a second prober that keeps its slow interval while a target is failing.
  const table = tableOf(1);
  assert.equal(table.needsFastProbes('t0', 0), false);
  const result = { report: report(), failures: 1, reportedAt: 0, receivedAt: 0 };
  table.setProbeResult('t0', 'other', result);
  assert.equal(table.needsFastProbes('t0', 0), true);
  table.setProbeResult('t0', 'other', { ...result, failures: 0 });
  assert.equal(table.needsFastProbes('t0', 0), false);
  assert.equal(table.needsFastProbes('t0', 60_000), true);
});

test('all targets stay in use when more than half fail at the same time', () => {
  // Guards against an isolated process that excludes the whole failure domain.
  const table = tableOf(4);
  ['t0', 't1', 't2'].forEach((vm) => fail(table, vm, 1000));
  assert.ok(table.isolated(3000));
  assert.ok(table.states(3000).every(({ healthy }) => healthy));
  ['t0', 't1'].forEach((vm) => table.recordReport(vm, report(), 4000));
  assert.ok(!table.isolated(4000));
  assert.equal(table.states(4000).filter(({ healthy }) => !healthy).length, 1);
});

test('a process in contact with other failure domains excludes targets that fail together', () => {
  // Guards against a region that sends requests to its failed engines, not to other regions.
  const table = tableOf(4);
  ['t0', 't1', 't2'].forEach((vm) => fail(table, vm, 1000));
  assert.ok(!table.isolated(3000, true));
  assert.equal(table.states(3000, true).filter(({ healthy }) => !healthy).length, 3);
});

test('targets that fail one after the other are all excluded', () => {
  const table = tableOf(3);
  ['t0', 't1'].forEach((vm, index) => fail(table, vm, 1000 + index * 20_000));
  table.recordReport('t2', report(), 23_000);
  assert.ok(!table.isolated(23_000));
  assert.equal(table.states(23_000).filter(({ healthy }) => healthy).length, 1);
});

test('a target marked as leaving in the VM list or its own report is shown as leaving', () => {
  const table = tableOf(2);
  table.setRecords([target('t0', 'leaving'), target('t1')]);
  table.recordReport('t1', report({ leaving: true }), 10);
  assert.ok(table.states(10).every(({ leaving }) => leaving));
});

test('an isolated process keeps the leaving mark of a target whose prober is silent', () => {
  // Guards against new work for a leaving target when the result that shows the mark has expired.
  const table = new TargetTable('self');
  table.setRecords(['t1', 't2', 't3'].map((vm) => target(vm)));
  const result = { report: report({ leaving: true }), failures: 0, reportedAt: 0, receivedAt: 0 };
  table.setProbeResult('t3', 'other', result);
  ['t1', 't2'].forEach((vm) => fail(table, vm, 8000));
  const state = table.states(10_500).find(({ vm }) => vm === 't3');
  assert.deepEqual([state?.healthy, state?.leaving], [true, true]);
});

test('a pause of this process does not expire its probe results and members', () => {
  const table = tableOf(1);
  const members = new MemberTable(control('self'), 0);
  members.merge([{ bootId: 'b', heartbeat: 1, revision: 1, process: control('b') }], 0);
  table.afterPause(60_000);
  members.afterPause(60_000);
  assert.ok(table.states(60_000)[0]?.healthy);
  assert.equal(members.liveControls(60_000).length, 2);
});

test('a daemon without heartbeats is not live after 5 s, is dropped after 15 s and is not revived by an old copy', () => {
  const table = new MemberTable(control('self'), 0);
  const update = { bootId: 'b', heartbeat: 7, revision: 1, process: control('b') };
  table.merge([update], 0);
  assert.equal(table.liveControls(5000).length, 2);
  assert.equal(table.liveControls(5001).length, 1);
  table.tick(1, 15_001);
  assert.equal(table.processes().length, 1);
  table.merge([update], 15_002);
  assert.equal(table.processes().length, 1);
  table.merge([{ ...update, heartbeat: 8 }], 15_003);
  assert.equal(table.processes().length, 2);
});

test('gossip contains only items that the peer does not have', () => {
  const a = new MemberTable(control('a'), 0);
  const b = new MemberTable(control('b'), 0);
  const item = { vm: 't1', failures: 0, ...report() };
  a.publishTarget(item, 0);
  a.tick(1, 0);
  const merged = b.merge(a.updatesSince(b.heartbeats()), 0);
  assert.equal(merged[0]?.item.vm, 't1');
  a.publishTarget({ ...item, sequence: 2 }, 1000);
  a.tick(1, 1000);
  const [update] = a.updatesSince(b.heartbeats());
  assert.equal(update?.targets, undefined);
  assert.equal(update?.process, undefined);
});

test('a higher version replaces a summary, and a summary expires after 10 s', () => {
  const a = new SummaryTable('n1', 'north');
  const b = new SummaryTable('w1', 'west');
  const services = [{ service: 'booking', readyTargets: 2, waitMs: 8, freeSlots: 16 }];
  const clock = { nowMs: 0, wallMs: 1_800_000_000_000 };
  a.publish(services, [], clock);
  const first = a.updatesSince({}, 0);
  b.merge(first, 100);
  a.publish([], [], { ...clock, nowMs: 3000 });
  const second = a.updatesSince(b.versions(), 3000);
  assert.equal(second[0]?.entries, undefined);
  b.merge(second, 3000);
  assert.ok(!b.merge(first, 3100));
  assert.deepEqual(b.unexpired(3100)[0]?.services, []);
  assert.equal(b.unexpired(13_001).length, 0);
});

test('a refused request is disclosed only to regions that its data may reside in', () => {
  const table = new GossipedSuspectTable();
  const record: SuspectRecord = {
    digest: 'd',
    customer: 'c1',
    service: 'booking',
    deaths: 2,
    refused: true,
    expiresInMs: 600_000,
  };
  table.merge([record, { ...record, digest: 'e', customer: 'stranger' }], 0);
  assert.deepEqual(
    table.recordsVisibleTo('north', view, 0).map(({ digest }) => digest),
    ['d'],
  );
  assert.deepEqual(table.recordsVisibleTo('west', view, 0), []);
  table.merge([{ ...record, deaths: 1, refused: false }], 1000);
  assert.ok(table.recordsVisibleTo('north', view, 1000)[0]?.refused);
  assert.deepEqual(table.recordsVisibleTo('north', view, 600_001), []);
});

test('a service is not ready while one of its dependencies is not ready', () => {
  const table = tableOf(1);
  table.recordReport('t0', report({ services: ['advice'] }), 0);
  assert.equal(readyServices(table.states(0), view.services).size, 0);
  table.recordReport('t0', report({ services: ['advice', 'booking'] }), 1);
  assert.equal(readyServices(table.states(1), view.services).size, 2);
});
