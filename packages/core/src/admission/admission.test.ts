import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AdmissionRequest, FairnessPolicy } from './admission-policy.js';
import { CustomerLimits } from './customer-limits.js';
import { ExperientialFairnessPolicy } from './experiential-fairness-policy.js';
import { FirstComePolicy } from './first-come-policy.js';
import { TokenCountPolicy } from './token-count-policy.js';
import {
  WindowAdmissionController,
  type WindowAdmissionOptions,
} from './window-admission-controller.js';

function request(id: string, customer: string, own: Partial<AdmissionRequest> = {}) {
  return {
    id,
    customer,
    customerClass: 'standard',
    weight: 1,
    priority: 10,
    cost: 100,
    arrivedAt: 0,
    deadlineAt: 30_000,
    latencyTargetMs: 1300,
    ...own,
  };
}

/** Admits all requests; returns their customers in the order of admission. */
function drain(policy: FairnessPolicy): string[] {
  return Array.from({ length: policy.size }, () => policy.pop(0)?.customer ?? '');
}

function flooded(policy: FairnessPolicy): FairnessPolicy {
  Array.from({ length: 50 }, (_, at) => policy.push(request(`f${at}`, 'flood')));
  policy.push(request('q1', 'quiet'));
  return policy;
}

test('the token count policy admits a light customer before the backlog of a heavy one', () => {
  assert.ok(drain(flooded(new TokenCountPolicy())).indexOf('quiet') <= 1);
  assert.equal(drain(flooded(new FirstComePolicy())).indexOf('quiet'), 50);
});

test('idle time earns no credit in the token count policy', () => {
  // Guards against a customer that starves the others after an idle period.
  const policy = new TokenCountPolicy();
  Array.from({ length: 20 }, (_, at) => policy.push(request(`a${at}`, 'busy')));
  Array.from({ length: 10 }, () => policy.pop());
  Array.from({ length: 10 }, (_, at) => policy.push(request(`b${at}`, 'back')));
  assert.deepEqual(
    drain(policy)
      .slice(0, 6)
      .filter((id) => id === 'back').length,
    3,
  );
});

test('costs above the expected ones are charged to the customer', () => {
  const policy = new TokenCountPolicy();
  const first = request('a1', 'a');
  policy.push(first);
  policy.pop();
  policy.onFinished(first, { cost: 5000 });
  policy.push(request('b1', 'b'));
  policy.push(request('a2', 'a'));
  assert.deepEqual(drain(policy), ['b', 'a']);
});

test('every policy returns each queued request once and never a removed one', () => {
  [new FirstComePolicy(), new TokenCountPolicy(), new ExperientialFairnessPolicy()].forEach(
    (policy) => {
      flooded(policy).remove('f7');
      assert.equal(policy.queuedCountOf('flood'), 49);
      const ids = Array.from({ length: 50 }, (_, at) => policy.pop(at * 200)?.id);
      assert.equal(new Set(ids).size, 50);
      assert.ok(!ids.includes('f7') && !ids.includes(undefined));
      assert.equal(policy.size, 0);
    },
  );
});

test('every policy skips customers that may not run now', () => {
  // Guards against a heavy customer's queue blocking the customers behind it.
  const isQuiet = (customer: string): boolean => customer === 'quiet';
  [new FirstComePolicy(), new TokenCountPolicy(), new ExperientialFairnessPolicy()].forEach(
    (policy) => {
      assert.equal(flooded(policy).pop(0, isQuiet)?.id, 'q1');
      assert.equal(policy.pop(0, isQuiet), undefined);
      assert.equal(policy.size, 50);
    },
  );
});

test('the experiential policy prioritizes customers whose latency targets were missed', () => {
  const policy = new ExperientialFairnessPolicy();
  policy.onFinished(request('x', 'missed'), { cost: 100, firstTokenMs: 9000 }, 0);
  policy.onFinished(request('y', 'met'), { cost: 100, firstTokenMs: 10 }, 0);
  Array.from({ length: 10 }, (_, at) => policy.push(request(`m${at}`, 'met')));
  policy.push(request('late', 'missed'));
  assert.equal(policy.pop(0)?.customer, 'missed');
});

function controller(
  window: number,
  own: Partial<WindowAdmissionOptions> = {},
): WindowAdmissionController {
  return new WindowAdmissionController(new TokenCountPolicy(), {
    window,
    queuePerCustomer: 2,
    maxQueued: 10,
    ...own,
  });
}

test('the window and the queue of each customer are limited', () => {
  const admission = controller(1);
  const kinds = ['1', '2', '3', '4'].map((id) => admission.offer(request(id, 'a'), 0).kind);
  assert.deepEqual(kinds, ['admitted', 'queued', 'queued', 'refused']);
  assert.equal(admission.offer(request('5', 'b'), 0).kind, 'queued');
  // Both customers have the same counter, so the one that has waited longer is admitted first.
  const next = ['1', '2'].map((id) => admission.release(id, { cost: 100 }, 10)[0]?.id);
  assert.deepEqual(next, ['2', '5']);
  assert.equal(admission.resize(3, 20).length, 1);
});

