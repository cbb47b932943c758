import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../random-source.js';
import {
  GatewayPhase,
  GatewayTable,
  type GatewayHeartbeat,
  type GatewayRecord,
} from './gateway-table.js';

const REGIONS = ['north', 'central', 'west'];
const TICK_MS = 250;
const PLAYED_MS = 30_000;
/** After the start all gateways have been heard at least once. */
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
    regionWork: {},
    ...changes,
  };
}

/** Plays gossip among 58 gateways; returns how often one took another for lost. */
function play(records: number, beats: number): number {
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
    const known = sender.table.shuffledRecent(receiver.own.node, random, now);
    [sender.own, ...known.slice(0, records)].forEach((told) => receiver.table.mergeRecord(told, now));
    known.slice(records, records + beats).forEach((beat) => receiver.table.mergeHeartbeat(beat, now));
  };
  const turns = Array.from({ length: (PLAYED_MS / TICK_MS) * gateways.length }, (_, turn) => turn);
  turns.forEach((turn) => {
    const index = turn % gateways.length;
    const tick = Math.floor(turn / gateways.length);
    const now = (turn * TICK_MS) / gateways.length;
    const others = gateways.map((_, other) => other).filter((other) => other !== index);
    const near = others.filter((other) => other % 3 === index % 3);
    const away = others.filter((other) => other % 3 !== index % 3);
    // Gateways do not begin their rounds at the same peer.
    const round = tick + index * 7;
    deliver(index, near[round % near.length] as number, now);
    if (round % 2 === 0) deliver(index, away[(round / 2) % away.length] as number, now);
    const gateway = gateways[index] as (typeof gateways)[number];
    const alive = new Set(gateway.table.alive(now).map(({ node }) => node));
    const lost = [...gateway.alive].filter((node) => !alive.has(node));
    if (now > SETTLED_MS) losses += lost.length;
    gateway.alive = alive;
  });
  return losses;
}

// Pattern: a large fleet, where one gateway hears each other one directly only every few seconds.
test('beats of many gateways in each message keep a fleet of 58 from losing sight of any', () => {
  const withoutBeats = play(5, 0);
  const withBeats = play(1, 24);
  assert.ok(withoutBeats > 100, `without beats: ${withoutBeats}`);
  assert.equal(withBeats, 0);
});

test('a beat moves a known gateway on and leaves its work as it was', () => {
  const table = new GatewayTable('self');
  const work = { targets: 2, slots: 4, requests: 1, backlogMs: 0, memoryTokens: 0 };
  const regionWork = { model: { ...work, memoryCapacityTokens: 0 } };
  table.mergeRecord(record(1, { regionWork }), 0);
  const beat: GatewayHeartbeat = {
    node: 'vm-1',
    bootAt: 1000,
    heartbeat: 2,
    phase: GatewayPhase.Draining,
    configVersion: 3,
    revision: 10,
  };
  assert.equal(table.mergeHeartbeat(beat, 500), true);
  assert.equal(table.mergeHeartbeat(beat, 600), false, 'the same beat again');
  assert.deepEqual(table.get('vm-1')?.regionWork, regionWork);
  assert.equal(table.get('vm-1')?.phase, GatewayPhase.Draining);
  assert.equal(table.ageMs('vm-1', 700), 200);
  assert.equal(table.workAgeMs('vm-1', 700), 700);
});

test('a beat of an unknown gateway and an older start change nothing', () => {
  const table = new GatewayTable('self');
  assert.equal(table.mergeHeartbeat(record(1), 0), false);
  table.mergeRecord(record(2, { bootAt: 2000 }), 0);
  assert.equal(table.mergeHeartbeat(record(2, { heartbeat: 99 }), 10), false);
});
