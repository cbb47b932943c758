import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import fc from 'fast-check';
import type { CustomerLimit } from '../fleet/fleet-config.js';
import { seededRandom } from '../random-source.js';
import { rendezvousOrder } from '../rendezvous.js';
import { costOf } from './cost-of.js';
import { QuotaAccount } from './quota-account.js';
import { HEADROOM_MS, QuotaOwner } from './quota-owner.js';
import { QuotaPeers } from './quota-peers.js';
import { QuotaFleet, type Outcome, type Request } from './quota-fleet.test-support.js';

const LARGEST = 70_000;
const LIMIT: CustomerLimit = { unit: 'tokens', perS: 36_000, burst: 72_000, plainTokens: 1000 };
const STEPS_PER_S = 100;
const LEASE_S = 1;
/** A region that is being cut off, and the window after which a lowered limit binds. */
const CUT_MS = 3000;
const WINDOW_MS = 8000;

/** Sizes with a heavy tail, 5,000 on average. */
function sizeOf(random: () => number): number {
  return random() < 0.03 ? LARGEST * (0.5 + random() / 2) : 500 + random() * 5600;
}
const MEAN_SIZE = 0.03 * LARGEST * 0.75 + 0.97 * 3300;

/** Requests of customers at a multiple of their limits, at random gateways. */
function loadOf(
  fleet: QuotaFleet,
  seed: number,
  factor: () => number,
  nodes: () => readonly string[] = () => [...fleet.processes.keys()],
): () => Request[] {
  const source = seededRandom(seed);
  const random = (): number => source.next();
  return () => {
    const at = nodes();
    return [...fleet.limits].flatMap(([customer, { perS }]) => {
      const expected = (factor() * perS) / MEAN_SIZE / STEPS_PER_S;
      const count = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
      return Array.from({ length: count }, () => ({
        customer,
        cost: Math.round(sizeOf(random)),
        node: at[Math.floor(random() * at.length)] ?? '',
      }));
    });
  };
}

function granted(outcomes: readonly Outcome[], ownerless: boolean): Outcome[] {
  return outcomes.filter(
    ({ result }) => result.kind === 'granted' && result.ownerless === ownerless,
  );
}

/** Highest sum of any window beyond what `perS` allows in it. */
function excess(outcomes: readonly Outcome[], perS: (at: number) => number): number {
  const { max } = outcomes.reduce(
    ({ level, max: before, at }, next) => {
      const drained = Math.max(0, level - ((next.at - at) / 1000) * perS(next.at));
      const now = drained + next.cost;
      return { level: now, max: Math.max(before, now), at: next.at };
    },
    { level: 0, max: 0, at: 0 },
  );
  return max;
}

/** Part of what one bucket without a network would have granted, and the fleet has refused. */
function lostShare(
  fleet: QuotaFleet,
  { perS, burst }: CustomerLimit,
  from: number,
  isFull = true,
): number {
  const sums = [...fleet.limits.keys()].map((customer) => {
    const own = fleet.outcomes
      .filter((row) => row.customer === customer && row.at >= from)
      .sort((a, b) => a.at - b.at);
    const ideal = own.reduce(
      ({ level, at, sum }, next) => {
        const filled = Math.min(burst, level + ((next.at - at) / 1000) * perS);
        const cost = next.cost <= filled ? next.cost : 0;
        return { level: filled - cost, at: next.at, sum: sum + cost };
      },
      { level: isFull ? burst : 0, at: from, sum: 0 },
    );
    const used = own.filter(({ result }) => result.kind === 'granted').map(({ cost }) => cost);
    return { ideal: ideal.sum, used: used.reduce((x, y) => x + y, 0) };
  });
  const ideal = sums.reduce((sum, row) => sum + row.ideal, 0);
  return sums.reduce((sum, row) => sum + Math.max(0, row.ideal - row.used), 0) / ideal;
}

