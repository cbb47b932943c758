import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { shareOf } from '../fleet/shared-rate.js';
import { seededRandom, type RandomSource } from '../random-source.js';
import { GatewayRoster } from './gateway-roster.js';

const TICK_MS = 250;
const SEEDS = 3;
const RATE = { requests: 6, spareGateways: 1 } as const;

/** Gateways that exchange rosters over a network that loses messages. */
class RosterNetwork {
  private now = 0;

  private readonly rosters = new Map<string, GatewayRoster>();

  constructor(
    private readonly nodes: readonly string[],
    private readonly lossRate: number,
    private readonly random: RandomSource,
  ) {
    nodes.forEach((node) => this.restart(node));
  }

  restart(node: string): void {
    this.rosters.set(node, new GatewayRoster(node, this.now));
  }

  run(ticks: number, check: () => void): void {
    Array.from({ length: ticks }).forEach(() => {
      this.now += TICK_MS;
      this.nodes.forEach((node) => {
        const peers = [...this.roster(node).names, ...this.nodes.slice(0, SEEDS)].filter(
          (name) => name !== node,
        );
        const peer = peers[Math.floor(this.random.next() * peers.length)];
        if (peer !== undefined) this.send(node, peer, false);
      });
      check();
    });
  }

  /** Gateways that may send to a cold target. */
  senders(target: string): number {
    return this.nodes.filter((self) => {
      const roster = this.roster(self);
      if (!roster.isComplete(this.now)) return false;
      return shareOf(target, self, { ...RATE, gateways: roster.names }) > 0;
    }).length;
  }

  get allComplete(): boolean {
    return this.nodes.every((node) => {
      const roster = this.roster(node);
      return roster.isComplete(this.now) && roster.size === this.nodes.length;
    });
  }

  private roster(node: string): GatewayRoster {
    return this.rosters.get(node) as GatewayRoster;
  }

  private send(from: string, to: string, withMembers: boolean): void {
    if (this.random.next() < this.lossRate) return;
    const { now } = this;
    const sender = this.roster(from);
    const receiver = this.roster(to);
    receiver.onContact();
    receiver.merge([{ node: from, ageMs: 0 }], now);
    receiver.merge(withMembers ? sender.members(now) : [], now);
    if (receiver.onSummary(sender.summary(now), now)) this.send(to, from, true);
  }
}

// Guards against restarted gateways that divide the rate of a cold target by an incomplete roster.
test('few gateways may send to a cold target while any of them restart, and all know each other soon', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 7, max: 40 }),
      fc.double({ min: 0, max: 0.3, noNaN: true }),
      fc.double({ min: 0.05, max: 1, noNaN: true }),
      fc.integer({ min: 1, max: 1_000_000 }),
      (count, lossRate, restartedShare, seed) => {
        const nodes = Array.from({ length: count }, (_, index) => `vm-${index}`);
        const random = seededRandom(seed);
        const network = new RosterNetwork(nodes, lossRate, random);
        const check = (): void => {
          const senders = network.senders('t1');
          assert.ok(senders <= RATE.requests, `${senders} senders`);
        };
        network.run(40, check);
        assert.ok(network.allComplete);
        nodes.filter(() => random.next() < restartedShare).forEach((node) => network.restart(node));
        network.run(40, check);
        assert.ok(network.allComplete);
      },
    ),
    { seed: 20261, numRuns: 100 },
  );
});

test('a gateway without contact to others has no complete roster', () => {
  const roster = new GatewayRoster('vm-1', 0);
  assert.equal(roster.isComplete(60_000), false);
});

test('a gateway that is the only one of its region completes its roster by itself', () => {
  const roster = new GatewayRoster('vm-1', 0);
  roster.onContact();
  assert.equal(roster.isComplete(1000), false);
  assert.equal(roster.isComplete(10_000), true);
});

test('a gateway that rejoins is complete with the first answer of a complete one', () => {
  const complete = new GatewayRoster('vm-1', 0);
  complete.merge([{ node: 'vm-2', ageMs: 0 }], 0);
  complete.onContact();
  const rejoining = new GatewayRoster('vm-2', 10_000);
  rejoining.merge(complete.members(10_100), 10_100);
  assert.equal(rejoining.onSummary(complete.summary(10_100), 10_100), false);
  assert.equal(rejoining.isComplete(10_100), true);
});

test('members are removed some time after their last sign of life', () => {
  const roster = new GatewayRoster('vm-1', 0);
  roster.merge([{ node: 'vm-2', ageMs: 0 }], 0);
  roster.expire(599_000);
  assert.equal(roster.size, 2);
  roster.expire(601_000);
  assert.equal(roster.size, 1);
});
