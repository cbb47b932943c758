import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CustomerConfig } from '@marjoramcart/core';
import { CustomerLimits } from './customer-limits.js';

test("a customer's limits are divided over the entries and refilled with time", () => {
  // Guards against a customer that gets its full rate at each of many entries.
  const customer: CustomerConfig = {
    id: 'c1',
    key: '0'.repeat(32),
    class: 'standard',
    limits: { requests_per_s: 8, tokens_per_s: 4000, streams: 4 },
  };
  const limits = new CustomerLimits();
  const take = (now: number, tokens = 1): string | undefined =>
    limits.take(customer, tokens, false, 0.25, now)?.name;
  assert.deepEqual([take(0), take(0), take(0)], [undefined, undefined, 'rate_limited']);
  assert.equal(take(500), undefined);
  assert.equal(take(2000, 5000), undefined, 'a request above the burst runs at a full bucket');
  assert.equal(take(2500), 'rate_limited', 'and is paid off afterwards');
  assert.equal(limits.take(customer, 0, true, 0.25, 10_000), undefined);
  assert.equal(limits.take(customer, 0, true, 0.25, 10_000)?.name, 'streams_limited');
  limits.streamEnded(customer);
  assert.equal(limits.take(customer, 0, true, 0.25, 10_000), undefined);
});