test('a request whose deadline cannot be met is refused or expires, and never runs', () => {
  const admission = controller(1, { maxWaitLatencyTargets: Infinity });
  admission.offer(request('1', 'a'), 0);
  admission.release('1', { cost: 100 }, 1000);
  admission.offer(request('2', 'a'), 1000);
  const early = admission.offer(request('3', 'b', { deadlineAt: 1500 }), 1000);
  assert.deepEqual(early, { kind: 'refused', reason: 'deadline-unreachable' });
  assert.equal(admission.offer(request('4', 'b', { deadlineAt: 6000 }), 1000).kind, 'queued');
  assert.deepEqual(
    admission.expire(5500).map(({ id }) => id),
    ['4'],
  );
  assert.deepEqual(admission.release('2', { cost: 1 }, 5600), []);
});

test('a request that would wait beyond its latency target is refused at once', () => {
  // Guards against long queues under overload, in which every response is late.
  const admission = controller(1);
  admission.offer(request('1', 'a'), 0);
  admission.release('1', { cost: 100 }, 1000);
  admission.offer(request('2', 'a', { arrivedAt: 1000 }), 1000);
  const late = admission.offer(request('3', 'b', { arrivedAt: 1000 }), 1000);
  assert.deepEqual(late, { kind: 'refused', reason: 'deadline-unreachable' });
});

test('a heavy customer cannot fill the window and others overtake its queue', () => {
  // Guards against one customer filling the window while all others wait for a slot.
  const admission = controller(10, { queuePerCustomer: 20, maxQueued: 100 });
  admission.offer(request('q1', 'quiet'), 0);
  const flood = Array.from({ length: 12 }, (_, at) => admission.offer(request(`f${at}`, 'f'), 0));
  assert.equal(flood.filter(({ kind }) => kind === 'admitted').length, 5);
  assert.equal(admission.offer(request('q2', 'quiet'), 0).kind, 'admitted');
  assert.deepEqual(admission.release('q2', { cost: 100 }, 100), []);
});

test('the only customer of a service may use the whole window', () => {
  const admission = controller(10);
  const all = Array.from({ length: 10 }, (_, at) => admission.offer(request(`${at}`, 'a'), 0));
  assert.ok(all.every(({ kind }) => kind === 'admitted'));
});

test('a larger weight raises the share above which a customer is heavy', () => {
  const admission = controller(10);
  admission.offer(request('q1', 'quiet'), 0);
  const large = Array.from({ length: 9 }, (_, at) =>
    admission.offer(request(`l${at}`, 'large', { weight: 10 }), 0),
  );
  assert.ok(large.every(({ kind }) => kind === 'admitted'));
});

test('limits on requests, tokens and streams are multiplied by the share of the entry', () => {
  const limits = new CustomerLimits();
  const config = { requests_per_s: 4, tokens_per_s: 2000, streams: 2 };
  const call = { share: 0.5, tokens: 100, stream: false };
  const first = Array.from({ length: 3 }, () => limits.tryStart('a', config, call, 0));
  assert.deepEqual(
    first.map(({ kind }) => kind),
    ['allowed', 'allowed', 'limited'],
  );
  assert.equal(limits.tryStart('a', config, call, 500).kind, 'allowed');
  const stream = { ...call, stream: true };
  assert.equal(limits.tryStart('b', config, stream, 0).kind, 'allowed');
  const second = limits.tryStart('b', config, stream, 0);
  assert.equal(second.kind === 'limited' && second.limit, 'streams');
  limits.endStream('b');
  assert.equal(limits.tryStart('b', config, stream, 0).kind, 'allowed');
  limits.correctTokens('c', 0);
  const large = { ...call, tokens: 5000 };
  assert.equal(limits.tryStart('c', config, large, 0).kind, 'allowed');
  const next = limits.tryStart('c', config, call, 1000);
  assert.equal(next.kind === 'limited' && next.limit, 'tokens');
});

test('a customer without limits is never limited', () => {
  const limits = new CustomerLimits();
  const call = { share: 0.1, tokens: 1e9, stream: true };
  const kinds = Array.from({ length: 100 }, () => limits.tryStart('a', {}, call, 0).kind);
  assert.ok(kinds.every((kind) => kind === 'allowed'));
});

// Guards against the load of a region without targets displacing local callers.
test('forwarded requests leave slots and queue space to local callers', () => {
  const admission = new WindowAdmissionController(new TokenCountPolicy(), {
    window: 10,
    queuePerCustomer: 8,
    maxQueued: 100,
  });
  const offers = Array.from({ length: 30 }, (_, at) =>
    admission.offer(request(`f${at}`, 'crew', { forwarded: true }), 0),
  );
  assert.equal(offers.filter(({ kind }) => kind === 'admitted').length, 7);
  assert.equal(offers.filter(({ kind }) => kind === 'refused').length, 15);
  const own = Array.from({ length: 3 }, (_, at) => admission.offer(request(`o${at}`, 'crew'), 0));
  assert.deepEqual(
    own.map(({ kind }) => kind),
    ['admitted', 'admitted', 'admitted'],
  );
  // The customer's queue of forwarded requests is full; its queue of local requests is not.
  assert.equal(admission.offer(request('o3', 'crew'), 0).kind, 'queued');
});
