import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  GatewayTable,
  seededRandom,
  type FleetConfig,
  type FleetCustomer,
  type GatewayRecord,
  type QuotaMessage,
} from '@marjoramcart/core';
import { ManualTimerService, Metrics, type Logger } from '@marjoramcart/runtime';
import { GossipTask, type GossipListener } from '../peers/gossip-task.js';
import { decodeNotification, encodeNotification } from '../peers/notification.js';
import type { GatewaySettings } from '../settings.js';
import { decodeQuotaMessage, encodeQuotaMessage } from './quota-message.js';
import { QuotaTask, type QuotaDecision } from './quota-task.js';

const TARGET_MS = 1200;

interface Line {
  readonly message: string;
  readonly fields: unknown;
}

function logTo(lines: Line[]): Logger {
  const write = (message: string, fields?: unknown): void => {
    lines.push({ message, fields });
  };
  const log = { debug: write, info: write, warn: write, error: write, child: () => log };
  return log;
}

function configOf(names: readonly string[], perS: number): FleetConfig {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 };
  const limit = { unit: 'requests', perS, burst: perS, plainTokens: 0 } as const;
  const customers = names.map((name): [string, FleetCustomer] => [
    name,
    { name, keyDigests: [], limit, regions: { kind: 'any' } },
  ]);
  return { version: 1, routes: [], services: new Map(), limits, customers: new Map(customers) };
}

/** Gateways of one region whose datagrams arrive at once. */
class Pair {
  readonly timers = new ManualTimerService();

  readonly lines: Line[] = [];

  readonly metrics = new Metrics();

  config: FleetConfig;

  sent = 0;

  readonly tasks: QuotaTask[];

  constructor(names: readonly string[], perS: number) {
    this.config = configOf(names, perS);
    this.tasks = ['vm-0', 'vm-1'].map((node, index) => {
      const table = new GatewayTable(node);
      this.timers.every(100, () => table.mergeRecord(this.recordOf(1 - index), this.timers.now()));
      return new QuotaTask({
        settings: {
          node,
          region: 'north',
          regionOfDomain: new Map([['north-1', 'north']]),
          customers: { required: true, revokeMs: 5000, revokeFailClosed: false, limitSlack: 0 },
        },
        table,
        config: () => this.config,
        send: (message, ip) => this.deliver(message, ip),
        timers: this.timers,
        random: seededRandom(index),
        metrics: index === 0 ? this.metrics : new Metrics(),
        log: logTo(this.lines),
      });
    });
    this.tasks.map((task) => task.start());
    this.timers.advance(4000);
  }

  /** @param pauseMs time until the next request; longer than a request waits for credit by default */
  async take(index: number, customer: string, pauseMs = 700): Promise<QuotaDecision> {
    const decision = this.tasks[index]?.take({
      customer,
      cost: 1,
      latencyTargetMs: TARGET_MS,
      remainingMs: 4000,
    });
    this.timers.advance(pauseMs);
    return decision ?? assert.fail();
  }

  private deliver(message: QuotaMessage, ip: string): void {
    this.sent += 1;
    const decoded = decodeQuotaMessage(decodeNotification(encodeQuotaMessage(message)));
    this.tasks[Number(ip)]?.onMessage(decoded ?? assert.fail(), message.from.slice(3));
  }

  private recordOf(index: number): GatewayRecord {
    return {
      node: `vm-${index}`,
      bootAt: 1,
      heartbeat: Math.round(this.timers.now()),
      phase: 'ready',
      region: 'north',
      failureDomain: 'north-1',
      ip: String(index),
      configVersion: 1,
      revision: 1,
    };
  }
}

// Each gateway alone would grant the whole limit, and callers would not know when to return.
test('two gateways share a limit, and refuse with the time at which credit is available', async () => {
  const pair = new Pair(['acme'], 1);
  const decisions = [
    await pair.take(0, 'acme', 100),
    await pair.take(1, 'acme'),
    await pair.take(1, 'acme'),
  ];
  assert.deepEqual(
    decisions.map(({ kind }) => kind),
    ['granted', 'refused', 'granted'],
  );
  const [, refused] = decisions;
  assert.ok(
    refused?.kind === 'refused' && refused.retryAfterMs > 0 && refused.retryAfterMs <= 1000,
  );
  const [row] = pair.tasks[1]?.status() ?? [];
  assert.deepEqual(row, { customer: 'acme', used: 1, ownerless: 0, refused: 1, limitPerS: 1 });
});