/** Checks the stated invariant; returns the largest share of the allowance that was used. */
function checkInvariant(
  fleet: QuotaFleet,
  limit: CustomerLimit,
  from: number,
  cutAt: number,
  gateways: number,
): number {
  const { perS, burst } = limit;
  // A request larger than the burst is granted too, so that it is not refused forever.
  const allowance = perS * LEASE_S + Math.max(burst, LARGEST + (perS * HEADROOM_MS) / 1000);
  const shares = [...fleet.limits.keys()].map((customer) => {
    const own = fleet.outcomes.filter((row) => row.customer === customer && row.at >= from);
    const leased = excess(granted(own, false), (at) =>
      at >= cutAt && at < cutAt + CUT_MS ? 2 * perS : perS,
    );
    assert.ok(leased <= allowance + 1, `${customer} used ${leased - allowance} beyond its limit`);
    const alone = granted(own, true);
    [...new Set(alone.map(({ node }) => node))].forEach((node) => {
      const rows = alone.filter((row) => row.node === node);
      const used = excess(rows, () => (0.15 * perS) / gateways);
      assert.ok(used <= LARGEST, `${node} used ${used} without an owner`);
    });
    return leased / allowance;
  });
  return Math.max(...shares);
}

function fleetOf(seed: number, gateways: number, customers: number, regions = 3): QuotaFleet {
  const names = Array.from({ length: regions }, (_, index) => `r${index}`);
  const fleet = new QuotaFleet(seed, gateways, names);
  fleet.limitAll(
    Array.from({ length: customers }, (_, index) => `c${index}`),
    LIMIT,
  );
  return fleet;
}

const FAULTS = ['none', 'cut', 'kill', 'restart', 'add', 'replace', 'lower'] as const;

function newcomers(gateways: number): string[] {
  return Array.from({ length: 3 }, (_, index) => `vm-${gateways + index}`);
}

function applyFault(fleet: QuotaFleet, fault: (typeof FAULTS)[number], gateways: number): void {
  const nodes = [...fleet.processes.keys()];
  // Those that own the most: the first ones of the first customers.
  const victims = ['c0', 'c1', 'c2'].map((customer) => rendezvousOrder(customer, nodes)[0] ?? '');
  if (fault === 'cut') fleet.isolate('r1');
  if (fault === 'kill') victims.forEach((node) => fleet.kill(node));
  if (fault === 'restart') victims.forEach((node) => fleet.start(node));
  if (fault === 'add' || fault === 'replace') {
    newcomers(gateways).forEach((node) => fleet.start(node));
  }
  if (fault === 'lower') {
    const lower = { ...LIMIT, perS: LIMIT.perS / 8, burst: LIMIT.burst / 2 };
    fleet.limitAll([...fleet.limits.keys()], lower);
  }
}

/** Part of the ideal amount that may be refused without a fault, and with a fifth of all messages lost. */
const MAX_LOST = { usual: 0.15, lossy: 0.3 };
const START_MS = 5000;

function play(t: TestContext, gateways: number, runs: number): void {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 1e6 }),
      fc.constantFrom(...FAULTS),
      fc.constantFrom(0, 0.2),
      fc.constantFrom(0.7, 1.5, 4),
      (seed, fault, loss, factor) => {
        const fleet = fleetOf(seed, gateways, 16, gateways > 100 ? 12 : 3);
        fleet.loss = loss;
        fleet.run(START_MS);
        const load = loadOf(fleet, seed, () => factor);
        fleet.run(4000, load);
        const faultAt = fleet.now;
        applyFault(fleet, fault, gateways);
        fleet.run(4500, load);
        // Their predecessors grant again and must not have kept full buckets.
        if (fault === 'replace') newcomers(gateways).forEach((node) => fleet.kill(node));
        fleet.run(4500, load);
        fleet.cuts.clear();
        fleet.run(4000, load);
        const isLowered = fault === 'lower';
        const limit = fleet.limits.get('c0') ?? LIMIT;
        const from = isLowered ? faultAt + WINDOW_MS : 100_000 + START_MS;
        const cutAt = fault === 'cut' ? faultAt : Infinity;
        const share = checkInvariant(fleet, limit, from, cutAt, gateways);
        const lost = lostShare(fleet, limit, from, !isLowered);
        t.diagnostic(
          `${fault}, loss ${loss}, load ${factor}: ${share.toFixed(2)} of the allowance used, ` +
            `${lost.toFixed(3)} refused below the limit`,
        );
        const max = loss > 0 ? MAX_LOST.lossy : MAX_LOST.usual;
        if (fault === 'none') assert.ok(lost <= max, `${lost} was refused below the limit`);
      },
    ),
    { numRuns: runs, seed: 17, endOnFailure: true },
  );
}

