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

/** A control daemon that sends orders to one engine. */
class DaemonFixture {
  readonly state: ControlState;

  readonly task: OrderTask;

  constructor(
    name: string,
    public engine: FakeEngine,
    readonly timers: ManualTimerService,
  ) {
    const location = { vm: name, region: 'north', failureDomain: 'north-1' };
    const self: ProcessRef = {
      bootId: name,
      role: 'control',
      peerAddress: '10.0.0.1:1',
      ...location,
    };
    this.state = new ControlState(self, timers);
    this.state.coldStartComplete = true;
    const target: VmRecord = {
      ...location,
      vm: 't1',
      role: 'target',
      state: 'live',
      address: '10.0.0.2:1',
      target: { kind: 'engine' },
    };
    this.state.applyVmList({ version: 1, vms: [target] }, 'platform');
    // A test may replace the engine at this address.
    const client = {
      load: () => this.engine.readLoadReport(),
      order: (...args: Parameters<FakeEngine['sendOrder']>) => this.engine.sendOrder(...args),
    } as never;
    this.task = new OrderTask({ state: this.state, client, metrics, log: silentLogger() });
  }

  /** Records a probe of the engine as the probe task does, then runs one planning round. */
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

test('a new model version is loaded before the old one is unloaded, with rising fencing numbers', async () => {
  const engine = new FakeEngine(true);
  const daemon = new DaemonFixture('a', engine, new ManualTimerService());
  daemon.state.applySnapshot(configOf(1, '1'), 'platform');
  await daemon.round();
  assert.equal(daemon.state.gaps[0]?.service, 'crew');
  await daemon.round();
  assert.deepEqual(daemon.state.gaps, []);
  daemon.state.applySnapshot(configOf(2, '2'), 'platform');
  await daemon.round();
  await daemon.round();
  await daemon.round();
  assert.deepEqual(kinds(engine), ['load 1', 'load 2', 'unload 1']);
  assert.deepEqual(
    engine.receivedOrders.map(({ fencing }) => fencing),
    [1001, 2001, 2002],
  );
});

test('a daemon with an older configuration sends no order to an engine with newer orders', async () => {
  // Guards against a process that resumes after a pause and undoes the orders of its successor.
  const engine = new FakeEngine(true);
  const timers = new ManualTimerService();
  const [behind, ahead] = [
    new DaemonFixture('a', engine, timers),
    new DaemonFixture('b', engine, timers),
  ];
  behind.state.applySnapshot(configOf(1, '1'), 'platform');
  ahead.state.applySnapshot(configOf(2, '2'), 'platform');
  await ahead.round();
  await behind.round();
  assert.deepEqual(kinds(engine), ['load 2']);
  assert.equal(behind.state.config.highestSeenRevision, 2);
});

test('an outdated order to an engine that ignores fencing is corrected by an up-to-date daemon', async () => {
  const engine = new FakeEngine(false);
  const timers = new ManualTimerService();
  const [behind, ahead] = [
    new DaemonFixture('a', engine, timers),
    new DaemonFixture('b', engine, timers),
  ];
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

test('no order is sent after a pause until the engines were observed again', async () => {
  const engine = new FakeEngine(false);
  const daemon = new DaemonFixture('a', engine, new ManualTimerService());
  daemon.state.applySnapshot(configOf(1, '1'), 'platform');
  engine.onReadLoadReport = () => daemon.timers.pause(30_000);
  await daemon.round();
  assert.deepEqual(kinds(engine), []);
  engine.onReadLoadReport = () => {};
  await daemon.round();
  assert.deepEqual(kinds(engine), []);
  daemon.timers.advance(2500);
  await daemon.round();
  assert.deepEqual(kinds(engine), ['load 1']);
});

test('one engine with a newer order stops outdated orders to all engines', async () => {
  // Guards against a process that resumes while cut off from its peers and undoes a newer version
  // on an engine that ignores fencing, although another engine reports the newer order.
  const checking = new FakeEngine(true);
  const ignoring = new FakeEngine(false);
  const timers = new ManualTimerService();
  const ahead = new DaemonFixture('b', checking, timers);
  ahead.state.applySnapshot(configOf(2, '2'), 'platform');
  await ahead.round();
  const behind = new DaemonFixture('a', checking, timers);
  behind.state.applySnapshot(configOf(1, '1'), 'platform');
  await behind.round();
  behind.engine = ignoring;
  await behind.round();
  assert.deepEqual(kinds(ignoring), []);
});

test('a failed load is not retried at once and is reported as a gap', async () => {
  const engine = new FakeEngine(false);
  const daemon = new DaemonFixture('a', engine, new ManualTimerService());
  engine.failLoads = true;
  daemon.state.applySnapshot(configOf(1, '1'), 'platform');
  await daemon.round();
  await daemon.round();
  await daemon.round();
  assert.deepEqual(kinds(engine), ['load 1']);
  assert.match(daemon.state.gaps[0]?.reason ?? '', /advice@1 failed/);
});