// A request that another part refuses without running it would be charged twice when it returns.
test('what did not run is put back', async () => {
  const pair = new Pair(['acme'], 1);
  const first = await pair.take(0, 'acme');
  assert.ok(first.kind === 'granted');
  first.refund();
  assert.equal((await pair.take(0, 'acme')).kind, 'granted');
});

test('nothing is sent for a deployment without limits', async () => {
  const pair = new Pair([], 1);
  assert.equal((await pair.take(0, 'acme')).kind, 'granted');
  assert.equal(pair.sent, 0);
});

// A customer far over its limit, or very many of them, would fill the log and the metrics.
test('log lines and metric labels are bounded with many customers over their limits', async () => {
  const names = Array.from({ length: 2000 }, (_, index) => `c${index}`);
  const pair = new Pair(names, 0.001);
  names.concat(names).forEach((customer) => {
    void pair.tasks[0]?.take({ customer, cost: 1, latencyTargetMs: TARGET_MS, remainingMs: 4000 });
  });
  pair.timers.advance(400);
  await Promise.resolve();
  const lines = pair.lines.filter(({ message }) => message === 'customer is over its limit');
  assert.equal(lines.length, 20);
  const text = await pair.metrics.text();
  const labels = new Set(
    [...text.matchAll(/quota_units_total\{customer="([^"]+)"/g)].map(([, l]) => l),
  );
  assert.ok(labels.size === 21 && labels.has('other'), `${labels.size} labels`);
});

test('a message loses nothing when it is encoded and decoded', () => {
  const from = { from: 'vm-1', region: 'north' };
  const row = { customer: 'acme', number: 7, first: 5, need: 6, want: 9 };
  const returns = [
    { customer: 'acme', number: 3, amount: 4 },
    { customer: 'acme', number: 4, amount: undefined },
  ];
  const granted = { customer: 'acme', number: 7, amount: 6, shortMs: 20, waitMs: 30 };
  const all: QuotaMessage[] = [
    { ...from, kind: 'ask', rows: [row], returns },
    { ...from, kind: 'ask', rows: [], returns: [] },
    { ...from, kind: 'grant', rows: [{ ...granted, granting: true }] },
    { ...from, kind: 'grant', rows: [{ ...granted, granting: false }] },
    { ...from, kind: 'ping', deputyFor: ['south'], insteadOf: ['vm-2'] },
    { ...from, kind: 'ping', deputyFor: [], insteadOf: [] },
    { ...from, kind: 'pong' },
  ];
  all.forEach((message) => {
    assert.deepEqual(decodeQuotaMessage(decodeNotification(encodeQuotaMessage(message))), message);
  });
});

// A datagram of another program, or of a later release, must not stop gossip or fill the log.
test('malformed messages cost one short log line each', async () => {
  const lines: Line[] = [];
  const received: QuotaMessage[] = [];
  let receive: (datagram: Buffer, ip: string) => void = () => undefined;
  const timers = new ManualTimerService();
  const gossip = new GossipTask(
    { node: 'vm-0', ip: '0', region: 'north', seedIps: [] } as unknown as GatewaySettings,
    timers,
    seededRandom(1),
    logTo(lines),
    () => assert.fail(),
    {
      onQuotaMessage: (message: QuotaMessage) => received.push(message),
    } as unknown as GossipListener,
    {
      open: (onDatagram) => {
        receive = onDatagram;
        return Promise.resolve();
      },
      send: () => undefined,
      close: () => Promise.resolve(),
    },
  );
  await gossip.start();
  const row = ['acme', 1, 2, 3, 4];
  const malformed = [
    { f: 'vm-1', r: 'north', a: [['acme', 1, -2, 3, 4]] },
    { f: 'vm-1', r: 'north', a: [['acme', 1, 'much', 3, 4]] },
    { f: 'vm-1', r: 'north', a: Array.from({ length: 1000 }, () => row) },
    { f: 'vm-1' },
  ];
  malformed.forEach((params) => receive(encodeNotification('quota.ask', params), '1'));
  receive(Buffer.from('{"method":"quota.grant"}'), '1');
  assert.equal(received.length, 0);
  assert.equal(lines.length, malformed.length + 1);
  lines.forEach(({ fields }) => {
    const { err } = fields as { err: Error };
    assert.ok(err.message.length < 60, err.message);
  });
  const params = { f: 'vm-1', r: 'north', a: [row], later: 'ignored' };
  receive(encodeNotification('quota.ask', params), '1');
  assert.equal(received.length, 1, 'fields of a later release are ignored');
  await gossip.stop();
});