// Any loss, partition, restart or lowered limit may make several gateways grant the same amounts.
test('6 gateways together stay within the limits', (t) => play(t, 6, 40));
test('88 gateways together stay within the limits', (t) => play(t, 88, 16));
test('320 gateways together stay within the limits', (t) => play(t, 320, 3));

function grantedSum(outcomes: readonly Outcome[], from: number, to: number): number {
  return outcomes
    .filter(({ at, result }) => at > from && at <= to && result.kind === 'granted')
    .reduce((sum, { cost }) => sum + cost, 0);
}

// Without limits, or with one of each gateway alone, the customers would get what they ask for.
test('16 customers that ask for four times their limits at 88 gateways get their limits', (t) => {
  const fleet = fleetOf(3, 88, 16);
  fleet.run(START_MS);
  const from = fleet.now;
  fleet.sent = { all: 0, asks: 0 };
  fleet.run(
    20_000,
    loadOf(fleet, 3, () => 4),
  );
  const allowed = 16 * (20 * LIMIT.perS + LIMIT.burst);
  const used = grantedSum(fleet.outcomes, from, fleet.now) / allowed;
  const [all = 0, asks = 0] = [fleet.sent.all, fleet.sent.asks].map((sum) => sum / 20 / 88);
  t.diagnostic(
    `${used.toFixed(2)} used; ${all.toFixed(1)} datagrams, ${asks.toFixed(1)} asks per s`,
  );
  assert.ok(used > 0.8 && used <= 1.05, `${used} of the limits was used`);
  assert.ok(asks <= 16, `${asks} asks per s`);
});

// With shares that follow measured demand, the new region would be refused until they have moved.
test('demand that moves to another region is followed within 2 s', (t) => {
  const fleet = fleetOf(4, 88, 4);
  fleet.run(START_MS);
  let region = 'r0';
  const load = loadOf(
    fleet,
    4,
    () => 0.6,
    () => fleet.nodesOf(region),
  );
  fleet.run(10_000, load);
  region = 'r2';
  fleet.run(2000, load);
  const from = fleet.now;
  fleet.run(6000, load);
  const lost = lostShare(fleet, LIMIT, from);
  t.diagnostic(`${lost.toFixed(3)} refused below the limit`);
  assert.ok(lost < 0.1, `${lost} was refused below the limit`);
});

// Callers of a customer whose owner died would be refused until gossip has noticed it.
test('a second gateway takes over from an owner that dies, within 2.5 s', (t) => {
  const fleet = fleetOf(5, 88, 1);
  fleet.run(START_MS);
  const load = loadOf(fleet, 5, () => 0.6);
  fleet.run(5000, load);
  const owners = new Map(fleet.regions.map((region) => [region, fleet.nodesOf(region)]));
  const region = rendezvousOrder('c0', fleet.regions)[0] ?? '';
  const owner = rendezvousOrder('c0', owners.get(region) ?? [])[0] ?? '';
  fleet.kill(owner);
  const diedAt = fleet.now;
  fleet.run(6000, load);
  const first = granted(fleet.outcomes, false).find(({ at }) => at > diedAt + LEASE_S * 1000);
  t.diagnostic(`granted again after ${(first?.at ?? Infinity) - diedAt} ms`);
  assert.ok(first && first.at - diedAt <= 2500);
  fleet.start(owner);
  fleet.run(8000, load);
  checkInvariant(fleet, LIMIT, 0, Infinity, 88);
});

