import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  GatewayPhase,
  GatewayTable,
  RegionUsage,
  RouteKind,
  RouteTable,
  RouteUsage,
  type GatewayRecord,
  type Route,
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

function route(prefix: string, regions: string[]): Route {
  return {
    name: prefix,
    host: HOST,
    prefix,
    kind: RouteKind.Repeatable,
    timeoutMs: 1000,
    latencyTargetMs: 100,
    patienceMs: 1000,
    priority: 0,
    services: [{ service: 'one', weight: 1 }],
    maxAttempts: 1,
    resumable: false,
    regions: { kind: 'only', regions },
  };
}

function directoryOf(
  table: GatewayTable,
  timers: ManualTimerService,
  routes: readonly Route[],
  usage = new RouteUsage(),
  regionUsage = new RegionUsage(),
): GatewayDirectory {
  return new GatewayDirectory({
    node: 'vm-0',
    region: 'north',
    ip: '10.0.0.9',
    phase: () => GatewayPhase.Finishing,
    leavingAt: () => undefined,
    table,
    routes: () => new RouteTable(routes),
    usage,
    regionUsage,
    maxMisdirectedShare: 0.05,
    graceMs: GRACE_MS,
    timers,
  });
}

test('callers need not wait while a gateway that they may use accepts requests', () => {
  const timers = new ManualTimerService();
  const table = new GatewayTable('vm-0');
  table.mergeRecord(record('vm-1', 'west', GatewayPhase.Ready), timers.now());
  const acceptsInMs = (home: string): number =>
    directoryOf(table, timers, [route('/', [home])]).acceptsInMs(HOST);
  assert.equal(acceptsInMs('west'), 0);
  assert.ok(acceptsInMs('east') > 0);
});

test('callers wait until the gateway of the region that left first has restarted', () => {
  const timers = new ManualTimerService();
  const table = new GatewayTable('vm-0');
  const directory = directoryOf(table, timers, [route('/', ['north'])]);
  const alone = directory.acceptsInMs(HOST);
  assert.ok(alone > GRACE_MS);
  table.mergeRecord(record('vm-1', 'north', GatewayPhase.Closing), timers.now());
  timers.advance(2000);
  assert.equal(directory.acceptsInMs(HOST), alone - 2000);
});

// Guards against callers of a region without gateways that are told none, because of a route with other
// home regions that nobody uses.
test('callers of a region without gateways are led to the homes of the routes that they use', () => {
  const timers = new ManualTimerService();
  const table = new GatewayTable('vm-0');
  table.mergeRecord(record('vm-1', 'west', GatewayPhase.Ready), timers.now());
  const [used, unused] = [route('/used/', ['west', 'south']), route('/unused/', ['south'])];
  const usage = new RouteUsage();
  const regionUsage = new RegionUsage();
  const tell = (prefix: string): void =>
    regionUsage.merge('east', [{ host: HOST, counts: [[prefix, 100]] }]);
  const directory = directoryOf(table, timers, [used, unused], usage, regionUsage);
  const listed = (): string[] =>
    directory.choose({ host: HOST, region: 'east' }).gateways.map(({ node }) => node);
  assert.deepEqual(listed(), []);
  Array.from({ length: 100 }).forEach(() => usage.onRequest(used));
  assert.deepEqual(listed(), []);
  tell('/unused/');
  assert.deepEqual(listed(), []);
  tell('/used/');
  assert.deepEqual(listed(), ['vm-1']);
  Array.from({ length: 10 }).forEach(() => usage.onRequest(unused));
  assert.deepEqual(listed(), []);
});
