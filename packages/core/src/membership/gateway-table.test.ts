import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sampleItems, seededRandom } from '../random-source.js';
import type { RegionWork } from '../routing/region-choice.js';
import {
  BeatResult,
  GatewayPhase,
  GatewayTable,
  beatOf,
  processIdOf,
  type GatewayBeat,
  type GatewayRecord,
} from './gateway-table.js';

const WORK = {
  targets: 2,
  slots: 4,
  requests: 1,
  backlogMs: 0,
  memoryTokens: 0,
  memoryCapacityTokens: 0,
};
const REGIONS = ['north', 'central', 'west'];
const TICK_MS = 250;
const SIMULATED_MS = 30_000;
/** By this time, each gateway has received a record of each other one. */
const SETTLED_MS = 8000;

function record(index: number, changes: Partial<GatewayRecord> = {}): GatewayRecord {
  return {
    node: `vm-${index}`,
    bootAt: 1000,
    heartbeat: 1,
    phase: GatewayPhase.Ready,
    region: REGIONS[index % REGIONS.length] as string,
    failureDomain: 'a',
    ip: `10.0.0.${index}`,
    configVersion: 3,
    revision: 10,
    ...changes,
  };
}

/** Simulates gossip among 58 gateways; returns how often one wrongly considered another lost. */
function simulate(recordsPerMessage: number, beatsPerMessage: number): number {
  const random = seededRandom(20261);
  const gateways = Array.from({ length: 58 }, (_, index) => ({
    own: record(index),
    table: new GatewayTable(`vm-${index}`),
    alive: new Set<string>(),
  }));
  let losses = 0;
  const deliver = (from: number, to: number, now: number): void => {
    const sender = gateways[from];
    const receiver = gateways[to];
    if (!sender || !receiver) return;
    sender.own = { ...sender.own, heartbeat: sender.own.heartbeat + 1 };
    const relayed = sender.table
      .alive(now)
      .map((known) => ({ known, sortKey: random.next() }))
      .sort((x, y) => x.sortKey - y.sortKey)
      .map(({ known }) => known);
    [sender.own, ...relayed.slice(0, recordsPerMessage)].forEach((received) =>
      receiver.table.mergeRecord(received, now),
    );
    sampleItems(sender.table.recent(now), beatsPerMessage, random).forEach((known) =>
      receiver.table.mergeBeat(beatOf(known, now), now),
    );
  };
  const turns = Array.from(
    { length: (SIMULATED_MS / TICK_MS) * gateways.length },
    (_, turn) => turn,
  );
  turns.forEach((turn) => {
    const index = turn % gateways.length;
    const tick = Math.floor(turn / gateways.length);
    const now = (turn * TICK_MS) / gateways.length;
    const others = gateways.map((_, other) => other).filter((other) => other !== index);
    const local = others.filter((other) => other % 3 === index % 3);
    const remote = others.filter((other) => other % 3 !== index % 3);
    // Each gateway starts its round robin at another peer.
    const round = tick + index * 7;
    deliver(index, local[round % local.length] as number, now);
    if (round % 2 === 0) deliver(index, remote[(round / 2) % remote.length] as number, now);
    const gateway = gateways[index] as (typeof gateways)[number];
    const alive = new Set(gateway.table.alive(now).map(({ node }) => node));
    const lost = [...gateway.alive].filter((node) => !alive.has(node));
    if (now > SETTLED_MS) losses += lost.length;
    gateway.alive = alive;
  });
  return losses;
}

// In a large fleet, a gateway receives a direct message of each other one only every few seconds.
test('relayed beats keep live gateways in a fleet of 58 from being considered lost', () => {
  const withoutBeats = simulate(5, 0);
  const withBeats = simulate(1, 92);
  assert.ok(withoutBeats > 100, `without beats: ${withoutBeats}`);
  assert.equal(withBeats, 0);
});

const BEAT: GatewayBeat = {
  processId: processIdOf(record(1)),
  phase: GatewayPhase.Draining,
  ageMs: 0,
};

test('a beat updates the phase and age of a known gateway, at once in the list of live ones', () => {
  const table = new GatewayTable('self');
  table.mergeRecord(record(1), 0);
  assert.equal(table.alive(490)[0]?.phase, GatewayPhase.Ready);
  assert.equal(table.mergeBeat(BEAT, 500), BeatResult.Newer);
  const sameRelayed = { ...BEAT, ageMs: 100 };
  assert.equal(table.mergeBeat(sameRelayed, 600), BeatResult.Outdated, 'the same beat again');
  const earlierPhase = { ...BEAT, phase: GatewayPhase.Ready };
  assert.equal(table.mergeBeat({ ...earlierPhase, ageMs: 90 }, 600), BeatResult.Newer);
  assert.equal(table.get('vm-1')?.phase, GatewayPhase.Draining);
  assert.equal(table.alive(510)[0]?.phase, GatewayPhase.Draining);
  assert.equal(table.ageMs('vm-1', 700), 190);
  assert.deepEqual(
    table.recent(700).map((known) => beatOf(known, 700)),
    [{ ...BEAT, ageMs: 190 }],
  );
});

test('a beat that was relayed is as old as the time since its gateway sent it', () => {
  const table = new GatewayTable('self');
  table.mergeRecord(record(1), 0, 300);
  assert.equal(table.ageMs('vm-1', 100), 400);
  table.mergeBeat({ ...BEAT, ageMs: 2000 }, 3000);
  assert.equal(table.ageMs('vm-1', 3100), 2100);
  assert.equal(table.isAlive('vm-1', 3990), true);
  assert.equal(table.isAlive('vm-1', 4000), false);
});

