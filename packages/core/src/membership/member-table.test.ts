import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../random-source.js';
import type { OriginUpdate, ProcessRef, GossipedTarget } from '../messages/messages.js';
import {
  namesDigest,
  packHeartbeats,
  packOrigin,
  packSummaries,
  unpackHeartbeats,
  unpackOrigin,
  unpackSummaries,
  unpackVersions,
} from './gossip-codec.js';
import { MemberTable } from './member-table.js';

function control(bootId: string): ProcessRef {
  const location = {
    region: 'north',
    failureDomain: 'n1',
    peerAddress: `10.0.0.1:${bootId.length}`,
  };
  return { bootId, role: 'control', vm: bootId, ...location };
}

function item(vm: string, running = 1): GossipedTarget {
  const load = { running, queued: 0, waitMs: 5, concurrency: 8, sequence: 1, ageMs: 0 };
  return { vm, services: ['booking'], leaving: false, failures: 0, ...load };
}

/** Second `s` of an origin: publishes the items and starts the next heartbeat. */
function second(table: MemberTable, s: number, items: readonly GossipedTarget[]): void {
  items.forEach((value) => table.publishTarget(value, s * 1000));
  table.tick(1, s * 1000);
}

function pull(to: MemberTable, from: MemberTable, s: number): string[] {
  const merged = to.merge(from.updatesSince(to.heartbeats()), s * 1000);
  return merged.map(({ item: { vm }, confirmed }) => `${vm}${confirmed ? ' confirmed' : ''}`);
}

test('an unchanged target is sent once and confirmed by each later heartbeat', () => {
  // Guards against unchanged targets that expire at the peers.
  const a = new MemberTable(control('a'), 0);
  const b = new MemberTable(control('b'), 0);
  second(a, 1, [item('t1'), item('t2')]);
  assert.deepEqual(pull(b, a, 1), ['t1', 't2']);
  Array.from({ length: 40 }, (_, n) => n + 2).forEach((s) => {
    second(a, s, [item('t1'), item('t2')]);
    assert.equal(a.updatesSince(b.heartbeats())[0]?.targets, undefined);
    assert.deepEqual(pull(b, a, s), ['t1 confirmed', 't2 confirmed']);
    b.tick(1, s * 1000);
  });
});

test('an unchanged target is sent again when its sequence restarts or has doubled', () => {
  // Guards against entries that compare the sequence of a restarted target with an outdated one.
  const a = new MemberTable(control('a'), 0);
  const publish = (sequence: number): boolean =>
    a.publishTarget({ ...item('t1'), sequence }, sequence);
  const changed = [3, 4, 6, 7, 100, 150, 5].map(publish);
  assert.deepEqual(changed, [true, false, false, true, true, false, true]);
});

test('a withdrawn target is not confirmed again, even by an update relayed by a peer', () => {
  const tables = ['a', 'b', 'c'].map((name) => new MemberTable(control(name), 0));
  const [a, b, c] = tables as [MemberTable, MemberTable, MemberTable];
  second(a, 1, [item('t1'), item('t2')]);
  pull(b, a, 1);
  pull(c, b, 1);
  a.withdrawTarget('t1', 2000);
  second(a, 2, []);
  second(a, 3, []);
  pull(b, a, 3);
  assert.deepEqual(pull(c, b, 3), ['t2 confirmed']);
  a.tick(1, 70_000);
  const late = new MemberTable(control('late'), 0);
  pull(late, a, 70);
  assert.ok(late.heartbeats().a);
});

test('a peer that missed changes rejects an update that starts after them', () => {
  // Guards against a peer that treats an update of the last seconds as complete.
  const a = new MemberTable(control('a'), 0);
  const b = new MemberTable(control('b'), 0);
  second(a, 1, [item('t1')]);
  pull(b, a, 1);
  second(a, 2, [item('t1', 30)]);
  const missed = a.heartbeats().a ?? 0;
  second(a, 3, []);
  assert.deepEqual(b.merge([a.localUpdate(missed)], 3000), []);
  assert.deepEqual(pull(b, a, 3), ['t1']);
});