// Gateways beyond a cut link would be refused as long as it lasts, or use the limit a second time.
test('while a link is cut, a deputy grants the part of its region and the owner the rest', (t) => {
  const fleet = fleetOf(6, 88, 1);
  fleet.run(START_MS);
  const load = loadOf(fleet, 6, () => 3);
  fleet.run(5000, load);
  const region = rendezvousOrder('c0', fleet.regions)[0] ?? '';
  const [beyond = ''] = fleet.regions.filter((other) => other !== region);
  fleet.cut(region, beyond);
  const cutAt = fleet.now;
  fleet.run(6000, load);
  const from = fleet.now;
  fleet.run(10_000, load);
  const nodes = fleet.nodesOf(beyond);
  const inside = fleet.outcomes.filter(({ node }) => nodes.includes(node));
  const deputies = grantedSum(granted(inside, false), from, fleet.now) / (10 * LIMIT.perS);
  const all = grantedSum(fleet.outcomes, from, fleet.now) / (10 * LIMIT.perS);
  t.diagnostic(`beyond the cut ${deputies.toFixed(2)} of the rate, everywhere ${all.toFixed(2)}`);
  assert.ok(deputies > 0.2 && deputies < 0.45, `${deputies} of the rate`);
  fleet.cuts.clear();
  fleet.run(6000, load);
  checkInvariant(fleet, LIMIT, 0, cutAt, 88);
});

// 25,000 customers must not leave state behind in each gateway.
test('state is bounded with 25,000 customers', () => {
  const fleet = fleetOf(7, 320, 25_000, 12);
  const names = [...fleet.limits.keys()];
  const source = seededRandom(7);
  fleet.run(START_MS);
  fleet.run(5000, () =>
    Array.from({ length: 23 }, () => ({
      customer: names[Math.floor(source.next() * names.length)] ?? '',
      cost: 5000,
      node: `vm-${Math.floor(source.next() * 320)}`,
    })),
  );
  const sizes = [...fleet.processes.values()].map(({ quota }) => quota.sizes);
  assert.ok(sizes.every(({ accounts = 0, buckets = 0 }) => accounts < 300 && buckets < 300));
  fleet.run(14_000);
  const after = [...fleet.processes.values()].map(({ quota }) => quota.sizes);
  assert.ok(
    after.every(
      ({ accounts, leases, returns, waiting }) => !accounts && !leases && !returns && !waiting,
    ),
  );
});

// A caller that comes back when it was told must not be refused again for the same reason.
test('a refused request finds credit at the time it was told', () => {
  const fleet = fleetOf(8, 6, 1);
  fleet.run(START_MS);
  const request = { customer: 'c0', cost: LARGEST, node: 'vm-1' };
  fleet.request(request);
  fleet.run(400);
  fleet.request(request);
  fleet.run(400);
  const [, { result } = assert.fail()] = fleet.outcomes;
  assert.ok(result.kind === 'refused' && result.retryAfterMs > 0 && result.retryAfterMs < 3000);
  fleet.run(Math.ceil(result.retryAfterMs / 10) * 10);
  fleet.request(request);
  fleet.run(400);
  assert.deepEqual(
    fleet.outcomes.map((outcome) => outcome.result.kind),
    ['granted', 'refused', 'granted'],
  );
});

