import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GatewayRoster } from '../membership/gateway-roster.js';
import { GatewayPhase, GatewayTable, type GatewayRecord } from '../membership/gateway-table.js';
import { RateShares } from './rate-shares.js';
import { RateSharers, type OwnReach } from './rate-sharers.js';
import { requestsWithinLimit } from './target-limits.js';

const LIMIT_PER_S = 20;
const WINDOW_S = 4;
const NAMES = ['vm-1', 'vm-2', 'vm-3'];

function record(node: string, heartbeat: number, reachChanges: number): GatewayRecord {
  const place = { region: 'north', failureDomain: 'a', ip: '10.0.0.1' };
  const state = { phase: GatewayPhase.Ready, configVersion: 1, revision: 1 };
  return {
    ...place,
    ...state,
    node,
    bootAt: 1000,
    heartbeat,
    reachChanges,
    cutOff: reachChanges % 2 === 1,
  };
}

class Region {
  now = 10_000;

  heartbeat = 0;

  reach: OwnReach = { isCutOff: false };

  private readonly table = new GatewayTable('vm-1');

  private readonly roster = new GatewayRoster('vm-1', 0);

  readonly sharers = new RateSharers({
    roster: this.roster,
    table: this.table,
    reach: () => this.reach,
    now: () => this.now,
  });

  private readonly shares = new RateShares('vm-1', this.sharers, {
    spareGateways: 0,
    dividesRest: true,
  });

  constructor() {
    this.roster.onContact();
    this.roster.merge(
      NAMES.map((node) => ({ node, ageMs: 0 })),
      this.now,
    );
    this.tell(['vm-2', 'vm-3'], 0);
  }

  tell(nodes: readonly string[], reachChanges: number): void {
    this.heartbeat += 1;
    nodes.forEach((node) =>
      this.table.mergeRecord(record(node, this.heartbeat, reachChanges), this.now),
    );
  }

  /** Lets time pass in which the other gateways send heartbeats. */
  pass(ms: number, reachChanges: number): void {
    this.now += ms;
    this.tell(['vm-2', 'vm-3'], reachChanges);
  }

  get share(): number {
    return this.sharers.mayUseShare() ? this.shares.of('i-1', requestsWithinLimit(LIMIT_PER_S)) : 0;
  }
}

// Guards against a rate of which only a third can be used when two of three gateways reach no target.
test('the only gateway of a region that reaches its targets uses all of their rates', () => {
  const region = new Region();
  const third = region.share;
  region.pass(1000, 1);
  assert.equal(region.share, third, 'what the others sent before still counts at the target');
  region.pass(2200, 1);
  region.pass(2200, 1);
  assert.ok(region.share > 2.5 * third);
  assert.ok(region.share <= LIMIT_PER_S * WINDOW_S * 1.5 + 5);
  region.pass(100, 2);
  region.now += 300;
  assert.equal(region.share, third);
});

// Guards against gateways that together exceed a rate when one of them gets its links back.
test('a gateway that was cut off waits until the others count it again', () => {
  const region = new Region();
  const third = region.share;
  region.reach = { isCutOff: true };
  assert.equal(region.share, 0);
  region.reach = { isCutOff: false, lastCut: { endedAt: region.now, durationMs: 8000 } };
  region.pass(2900, 0);
  assert.equal(region.share, 0);
  region.pass(200, 0);
  assert.equal(region.share, third);
  // The others have not left it out for a short cut.
  region.reach = { isCutOff: false, lastCut: { endedAt: region.now, durationMs: 1000 } };
  assert.equal(region.share, third);
});

// Guards against a share that two gateways use when the messages of one that is cut off stay away.
test('a gateway that is cut off and falls silent shares again', () => {
  const region = new Region();
  const third = region.share;
  region.tell(['vm-2', 'vm-3'], 1);
  region.pass(2500, 1);
  region.pass(2500, 1);
  assert.ok(region.share > third);
  region.now += 3500;
  assert.equal(region.share, third);
});