test('peers that pull from random peers converge to the items of the origin', () => {
  const random = seededRandom(5);
  const tables = Array.from({ length: 5 }, (_, n) => new MemberTable(control(`c${n}`), 0));
  const [origin] = tables as [MemberTable];
  const held = new Map<MemberTable, Set<string>>(tables.map((table) => [table, new Set()]));
  const pick = (): MemberTable => tables[Math.floor(random.next() * tables.length)] ?? origin;
  Array.from({ length: 300 }, (_, n) => n / 10).forEach((s) => {
    const vm = `t${Math.floor(random.next() * 6)}`;
    if (random.next() < 0.5) origin.withdrawTarget(vm, s * 1000);
    else origin.publishTarget(item(vm, Math.round(random.next() * 30)), s * 1000);
    tables.forEach((table) => table.tick(1, s * 1000));
    const [to, from] = [pick(), pick()];
    if (to !== origin) pull(to, from, s);
  });
  origin.tick(1, 30_000);
  tables.slice(1).forEach((table) => {
    const items = table.merge(origin.updatesSince(table.heartbeats()), 30_000);
    held.set(table, new Set(items.map(({ item: { vm, running } }) => `${vm} ${running}`)));
  });
  const fresh = new MemberTable(control('fresh'), 0);
  const all = fresh.merge(origin.updatesSince({}), 30_000);
  const expected = new Set(all.map(({ item: { vm, running } }) => `${vm} ${running}`));
  tables.slice(1).forEach((table) => assert.deepEqual(held.get(table), expected));
});

test('items are repeated every 3 s while a peer of an earlier release is alive', () => {
  // Guards against targets that expire, during an upgrade, at daemons that do not support spans.
  const a = new MemberTable(control('a'), 0);
  const old = { bootId: 'old', heartbeat: 1, revision: 1, process: control('old') };
  a.merge([old], 0);
  second(a, 1, [item('t1')]);
  const before = a.heartbeats().a;
  second(a, 5, [item('t1')]);
  assert.equal(a.localUpdate(before).targets?.length, 1);
  a.merge([{ ...old, heartbeat: 2, span: 1 }], 6000);
  const later = a.heartbeats().a;
  second(a, 9, [item('t1')]);
  assert.equal(a.localUpdate(later).targets, undefined);
});

test('packed gossip unpacks to the same content', () => {
  const names = ['a', 'b'];
  assert.notEqual(namesDigest(names), namesDigest(['a', 'c']));
  assert.deepEqual(unpackHeartbeats(names, packHeartbeats(names, { b: 7 })), { a: 0, b: 7 });
  const origins: OriginUpdate[] = [
    { bootId: 'b', heartbeat: 9, revision: 4, span: 2, targets: [[9, item('t1')]] },
    { bootId: 'a', heartbeat: 3, revision: 5 },
  ];
  const packed = origins.map((update) => packOrigin(names, update, 5));
  assert.deepEqual(
    packed.map((update) => unpackOrigin(names, update, 5)),
    origins,
  );
  const versions = { a: [100, 3, 0], b: [98, 0, 50] } as const;
  const summary = { failureDomain: 'b', region: 'north', version: 101, ageMs: 300 };
  const updates = [
    { ...summary, servicesVersion: 100, entriesVersion: 60, services: [] },
    { ...summary, failureDomain: 'a', servicesVersion: 101, entriesVersion: 101 },
  ];
  const summaries = packSummaries(names, versions, updates);
  assert.deepEqual(unpackVersions(names, summaries), versions);
  assert.deepEqual(
    unpackSummaries(names, summaries, () => 'north'),
    updates,
  );
});

test('a draining entry is listed as draining if another daemon still has an older record', () => {
  // Guards against listing an entry that has ended, after it synced with two control daemons.
  const [a, b, c] = ['a', 'b', 'c'].map((name) => new MemberTable(control(name), 0)) as [
    MemberTable,
    MemberTable,
    MemberTable,
  ];
  const entry: ProcessRef = { ...control('e'), role: 'entry' };
  const load = (draining: boolean) => ({ openRequests: 0, queued: 0, draining });
  b.registerEntry(entry, load(false), 1, 0);
  a.registerEntry(entry, load(false), 1, 1000);
  assert.equal(a.registerEntry(entry, load(true), 1, 2000), true);
  assert.equal(a.registerEntry(entry, load(true), 1, 2250), false);
  [3, 4, 5, 6].forEach((s) => {
    [a, b].forEach((table) => table.tick(1, s * 1000));
    (s % 2 === 0 ? [a, b] : [b, a]).forEach((table) => pull(c, table, s));
    assert.deepEqual(
      c.entries().map(({ load: held }) => held?.draining),
      [true],
    );
  });
});