// Requests larger than the burst would be refused forever, and refunds would be charged twice.
test('a request larger than the burst is granted, and what did not run is put back', () => {
  const owner = new QuotaOwner();
  const limit = { ...LIMIT, burst: 10_000 };
  const ask = (number: number, first: number, now: number): number =>
    owner.ask(
      'vm-1',
      { customer: 'c0', number, first, need: first, want: first },
      { limit, share: 1, ownerSince: 0 },
      now,
    ).amount;
  assert.equal(ask(1, 50_000, 10_000), 50_000);
  assert.equal(ask(1, 50_000, 10_000), 50_000, 'a row sent again is not charged again');
  assert.equal(ask(2, 100, 10_900), 0, 'the bucket is in debt');
  owner.giveBack('vm-1', { customer: 'c0', number: 1, amount: undefined }, 10_900);
  owner.giveBack('vm-1', { customer: 'c0', number: 1, amount: undefined }, 10_900);
  assert.equal(ask(3, 10_000, 10_900), 10_000);
  assert.equal(ask(4, 10_000, 10_900), 0, 'a lease is returned once');
  const account = new QuotaAccount(0);
  const row = { customer: 'c0', number: 1, first: 500, need: 500, want: 500 };
  account.onAsked(row, 'vm-2', 0);
  const answer = { customer: 'c0', number: 1, granting: true, shortMs: 0, waitMs: 0 };
  account.onGrant({ ...answer, amount: 500 }, 100);
  const charge = account.take(500, 100);
  assert.equal(account.balance(100), 0);
  charge?.refund(200);
  charge?.refund(200);
  assert.equal(account.balance(200), 500);
  assert.equal(account.balance(1000), 0, 'leases expire 1 s after they were asked for');
});

/** An owner with a burst of 10,000 that hardly refills, and an account that leases from it. */
function leasing() {
  const owner = new QuotaOwner();
  const limit = { ...LIMIT, perS: 0.001, burst: 10_000 };
  const share = { limit, share: 1, ownerSince: -1e10 };
  const account = new QuotaAccount(0);
  let number = 0;
  const lease = (first: number, want: number, now: number): number => {
    number += 1;
    const row = { customer: 'c0', number, first, need: first, want };
    account.onAsked(row, 'vm-1', now);
    const answer = owner.ask('vm-7', row, share, now);
    account.onGrant({ customer: 'c0', number, granting: true, ...answer }, now);
    return answer.amount;
  };
  /** Returns what the account does not need, each datagram twice. */
  const giveBack = (now: number): void => {
    const unused = account.expire('vm-1', now);
    [...unused, ...unused].forEach((part) =>
      owner.giveBack('vm-7', { customer: 'c0', ...part }, now),
    );
  };
  /** What another gateway gets; amounts that were refused are reserved for 5.5 s. */
  const rest = (now: number): number => {
    const row = { customer: 'c0', number: 1, first: 1, need: 20_000, want: 20_000 };
    return owner.ask('vm-8', row, share, now).amount;
  };
  return { account, lease, giveBack, rest };
}

// Guards against a customer who loses what did not run, as the rest of its lease was returned before.
test('a refund from a lease whose rest was returned goes to the customer, and once only', () => {
  const { account, lease, giveBack, rest } = leasing();
  assert.equal(lease(10_000, 10_000, 0), 10_000);
  const charge = account.take(6000, 10);
  giveBack(20);
  assert.equal(account.balance(20), 0, 'the rest of the lease is returned');
  charge?.refund(30);
  charge?.refund(30);
  assert.equal(account.balance(30), 6000);
  giveBack(40);
  giveBack(50);
  assert.equal(account.balance(50), 0);
  assert.equal(rest(6000), 10_000);
});

