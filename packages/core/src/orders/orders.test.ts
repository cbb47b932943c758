import assert from 'node:assert/strict';
import { test } from 'node:test';
import { mainPartSchema } from '../config/config-schema.js';
import { domainPermits, mayReceiveOrder, type DomainEngine } from './domain-permits.js';
import { WeightLoadLimiter, weightLoadTimeMs } from './weight-load-limiter.js';
import { OrderTracker } from './order-tracker.js';
import { nextStep, type StepPermits } from './order-step.js';
import { placeModels, placementGroups } from './placement.js';
import { modelTags, type ObservedEngine } from './engine-state.js';
import { seededRandom } from '../random-source.js';

const service = (modelId: string, min: number) => ({
  kind: 'model',
  model: modelId,
  regions: ['north'],
  targets: { min, max: 1000 },
});

const cfg = mainPartSchema.parse({
  format: 1,
  regions: { north: { failure_domains: ['north-1'] }, west: { failure_domains: ['west-1'] } },
  models: { a: { version: '2', weights_mb: 100 }, b: { version: '1', weights_mb: 100 } },
  services: { advice: service('a', 3), safety: service('b', 1) },
  classes: {},
});
const groups = placementGroups(cfg, 'north');
const [groupA] = groups;
const vms = Array.from({ length: 12 }, (_, index) => `t${index}`);
const allPermits: StepPermits = { load: true, unload: () => true, retryFailed: false };

function engine(models: ObservedEngine['models'], more: Partial<ObservedEngine> = {}) {
  return { models, role: 'mixed', highestFencing: 0, observedAt: 0, ...more };
}

function model(name: string, version: string, state: 'ready' | 'loading' | 'failed' = 'ready') {
  return { model: name, version, state, adapters: [] };
}

function usable(vm: string, ...tags: string[]): DomainEngine {
  return { vm, usable: true, tags };
}

test('adding or removing a target changes few placements', () => {
  // Guards against the loss of one VM moving models all over the failure domain.
  const before = placeModels(groups, vms);
  const moved = vms.map((lost) => {
    const after = placeModels(
      groups,
      vms.filter((vm) => vm !== lost),
    );
    return [...after].filter(([vm, group]) => before.get(vm)?.id !== group.id).length;
  });
  assert.ok(Math.max(...moved) <= 1, `moved ${moved.join()}`);
});

test('the minimum of every service is met first, and a service is not placed outside its regions', () => {
  const count = (targets: number, id: string) =>
    [...placeModels(groups, vms.slice(0, targets)).values()].filter((g) => g.id === id).length;
  assert.equal(count(4, 'a/mixed'), 3);
  assert.equal(count(4, 'b/mixed'), 1);
  assert.equal(count(12, 'a/mixed'), 9);
  assert.deepEqual(placementGroups(cfg, 'west'), []);
});

test('a new version is ready before the old one is unloaded', () => {
  const steps = [
    engine([model('a', '1')]),
    engine([model('a', '1'), model('a', '2', 'loading')]),
    engine([model('a', '1'), model('a', '2')]),
    engine([model('a', '2')]),
  ].map((seen) => nextStep(groupA, seen, allPermits));
  assert.deepEqual(
    steps.map((step) => (step.kind === 'order' ? step.order.kind : step.kind)),
    ['load', 'wait', 'unload', 'none'],
  );
});

test('a failed load is not retried at once and stops the rollout on the other targets', () => {
  assert.equal(nextStep(groupA, engine([model('a', '2', 'failed')]), allPermits).kind, 'wait');
  const placement = new Map(vms.map((vm) => [vm, groupA as NonNullable<typeof groupA>]));
  const engines = vms.map((vm, index) =>
    index === 0 ? usable(vm, 'a@1:ready', 'a@2:failed') : usable(vm, 'a@1:ready'),
  );
  const permits = domainPermits(placement, groups, engines);
  assert.equal(permits.load.size, 0);
  assert.ok(permits.failed.has('a@2'));
});

