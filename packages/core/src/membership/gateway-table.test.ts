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
    regionWork: {},
    ...changes,
  };
}

/** Simulates gossip among 58 gateways; returns how often one wrongly considered another lost. */
function simulate(recordsPerMessage: number, heartbeatsPerMessage: number): number {
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
    [sender.own, ...known.slice(0, recordsPerMessage)].forEach((received) =>
      receiver.table.mergeRecord(received, now),
    );
    known
      .slice(recordsPerMessage, recordsPerMessage + heartbeatsPerMessage)
      .forEach((heartbeat) => receiver.table.mergeHeartbeat(heartbeat, now));
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
test('relayed heartbeats keep live gateways in a fleet of 58 from being considered lost', () => {
  const withoutHeartbeats = simulate(5, 0);
  const withHeartbeats = simulate(1, 24);
  assert.ok(withoutHeartbeats > 100, `without heartbeats: ${withoutHeartbeats}`);
  assert.equal(withHeartbeats, 0);
});

test('a heartbeat updates the phase and age of a known gateway but not its work', () => {
  const table = new GatewayTable('self');
  const work = { targets: 2, slots: 4, requests: 1, backlogMs: 0, memoryTokens: 0 };
  const regionWork = { model: { ...work, memoryCapacityTokens: 0 } };
  table.mergeRecord(record(1, { regionWork }), 0);
  const heartbeat: GatewayHeartbeat = {
    node: 'vm-1',
    bootAt: 1000,
    heartbeat: 2,
    phase: GatewayPhase.Draining,
    configVersion: 3,
    revision: 10,
  };
  assert.equal(table.mergeHeartbeat(heartbeat, 500), true);
  assert.equal(table.mergeHeartbeat(heartbeat, 600), false, 'the same heartbeat again');
  assert.deepEqual(table.get('vm-1')?.regionWork, regionWork);
  assert.equal(table.get('vm-1')?.phase, GatewayPhase.Draining);
  assert.equal(table.ageMs('vm-1', 700), 200);
  assert.equal(table.workAgeMs('vm-1', 700), 700);
});

test('a heartbeat of an unknown gateway or of an earlier process start is ignored', () => {
  const table = new GatewayTable('self');
  assert.equal(table.mergeHeartbeat(record(1), 0), false);
  table.mergeRecord(record(2, { bootAt: 2000 }), 0);
  assert.equal(table.mergeHeartbeat(record(2, { heartbeat: 99 }), 10), false);
});