test('a beat of an unknown process is told apart from one of an earlier process', () => {
  const table = new GatewayTable('self');
  assert.equal(table.mergeBeat(BEAT, 0), BeatResult.Unknown);
  table.mergeRecord(record(1), 10);
  table.mergeRecord(record(1, { bootAt: 2000 }), 20);
  assert.equal(table.mergeBeat(BEAT, 30), BeatResult.Outdated);
  assert.equal(table.gatewayOf(BEAT.processId), undefined);
  // Also when the record of the earlier process comes after that of the later one.
  const late = new GatewayTable('self');
  late.mergeRecord(record(1, { bootAt: 2000 }), 0);
  assert.equal(late.mergeBeat(BEAT, 10), BeatResult.Unknown);
  assert.equal(late.mergeRecord(record(1), 20), false);
  assert.equal(late.mergeBeat(BEAT, 30), BeatResult.Outdated);
});

test('the newest load of a region counts, from whichever gateway it comes', () => {
  const table = new GatewayTable('self');
  const work = (requests: number): Record<string, RegionWork> => ({
    model: { ...WORK, requests },
  });
  table.mergeSummary({ region: 'west', work: work(1), ageMs: 100 }, 1000);
  table.mergeSummary({ region: 'west', work: work(2), ageMs: 700 }, 1300);
  assert.deepEqual(table.summaryOf('west', 1400), { region: 'west', work: work(1), ageMs: 500 });
  table.mergeSummary({ region: 'west', work: work(3), ageMs: 50 }, 1400);
  assert.deepEqual(table.recentSummaries(100, 1450), [
    { region: 'west', work: work(3), ageMs: 100 },
  ]);
  assert.deepEqual(table.recentSummaries(100, 1451), []);
});

test('a table knows since when a process leaves, until the next one starts', () => {
  const table = new GatewayTable('vm-0');
  const processId = processIdOf(record(1));
  table.mergeRecord(record(1), 0);
  assert.equal(table.leavingAt('vm-1'), undefined);
  table.mergeBeat({ processId, phase: GatewayPhase.Draining, ageMs: 0 }, 100);
  table.mergeRecord(record(1, { heartbeat: 2, phase: GatewayPhase.Closing }), 200);
  assert.equal(table.leavingAt('vm-1'), 100);
  table.mergeRecord(record(1, { bootAt: 2000, phase: GatewayPhase.Starting }), 300);
  assert.equal(table.leavingAt('vm-1'), undefined);
});

// Guards against requests that are forwarded by an old list to a gateway that reaches no target.
test('the list of live gateways tells at once that one has lost its links, and that they are back', () => {
  const table = new GatewayTable('vm-0');
  table.mergeRecord(record(1), 0);
  const isCutOff = (): boolean | undefined => table.alive(10)[0]?.cutOff;
  assert.equal(isCutOff(), undefined);
  table.mergeRecord(record(1, { heartbeat: 2, cutOff: true }), 10);
  assert.equal(isCutOff(), true);
  table.mergeRecord(record(1, { heartbeat: 3, cutOff: false }), 10);
  assert.equal(isCutOff(), false);
});

// Guards against an old sign, or a record sent before it, that takes back what is known of a gateway's reach.
test('of what is told about the reach of a gateway the latest change counts, whatever arrives last', () => {
  const table = new GatewayTable('vm-0');
  const processId = processIdOf(record(1));
  const isCutOff = (): boolean => table.get('vm-1')?.cutOff ?? false;
  table.mergeRecord(record(1), 0);
  assert.equal(table.mergeReach({ processId, changes: 1 }, 10), true);
  assert.equal(isCutOff(), true);
  // Sent before the change, with a newer heartbeat than the one that is known.
  table.mergeRecord(record(1, { heartbeat: 5 }), 20);
  assert.equal(isCutOff(), true);
  table.mergeRecord(record(1, { heartbeat: 9, cutOff: false, reachChanges: 2 }), 30);
  assert.equal(isCutOff(), false);
  assert.equal(table.mergeReach({ processId, changes: 1 }, 40), false);
  assert.equal(isCutOff(), false);
  table.mergeRecord(record(1, { heartbeat: 10, cutOff: true, reachChanges: 255 }), 50);
  assert.equal(table.mergeReach({ processId, changes: 0 }, 60), true);
  assert.equal(isCutOff(), false);
  assert.equal(table.mergeReach({ processId, changes: 254 }, 70), false);
  // Another process of the same gateway begins anew.
  table.mergeRecord(record(1, { bootAt: 2000 }), 80);
  assert.equal(table.mergeReach({ processId, changes: 1 }, 90), false);
  assert.equal(isCutOff(), false);
});

// Guards against messages that grow with the number of gateways that have lost their targets.
test('recent changes of reach are relayed first, and no more than fit', () => {
  const table = new GatewayTable('vm-0');
  Array.from({ length: 60 }, (_, index) => record(index + 1)).forEach((gateway) => {
    table.mergeRecord(gateway, 0);
    table.mergeReach({ processId: processIdOf(gateway), changes: 1 }, 0);
  });
  const recent = record(61);
  table.mergeRecord(recent, 8000);
  table.mergeReach({ processId: processIdOf(recent), changes: 1 }, 8000);
  const signs = table.reachSigns(32, 4, seededRandom(1), 9000);
  assert.deepEqual(signs[0], { processId: processIdOf(recent), changes: 1 });
  assert.equal(signs.length, 5);
  assert.equal(table.reachSigns(32, 4, seededRandom(1), 100).length, 32);
});
