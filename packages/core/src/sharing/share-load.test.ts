/**
 * Customers that ask a service for more than it can do. Each pattern is also run without the division
 * between customers, which has to miss the bound: otherwise the test would not show anything.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  RegionSimulation,
  type CustomerLoad,
  type Outcome,
  type RegionLoad,
} from './region-load.test-support.js';

const SEEDS = [1, 2, 3];
const CUSTOMERS = 16;
const WARM_UP_MS = 8000;
const END_MS = 30_000;
/** Work of a usual customer, units per second. */
const USUAL = 10_000;
/** Sizes of prompts; the work of the largest is a third of what a customer asks for in a second. */
const SIZES = [300, 500, 700, 1000, 1500, 3500];
/** Least served share of customers below their levels; admission itself still refuses some of all. */
const FULL_SHARE = 0.9;
/** No customer is served less than a quarter as often as all customers overall. */
const MIN_SERVED_RATIO = 0.25;
/** The largest tenth of a kind is served at least half as often as the kind overall. */
const MIN_LARGE_RATIO = 0.5;
/** Customers over their levels are served amounts within this factor of each other. */
const MAX_SPREAD = 1.5;
const MIN_UTILIZATION = 0.9;

type Load = Omit<RegionLoad, 'seed' | 'gateways' | 'sharing'> & Partial<RegionLoad>;

function simulate(load: Load, endMs = END_MS): RegionSimulation {
  const simulation = new RegionSimulation({
    seed: SEEDS[0] ?? 0,
    gateways: 12,
    sharing: true,
    ...load,
  });
  simulation.run(endMs);
  return simulation;
}

function customer(
  index: number,
  unitsPerS: number,
  rest: Partial<CustomerLoad> = {},
): CustomerLoad {
  return { name: nameOf(index), unitsPerS: () => unitsPerS, sizes: SIZES, ...rest };
}

function nameOf(index: number): string {
  return `customer-${index}`;
}

/** The first customer asks for `hot`, the others for `usual`. */
function hotCustomer(
  hot: number,
  usual: number,
  rest: Partial<CustomerLoad> = {},
): readonly CustomerLoad[] {
  return Array.from({ length: CUSTOMERS }, (_, index) =>
    index === 0 ? customer(0, hot, rest) : customer(index, usual),
  );
}

function isOf(index: number): (outcome: Outcome) => boolean {
  return (outcome) => outcome.customer === nameOf(index);
}

function isOther(outcome: Outcome): boolean {
  return outcome.customer !== nameOf(0);
}

function worstOther(simulation: RegionSimulation): number {
  const shares = Array.from({ length: CUSTOMERS - 1 }, (_, index) =>
    simulation.servedShare(isOf(index + 1), WARM_UP_MS),
  );
  return Math.min(...shares);
}

function overall(simulation: RegionSimulation): number {
  return simulation.servedShare(() => true, WARM_UP_MS);
}

function assertAtLeast(share: number, bound: number, what: string): void {
  assert.ok(share >= bound, `${what}: ${share.toFixed(3)}, at least ${bound.toFixed(3)}`);
}

/**
 * The first customer takes from itself: the others are served in full, the worst of them as often as
 * all customers overall, and the first at least a quarter as often.
 */
function assertHotPays(load: Load): void {
  SEEDS.forEach((seed) => {
    const simulation = simulate({ ...load, seed });
    const all = overall(simulation);
    assertAtLeast(simulation.servedShare(isOther, WARM_UP_MS), FULL_SHARE, `others, seed ${seed}`);
    assertAtLeast(worstOther(simulation), all, `worst other, seed ${seed}`);
    const hot = simulation.servedShare(isOf(0), WARM_UP_MS);
    assertAtLeast(hot, MIN_SERVED_RATIO * all, `hot, seed ${seed}`);
    const without = simulate({ ...load, seed, sharing: false });
    const unprotected = without.servedShare(isOther, WARM_UP_MS);
    assert.ok(unprotected < FULL_SHARE, `without sharing: ${unprotected.toFixed(3)}`);
  });
}

test('one customer of sixteen sends five times its usual load and takes from its own share', () => {
  const load = { customers: hotCustomer(5 * USUAL, USUAL), capacity: () => 17 * USUAL };
  assertHotPays(load);
  const used = simulate(load).servedUnitsPerS(() => true, WARM_UP_MS) / (17 * USUAL);
  assertAtLeast(used, MIN_UTILIZATION, 'used');
});

