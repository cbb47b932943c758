import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  GatewayPhase,
  GatewayTable,
  type GatewayRecord,
  type RegionScope,
} from '@marjoramcart/core';
import { ManualTimerService } from '@marjoramcart/runtime';
import { GatewayDirectory } from './gateway-directory.js';

const GRACE_MS = 8000;
const HOST = 'api.example';

function record(node: string, region: string, phase: GatewayPhase): GatewayRecord {
  return {
    node,
    bootAt: 1,
    heartbeat: 1,
    phase,
    region,
    failureDomain: `${region}-a`,
    ip: '10.0.0.1',
    configVersion: 1,
    revision: 1,
  };
}

function directoryOf(table: GatewayTable, regions: RegionScope, timers: ManualTimerService) {
  return new GatewayDirectory({
    node: 'vm-0',
    region: 'north',
    ip: '10.0.0.9',
    phase: () => GatewayPhase.Finishing,
    leavingAt: () => undefined,
    table,
    residencyOf: () => ({ restrictedRoutes: 1, regions }),
    graceMs: GRACE_MS,
    timers,
  });
}

test('callers need not wait while a gateway that they may use accepts requests', () => {
  const timers = new ManualTimerService();
  const table = new GatewayTable('vm-0');
  table.mergeRecord(record('vm-1', 'west', GatewayPhase.Ready), timers.now());
  const west: RegionScope = { kind: 'only', regions: ['west'] };
  const east: RegionScope = { kind: 'only', regions: ['east'] };
  assert.equal(directoryOf(table, west, timers).acceptsInMs(HOST), 0);
  assert.ok(directoryOf(table, east, timers).acceptsInMs(HOST) > 0);
});

test('callers wait until the gateway of the region that left first has restarted', () => {
  const timers = new ManualTimerService();
  const table = new GatewayTable('vm-0');
  const directory = directoryOf(table, { kind: 'only', regions: ['north'] }, timers);
  const alone = directory.acceptsInMs(HOST);
  assert.ok(alone > GRACE_MS);
  table.mergeRecord(record('vm-1', 'north', GatewayPhase.Closing), timers.now());
  timers.advance(2000);
  assert.equal(directory.acceptsInMs(HOST), alone - 2000);
});
