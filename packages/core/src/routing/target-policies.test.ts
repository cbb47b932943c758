import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ServiceWeights } from '../config/config-schema.js';
import type { TargetState } from '../messages/messages.js';
import { seededRandom } from '../random-source.js';
import { BoundedAffinityTargetPolicy } from './bounded-affinity-target-policy.js';
import { PrefixAffinityTargetPolicy } from './prefix-affinity-target-policy.js';
import { RoundRobinTargetPolicy } from './round-robin-target-policy.js';
import type { RoutedRequest, TargetCandidate } from './routing-policy.js';

const req: RoutedRequest = {
  service: 's',
  prefix: 'p',
  promptTokens: 10,
  maxTokens: 10,
  bodyBytes: 40,
};

function candidate(vm: string, own: Partial<TargetCandidate> = {}, running = 4): TargetCandidate {
  return {
    state: {
      vm,
      address: `127.0.0.1:${vm.length}`,
      kind: 'engine',
      services: ['s'],
      leaving: false,
      healthy: true,
      running,
      queued: 0,
      waitMs: 0,
      concurrency: 16,
      reportAgeMs: 0,
      sequence: 1,
    },
    sentSinceReport: 0,
    inFlight: 0,
    ...own,
  };
}

const vms = ['a', 'b', 'c', 'd', 'e', 'f'];

test('requests with the same prefix go to one target while it is within the load bound', () => {
  // Guards against computing a shared prefix on every target.
  const policy = new BoundedAffinityTargetPolicy();
  const chosen = Array.from(
    { length: 20 },
    (_, seed) =>
      policy.choose(
        req,
        vms.map((vm) => candidate(vm)),
        seededRandom(seed),
      )?.state.vm,
  );
  assert.equal(new Set(chosen).size, 1);
});

test('requests sent since the last report count towards the load of a target with affinity', () => {
  // Guards against a popular prefix overloading its target between two load reports.
  const policy = new BoundedAffinityTargetPolicy();
  const first = new PrefixAffinityTargetPolicy().choose(
    req,
    vms.map((vm) => candidate(vm)),
    seededRandom(1),
  )?.state.vm;
  const loaded = vms.map((vm) => candidate(vm, vm === first ? { sentSinceReport: 30 } : {}));
  assert.notEqual(policy.choose(req, loaded, seededRandom(1))?.state.vm, first);
});

test('an outdated cache hint never sends a request to an overloaded target', () => {
  const policy = new BoundedAffinityTargetPolicy();
  const hinted = candidate('z', {}, 16);
  const list = [
    { ...hinted, state: { ...hinted.state, cachedPrefixes: ['p'] } },
    ...vms.map((vm) => candidate(vm, {}, 2)),
  ];
  assert.notEqual(policy.choose(req, list, seededRandom(3))?.state.vm, 'z');
});

test('requests without a prefix avoid the more loaded of the sampled targets', () => {
  const policy = new BoundedAffinityTargetPolicy();
  const list = [candidate('a', {}, 15), candidate('b', {}, 1)];
  const chosen = policy.choose({ ...req, prefix: undefined }, list, seededRandom(5));
  assert.equal(chosen?.state.vm, 'b');
});

test('no policy chooses from an empty list', () => {
  assert.equal(new BoundedAffinityTargetPolicy().choose(req, [], seededRandom(1)), undefined);
  assert.equal(new RoundRobinTargetPolicy().choose(req, []), undefined);
});

test('a service with a high cost weight leaves the same targets idle for all prefixes', () => {
  // Guards against small batches on every target while a few targets could serve the load.
  const policy = new BoundedAffinityTargetPolicy();
  const used = (weights: ServiceWeights, own: Partial<TargetState> = {}): number => {
    const candidates = vms.map((vm) => {
      const base = candidate(vm, {}, 2);
      return { ...base, state: { ...base.state, ...own } };
    });
    const chosen = Array.from(
      { length: 40 },
      (_, at) =>
        policy.choose({ ...req, prefix: `p${at}` }, candidates, seededRandom(at), weights)?.state
          .vm,
    );
    return new Set(chosen).size;
  };
  const cheap = { tail: 1, cost: 3, away: 3 };
  assert.equal(used(cheap), 2);
  assert.equal(used({ tail: 3, cost: 1, away: 1 }), vms.length);
  // Targets that are busy with prefill count as full, however few requests they run.
  assert.equal(used(cheap, { waitMs: 500 }), vms.length);
});