test('the same in a region of 33 gateways that lose a tenth of the messages', () => {
  const customers = hotCustomer(5 * USUAL, USUAL);
  assertHotPays({ customers, capacity: () => 17 * USUAL, gateways: 33, loss: 0.1 });
});

test('one customer with nine tenths of the demand leaves the small ones all that they ask for', () => {
  const customers = hotCustomer(14.4 * USUAL, (1.6 * USUAL) / (CUSTOMERS - 1));
  assertHotPays({ customers, capacity: () => 8 * USUAL });
});

test('customers that are all over their levels get equal amounts', () => {
  const customers = Array.from({ length: CUSTOMERS }, (_, index) =>
    customer(index, (1.3 + (index % 4) * 0.7) * USUAL),
  );
  const load = { customers, capacity: () => CUSTOMERS * USUAL };
  const spreadOf = (simulation: RegionSimulation): number => {
    const served = customers.map((_, index) => simulation.servedUnitsPerS(isOf(index), WARM_UP_MS));
    return Math.max(...served) / Math.min(...served);
  };
  const spread = spreadOf(simulate(load));
  assert.ok(spread <= MAX_SPREAD, `spread ${spread.toFixed(2)}`);
  assert.ok(spreadOf(simulate({ ...load, sharing: false })) > MAX_SPREAD);
});

test('an idle customer lends its part, and has it back as soon as it returns', () => {
  const returnsAt = 20_000;
  const idle = { unitsPerS: (now: number) => (now < returnsAt ? 0 : USUAL / 2) };
  const customers = [
    customer(0, 0, { ...idle, sizes: [100] }),
    ...hotCustomer(1.5 * USUAL, 1.5 * USUAL).slice(1),
  ];
  const load = { customers, capacity: () => CUSTOMERS * USUAL };
  const returned = (simulation: RegionSimulation): number =>
    simulation.servedShare(
      (outcome) => isOf(0)(outcome) && outcome.at < returnsAt + 2000,
      returnsAt,
    );
  const lent = simulate(load, returnsAt).servedUnitsPerS(() => true, WARM_UP_MS);
  assert.ok(lent >= MIN_UTILIZATION * CUSTOMERS * USUAL, `lent ${lent.toFixed(0)}`);
  const share = returned(simulate(load));
  assert.ok(share >= FULL_SHARE, `returned ${share.toFixed(3)}`);
  const without = returned(simulate({ ...load, sharing: false }));
  assert.ok(without < FULL_SHARE, `without sharing ${without.toFixed(3)}`);
});

test('large prompts of a customer are refused as often as its small ones', () => {
  const large = 8000;
  const sizes = [...Array.from({ length: 9 }, () => 500), large];
  const load = {
    customers: hotCustomer(8 * USUAL, USUAL, { sizes }),
    capacity: () => 17 * USUAL,
  };
  assertHotPays(load);
  const simulation = simulate(load);
  const isLarge = (outcome: Outcome): boolean => isOf(0)(outcome) && outcome.units === large;
  const ofLarge = simulation.servedShare(isLarge, WARM_UP_MS);
  const ofAll = simulation.servedShare(isOf(0), WARM_UP_MS);
  assertAtLeast(ofLarge, MIN_LARGE_RATIO * ofAll, 'large');
});

test('gateways of a region that see different customers divide its capacity in the same way', () => {
  const customers = hotCustomer(5 * USUAL, USUAL, { gateways: [0, 1] });
  assertHotPays({ customers, capacity: () => 17 * USUAL });
});

test('a gateway that is cut off from the others divides by its own sample', () => {
  const load = {
    customers: hotCustomer(5 * USUAL, USUAL),
    capacity: () => 17 * USUAL,
    cutOff: [0],
  };
  const there = (simulation: RegionSimulation): number =>
    simulation.servedShare((outcome) => isOther(outcome) && outcome.gateway === 0, WARM_UP_MS);
  const share = there(simulate(load));
  const without = there(simulate({ ...load, sharing: false }));
  assert.ok(share >= FULL_SHARE, `cut off ${share.toFixed(3)}`);
  assert.ok(without < FULL_SHARE, `without sharing ${without.toFixed(3)}`);
});

test('a service that has more room again is no longer short', () => {
  // Capacity is known only from what was admitted, which the division itself limits.
  const moreAt = 15_000;
  const capacity = (now: number): number => (now < moreAt ? 8 : 40) * USUAL;
  const simulation = simulate({ customers: hotCustomer(5 * USUAL, USUAL), capacity });
  const share = simulation.servedShare(() => true, moreAt + 8000);
  assert.ok(share >= 0.99, `served ${share.toFixed(3)}`);
});
