import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  buildSnapshot,
  mainPartSchema,
  modelTags,
  type ProcessRef,
  type VmRecord,
} from '@marjoramcart/core';
import { ManualTimerService, Metrics, silentLogger } from '@marjoramcart/runtime';
import { createControlMetrics } from '../control-metrics.js';
import { ControlState } from '../control-state.js';
import { FakeEngine } from '../testing/fake-engine.js';
import { OrderTask } from './order-task.js';

const metrics = createControlMetrics(new Metrics());

function configOf(revision: number, version: string) {
  const main = mainPartSchema.parse({
    format: 1,
    regions: { north: { failure_domains: ['north-1'] } },
    models: { advice: { version, weights_mb: 1 } },
    services: { crew: { kind: 'model', model: 'advice', regions: ['north'] } },
    classes: {},
  });
  return buildSnapshot(revision, main, []);
}

/** One control daemon that orders one engine. */
class Orderer {
  readonly state: ControlState;

  readonly task: OrderTask;

  constructor(
    name: string,
    public engine: FakeEngine,
    readonly timers: ManualTimerService,
  ) {
    const place = { vm: name, region: 'north', failureDomain: 'north-1' };
    const self: ProcessRef = { bootId: name, role: 'control', peerAddress: '10.0.0.1:1', ...place };
    this.state = new ControlState(self, timers);
    this.state.coldStartComplete = true;
    const target: VmRecord = {
      ...place,
      vm: 't1',
      role: 'target',
      state: 'live',
      address: '10.0.0.2:1',
      target: { kind: 'engine' },
    };
    this.state.applyVmList({ version: 1, vms: [target] }, 'platform');
    // The engine behind the address may be exchanged.
    const client = {
      load: () => this.engine.load(),
      order: (...args: Parameters<FakeEngine['order']>) => this.engine.order(...args),
    } as never;
    this.task = new OrderTask({ state: this.state, client, metrics, log: silentLogger() });
  }

  /** Probes the engine as the probe task does, then plans and orders. */
  async round(): Promise<void> {
    const models = modelTags(this.engine.models);
    const load = { running: 0, queued: 0, waitMs: 0, concurrency: 8, sequence: 1, ageMs: 0 };
    const report = { services: [], leaving: false, models, ...load };
    this.state.targets.recordReport('t1', report, this.timers.now());
    await this.task.round();
    this.timers.advance(1000);
  }
}

function kinds(engine: FakeEngine): string[] {
  return engine.receivedOrders.map(({ order }) => `${order.kind} ${order.version}`);
}

test('an engine follows a new version: load, then retire, with rising fencing numbers', async () => {
  const engine = new FakeEngine(true);
  const orderer = new Orderer('a', engine, new ManualTimerService());
  orderer.state.applySnapshot(configOf(1, '1'), 'platform');
  await orderer.round();
  assert.equal(orderer.state.gaps[0]?.service, 'crew');
  await orderer.round();
  assert.deepEqual(orderer.state.gaps, []);
  orderer.state.applySnapshot(configOf(2, '2'), 'platform');
  await orderer.round();
  await orderer.round();
  await orderer.round();
  assert.deepEqual(kinds(engine), ['load 1', 'load 2', 'unload 1']);
  assert.deepEqual(
    engine.receivedOrders.map(({ fencing }) => fencing),
    [1001, 2001, 2002],
  );
});

test('an orderer with an older configuration does not order an engine that is ahead', async () => {
  // Guards against a resumed process that undoes the orders of its successor.
  const engine = new FakeEngine(true);
  const timers = new ManualTimerService();
  const [behind, ahead] = [new Orderer('a', engine, timers), new Orderer('b', engine, timers)];
  behind.state.applySnapshot(configOf(1, '1'), 'platform');
  ahead.state.applySnapshot(configOf(2, '2'), 'platform');
  await ahead.round();
  await behind.round();
  assert.deepEqual(kinds(engine), ['load 2']);
  assert.equal(behind.state.config.highestSeenRevision, 2);
});

test('an order of an orderer that is behind is corrected on an engine that ignores fencing', async () => {
  const engine = new FakeEngine(false);
  const timers = new ManualTimerService();
  const [behind, ahead] = [new Orderer('a', engine, timers), new Orderer('b', engine, timers)];
  behind.state.applySnapshot(configOf(1, '1'), 'platform');
  ahead.state.applySnapshot(configOf(2, '2'), 'platform');
  await ahead.round();
  await behind.round();
  assert.deepEqual(kinds(engine), ['load 2', 'load 1']);
  await ahead.round();
  assert.deepEqual(
    engine.models.map(({ version }) => version),
    ['2'],
  );
});

test('nothing is ordered on an observation that a pause made old', async () => {
  const engine = new FakeEngine(false);
  const orderer = new Orderer('a', engine, new ManualTimerService());
  orderer.state.applySnapshot(configOf(1, '1'), 'platform');
  engine.onLoad = () => orderer.timers.pause(30_000);
  await orderer.round();
  assert.deepEqual(kinds(engine), []);
  engine.onLoad = () => {};
  await orderer.round();
  assert.deepEqual(kinds(engine), []);
  orderer.timers.advance(2500);
  await orderer.round();
  assert.deepEqual(kinds(engine), ['load 1']);
});

test('one engine with a newer order holds back the orders to the others', async () => {
  // Guards against a resumed process, cut off from its peers, that undoes a newer version on an
  // engine that ignores fencing, although another engine shows that there is one.
  const checking = new FakeEngine(true);
  const ignoring = new FakeEngine(false);
  const timers = new ManualTimerService();
  const ahead = new Orderer('b', checking, timers);
  ahead.state.applySnapshot(configOf(2, '2'), 'platform');
  await ahead.round();
  const behind = new Orderer('a', checking, timers);
  behind.state.applySnapshot(configOf(1, '1'), 'platform');
  await behind.round();
  behind.engine = ignoring;
  await behind.round();
  assert.deepEqual(kinds(ignoring), []);
});

test('a failed load is not repeated and is told as a gap', async () => {
  const engine = new FakeEngine(false);
  const orderer = new Orderer('a', engine, new ManualTimerService());
  engine.failLoads = true;
  orderer.state.applySnapshot(configOf(1, '1'), 'platform');
  await orderer.round();
  await orderer.round();
  await orderer.round();
  assert.deepEqual(kinds(engine), ['load 1']);
  assert.match(orderer.state.gaps[0]?.reason ?? '', /advice@1 failed/);
});
