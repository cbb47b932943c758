import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planPrefill } from './kv-export.js';
import { LeastWaitDomainPolicy } from './least-wait-domain-policy.js';
import { LinkBudget } from './link-budget.js';
import type { DomainOption, RoutedRequest } from './routing-policy.js';
import { WeightedCostDomainPolicy } from './weighted-cost-domain-policy.js';

const req: RoutedRequest = { service: 's', promptTokens: 2000, maxTokens: 200, bodyBytes: 8000 };
const weights = { tail: 1, cost: 1, away: 1 };

function option(region: string, own: Partial<DomainOption> = {}): DomainOption {
  return {
    failureDomain: `${region}-1`,
    region,
    readyTargets: 4,
    waitMs: 0,
    freeSlots: 8,
    ageMs: 0,
    oneWayMs: region === 'north' ? 0 : 80,
    linkMbitPerS: region === 'north' ? undefined : 1500,
    linkBudgetBytes: region === 'north' ? undefined : 1e8,
    prefillMs: region === 'north' ? 50 : 250,
    ...own,
  };
}

const policy = new WeightedCostDomainPolicy();
const choose = (local: Partial<DomainOption>, remote: Partial<DomainOption>): string | undefined =>
  policy.choose(req, option('north', local), [option('west', remote)], weights).failureDomain;

test('a request is forwarded only if the local wait costs more by the margin', () => {
  // Guards against forwarding requests to cold caches because of small differences in lagging figures.
  assert.equal(choose({ waitMs: 300 }, {}), 'north-1');
  assert.equal(choose({ waitMs: 3000 }, {}), 'west-1');
});

test('a request that would be late locally is forwarded despite a small tail weight', () => {
  // Guards against refusing requests locally while other regions have free capacity.
  const frugal = { tail: 1, cost: 3, away: 3 };
  const choice = (waitMs: number, latencyTargetMs?: number): string | undefined =>
    policy.choose(
      { ...req, latencyTargetMs },
      option('north', { waitMs }),
      [option('west', { linkMbitPerS: 100 })],
      frugal,
    ).failureDomain;
  assert.equal(choice(700), 'north-1');
  assert.equal(choice(700, 1300), 'west-1');
  assert.equal(choice(300, 1300), 'north-1');
});

test('a request stays local if the link budget is spent, figures are old or no target is ready', () => {
  assert.equal(choose({ waitMs: 3000 }, { linkBudgetBytes: 100 }), 'north-1');
  assert.equal(choose({ waitMs: 3000 }, { ageMs: 20_000 }), 'north-1');
  assert.equal(choose({ waitMs: 3000 }, { readyTargets: 0 }), 'north-1');
});

test('a request is forwarded at any cost if no local target is ready', () => {
  assert.equal(choose({ readyTargets: 0 }, { waitMs: 5000 }), 'west-1');
  assert.equal(choose({ readyTargets: 0 }, { readyTargets: 0 }), undefined);
});

test('the least-wait baseline reacts to any difference', () => {
  const decision = new LeastWaitDomainPolicy().choose(req, option('north', { waitMs: 200 }), [
    option('west'),
  ]);
  assert.equal(decision.failureDomain, 'west-1');
});

test('a KV export is planned only when it is faster and within the budget', () => {
  const bytes = 2000 * 131_072;
  const slow = option('west', { kvExport: { bytes, prefillMs: 10 }, linkBudgetBytes: 1e9 });
  assert.equal(planPrefill(slow).exportKv, false);
  const fast = { ...slow, linkMbitPerS: 100_000 };
  assert.equal(planPrefill(fast).exportKv, true);
  assert.equal(planPrefill({ ...fast, linkBudgetBytes: 1000 }).exportKv, false);
});

test('a link budget refills over time and repays what was overdrawn', () => {
  const budget = new LinkBudget(100, 50, 0);
  const full = budget.available(0);
  budget.spend(full * 1.5, 0);
  assert.equal(budget.available(0), 0);
  assert.equal(budget.available(500), 0);
  assert.equal(budget.available(10_000), full);
});