test('unloading keeps the minimum of ready targets, whichever control daemon plans it', () => {
  // Guards against two control daemons that both see one spare target and unload different ones.
  const placement = placeModels(groups.slice(1), vms);
  const engines = vms.slice(0, 4).map((vm) => usable(vm, 'a@2:ready'));
  const first = domainPermits(placement, groups, engines);
  const second = domainPermits(placement, groups, [...engines].reverse());
  assert.equal(first.unload.size, 1);
  assert.deepEqual([...first.unload], [...second.unload]);
});

test("loads stay within the failure domain's share of the weight store", () => {
  assert.equal(weightLoadTimeMs(1000, 1000, 4), 32_000);
  const limiter = new WeightLoadLimiter();
  assert.ok(limiter.mayStart(0));
  limiter.observe([{ name: 't1 a@2', durationMs: 32_000 }], 0);
  limiter.observe([{ name: 't1 a@2', durationMs: 32_000 }], 1000);
  assert.ok(!limiter.mayStart(31_000));
  assert.ok(limiter.mayStart(32_000));
});

test('one order is in flight per target until the engine reports its effect or its validity ends', () => {
  const tracker = new OrderTracker();
  const load = { kind: 'load', model: 'a', version: '2', adapters: [], role: 'mixed' } as const;
  tracker.recordSent('t1', 5001, load, 0);
  assert.ok(tracker.inFlight('t1', engine([]), 9000));
  assert.ok(!tracker.inFlight('t1', engine([model('a', '2', 'loading')]), 9000));
  tracker.recordSent('t1', 5002, load, 10_000);
  assert.ok(!tracker.inFlight('t1', engine([]), 20_000));
});

test('fencing numbers exceed those of other senders and never override a newer revision', () => {
  // Guards against an old order that replaces a newer one.
  const tracker = new OrderTracker();
  assert.deepEqual(tracker.nextFencing('t1', 5, engine([])), { kind: 'number', fencing: 5001 });
  const other = engine([], { highestFencing: 5007 });
  assert.deepEqual(tracker.nextFencing('t1', 5, other), { kind: 'number', fencing: 5008 });
  const newer = engine([], { highestFencing: 6001 });
  assert.deepEqual(tracker.nextFencing('t1', 5, newer), { kind: 'newer-revision', revision: 6 });
  tracker.recordRejected('t1', 6001);
  assert.equal(tracker.nextFencing('t1', 5, engine([])).kind, 'newer-revision');
});

test('no order is based on an observation from before a pause', () => {
  const tracker = new OrderTracker();
  assert.ok(tracker.isObservationCurrent({ observedAt: 1000 }, 1500));
  tracker.discardObservationsBefore(1400);
  assert.ok(!tracker.isObservationCurrent({ observedAt: 1000 }, 1500));
  assert.ok(!tracker.isObservationCurrent({ observedAt: 1400 }, 5000));
});

test('every target that can be sent an order is polled at once', () => {
  // Guards against an order that is delayed to the next full check because its target was not polled.
  const random = seededRandom(20261);
  const pick = <Value>(values: readonly Value[]): Value =>
    values[Math.floor(random.next() * values.length)] as Value;
  const states = ['ready', 'loading', 'failed'] as const;
  const randomModels = () =>
    ['a@1', 'a@2', 'b@1']
      .filter(() => random.next() < 0.4)
      .map((name) => model(name.slice(0, 1), name.slice(2), pick(states)));
  const polledTargets = Array.from({ length: 500 }, () => {
    const held = new Map(vms.map((vm) => [vm, randomModels()]));
    const placement = placeModels(groups, vms);
    const engines = vms.map((vm) => usable(vm, ...modelTags(held.get(vm) ?? [])));
    const permits = domainPermits(placement, groups, engines);
    return engines.map(({ vm, tags }) => {
      const step = nextStep(placement.get(vm), engine(held.get(vm) ?? []), {
        load: permits.load.has(vm),
        unload: (name) => permits.unload.has(`${vm} ${name}`),
        retryFailed: true,
      });
      const polled = mayReceiveOrder(vm, tags, placement.get(vm), permits);
      assert.ok(step.kind !== 'order' || polled, `${vm} ${tags.join()}`);
      return polled;
    });
  }).flat();
  // Some targets without their wanted model have to wait for a permit.
  assert.ok(polledTargets.some((polled) => !polled));
});