// Guards against amounts that two requests use, and against ones that nobody can use any more.
test('whatever is taken, refunded and returned within a second, nothing is lost or given twice', () => {
  const step = fc.record({
    kind: fc.constantFrom('lease', 'take', 'refund', 'return'),
    amount: fc.integer({ min: 1, max: 6000 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const { account, lease, giveBack, rest } = leasing();
      const charges: { cost: number; refund(now: number): void }[] = [];
      steps.forEach(({ kind, amount }, now) => {
        if (kind === 'lease') lease(amount, amount + 1000, now);
        if (kind === 'take') {
          const charge = account.take(amount, now);
          if (charge) charges.push({ cost: amount, refund: (at) => charge.refund(at) });
        }
        if (kind === 'refund') charges.splice(0, 1).forEach((charge) => charge.refund(now));
        if (kind === 'return') giveBack(now);
      });
      const used = charges.reduce((sum, { cost }) => sum + cost, 0);
      giveBack(1100);
      assert.equal(rest(7000) + used, 10_000);
    }),
    { numRuns: 1000, seed: 47 },
  );
});

// A second gateway that is asked only because messages were lost would grant the limit once more.
test('a gateway counts as dead after five pings in 1 s without an answer or a heartbeat', () => {
  const pingFor = (peers: QuotaPeers, durationMs: number): void =>
    Array.from({ length: durationMs / 50 }, (_, index) => index * 50).forEach((now) => {
      peers.probe('vm-1', now);
      peers.due(now);
    });
  const peers = new QuotaPeers();
  pingFor(peers, 900);
  assert.equal(peers.isDead('vm-1', -Infinity, 950), false);
  assert.equal(peers.isDead('vm-1', -Infinity, 1000), true);
  assert.equal(peers.isDead('vm-1', 500, 1000), false, 'gossip has a newer heartbeat');
  peers.onHeard('vm-1', 'r0', 1000);
  assert.equal(peers.isDead('vm-1', -Infinity, 1050), false);
});

test('a request costs its tokens, the plain amount, or 1, and nothing without a limit', () => {
  const prompt = { promptTokens: 300, maxOutputTokens: 200 };
  assert.equal(costOf(LIMIT, prompt), 500);
  assert.equal(costOf(LIMIT, undefined), 1000);
  assert.equal(costOf({ ...LIMIT, unit: 'requests' }, prompt), 1);
  assert.equal(costOf(undefined, prompt), 0);
  assert.equal(costOf({ ...LIMIT, perS: 0 }, prompt), 0);
});

// Guards against an amount that is used and then given back because its grant arrives twice.
test('a second answer to an ask gives nothing back, also after the lease has expired', () => {
  const account = new QuotaAccount(0);
  const row = { customer: 'acme', number: 1, first: 6000, need: 6000, want: 6000 };
  const grant = {
    customer: 'acme',
    number: 1,
    granting: true,
    amount: 6000,
    shortMs: 0,
    waitMs: 0,
  };
  account.onAsked(row, 'vm-1', 0);
  assert.equal(account.onGrant(grant, 100), true);
  assert.ok(account.take(6000, 110));
  assert.deepEqual(account.expire('vm-1', 1100), []);
  assert.equal(account.onGrant(grant, 1300), true);
});

// Guards against customers without an owner while gateways of the previous release are alive.
test('a live gateway that never answers these messages is replaced after some seconds', () => {
  const peers = new QuotaPeers();
  const ping = (from: number, to: number): void =>
    Array.from({ length: (to - from) / 100 }, (_, index) => from + index * 100).forEach((now) => {
      peers.probe('vm-1', now);
      peers.due(now);
    });
  ping(0, 2900);
  assert.equal(peers.isDead('vm-1', 2800, 2900), false);
  ping(2900, 3200);
  assert.equal(peers.isDead('vm-1', 3100, 3200), true);
  peers.onHeard('vm-1', 'north', 3200);
  ping(3200, 8000);
  assert.equal(peers.isDead('vm-1', 7900, 8000), false);
});

// Guards against requests that are free, or that use up a limit, by a size that is none.
test('a request costs a finite amount whatever size it names', () => {
  const sizes = [-5, 0, Number.NaN, Infinity];
  sizes.forEach((promptTokens) =>
    assert.equal(costOf(LIMIT, { promptTokens, maxOutputTokens: 0 }), LIMIT.plainTokens),
  );
});
