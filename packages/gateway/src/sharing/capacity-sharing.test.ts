import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ANY_REGION,
  seededRandom,
  type FleetConfig,
  type FleetCustomer,
  type Prompt,
} from '@marjoramcart/core';
import { ManualTimerService, Metrics, silentLogger, type Logger } from '@marjoramcart/runtime';
import { fromDemandWireRow, toDemandWireRow, type DemandRow } from './packed-demand.js';
import { CapacitySharing } from './capacity-sharing.js';

const SERVICE = 'chat';
/** Bound of the control traffic of this part for each process. */
const MAX_BYTES_PER_S = 1000;
const MESSAGES_PER_S = 4;
/** Bound of the customers with labels of their own, and one label for all others. */
const MAX_LABELS = 21;

function customerOf(name: string): FleetCustomer {
  return { name, keyDigests: [], regions: ANY_REGION };
}

function configWith(customers: readonly string[]): FleetConfig {
  return {
    version: 1,
    routes: [],
    services: new Map([[SERVICE, { name: SERVICE, warmupMs: 0, coldRequestsPerS: 0 }]]),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 },
    ...(customers.length > 0
      ? { customers: new Map(customers.map((name) => [name, customerOf(name)])) }
      : {}),
  };
}

function promptOf(tokens: number): Prompt {
  return { segments: [], promptTokens: tokens, maxOutputTokens: 0, expectedOutputTokens: 0 };
}

class TestGateway {
  readonly metrics = new Metrics();

  readonly logged: string[] = [];

  readonly sharing: CapacitySharing;

  constructor(
    readonly timers: ManualTimerService,
    customers: readonly string[] = ['hot', 'calm'],
    gateways = 2,
  ) {
    const config = configWith(customers);
    const log: Logger = { ...silentLogger(), info: (message) => this.logged.push(message) };
    this.sharing = new CapacitySharing({
      config: () => config,
      gateways: () => gateways,
      timers,
      random: seededRandom(3),
      metrics: this.metrics,
      log,
    });
  }

  start(
    customer: string | undefined,
    tokens = 100,
    rest: Partial<Parameters<CapacitySharing['start']>[0]> = {},
  ) {
    const now = this.timers.now();
    return this.sharing.start({
      service: SERVICE,
      forwardedBy: undefined,
      head: { prompt: promptOf(tokens) },
      facts: { deadlineAt: now + 4000 } as never,
      ...(customer === undefined ? {} : { customer: customerOf(customer) }),
      ...rest,
    });
  }

  /** Lets a customer send requests of which half are too late at the targets. */
  overload(customer: string, count: number): void {
    Array.from({ length: count }, (_, index) => index).forEach((index) => {
      const shared = this.start(customer);
      if (!shared || shared.refusal) return;
      if (index % 2 === 0) shared.onAttempt();
      else shared.onOverload();
    });
  }

  refusedOf(customer: string, count: number, tokens = 100): number {
    const requests = Array.from({ length: count }, () => this.start(customer, tokens));
    return requests.filter((shared) => shared?.refusal !== undefined).length;
  }
}

/** A gateway at which `hot` asks for nine times as much as `calm`, and half of it is too late. */
function shortGateway(timers = new ManualTimerService()): TestGateway {
  const gateway = new TestGateway(timers);
  gateway.overload('hot', 90);
  gateway.overload('calm', 10);
  timers.advance(200);
  gateway.sharing.check();
  return gateway;
}

function sent(rows: readonly DemandRow[]): DemandRow[] {
  const wire = JSON.parse(JSON.stringify(rows.map(toDemandWireRow))) as never[];
  return wire.map(fromDemandWireRow).filter((row) => row !== undefined);
}

test('a service that is short refuses requests of the hot customer, and one line tells of it', () => {
  const gateway = shortGateway();
  assert.ok(gateway.refusedOf('hot', 100) > 20);
  assert.equal(gateway.refusedOf('calm', 10), 0);
  assert.deepEqual(gateway.logged, ['service is short, its capacity is divided']);
  const refusal = Array.from({ length: 50 }, () => gateway.start('hot')).find(
    (shared) => shared?.refusal,
  )?.refusal;
  assert.ok(refusal && refusal.retryAfterMs >= 100 && refusal.retryAfterMs <= 800);
});

// Guards against a large request that is measured against a demand which contains itself.
test('a large prompt of a customer below its level passes as its small ones do', () => {
  assert.equal(shortGateway().refusedOf('calm', 1, 1_000_000), 0);
});

test('forwards, resumed streams and requests without a customer are neither refused nor counted', () => {
  const gateway = shortGateway();
  assert.equal(gateway.start('hot', 100, { forwardedBy: 'vm-2' }), undefined);
  assert.equal(gateway.start('hot', 100, { head: { resumeAfter: 3 } }), undefined);
  assert.equal(gateway.start(undefined), undefined);
});

test('without customers in the configuration nothing is refused or told', () => {
  const gateway = new TestGateway(new ManualTimerService(), []);
  gateway.overload('hot', 100);
  assert.equal(gateway.start('hot'), undefined);
  assert.deepEqual(gateway.sharing.rows(), []);
  gateway.sharing.onRows('vm-2', sent(shortGateway().sharing.rows()));
  gateway.sharing.check();
  assert.deepEqual(gateway.logged, []);
});

test('a gateway learns from another one that a service is short, and forgets it when that is silent', () => {
  const timers = new ManualTimerService();
  const other = new TestGateway(timers);
  Array.from({ length: 10 }, () => other.start('hot')?.onAttempt());
  assert.deepEqual(other.sharing.rows(), []);
  other.sharing.onRows('vm-1', sent(shortGateway(timers).sharing.rows()));
  timers.advance(200);
  other.sharing.check();
  assert.ok(other.refusedOf('hot', 100) > 20);
  assert.equal(other.sharing.rows()[0]?.service, SERVICE);
  // 20 s without messages and requests.
  Array.from({ length: 80 }, () => {
    timers.advance(250);
    other.sharing.check();
    return undefined;
  });
  assert.deepEqual(other.logged.slice(-1), ['service has enough again']);
  assert.equal(other.refusedOf('hot', 1), 0);
});

test('demand for services that the configuration does not have is dropped', () => {
  const gateway = new TestGateway(new ManualTimerService());
  const [row] = sent(shortGateway().sharing.rows());
  assert.ok(row);
  gateway.sharing.onRows('vm-2', [{ ...row, service: 'unknown' }]);
  gateway.sharing.check();
  assert.deepEqual(gateway.logged, []);
});

test('messages stay within the budget, at 16 and at 25,000 customers', () => {
  const bytesPerS = (count: number): number => {
    const names = Array.from({ length: count }, (_, index) => `customer-${index}`);
    const gateway = new TestGateway(new ManualTimerService(), names);
    names.forEach((name) => gateway.start(name, 100_000)?.onOverload());
    const rows = gateway.sharing.rows();
    assert.equal(rows.length, 1);
    return MESSAGES_PER_S * JSON.stringify({ d: rows.map(toDemandWireRow) }).length;
  };
  assert.ok(bytesPerS(16) < MAX_BYTES_PER_S, `${bytesPerS(16)}`);
  // Four more customers than at 16, whatever their number.
  assert.ok(bytesPerS(25_000) < MAX_BYTES_PER_S, `${bytesPerS(25_000)}`);
});

test('metrics name the 20 largest customers of 25,000', async () => {
  const timers = new ManualTimerService();
  const names = Array.from({ length: 25_000 }, (_, index) => `customer-${index}`);
  const gateway = new TestGateway(timers, names);
  names.forEach((name) => gateway.start(name)?.onAttempt());
  // The largest of all sends after those that took the labels first.
  names.slice(100, 120).forEach((name) => gateway.start(name, 50_000)?.onAttempt());
  timers.advance(60_000);
  gateway.sharing.check();
  names.slice(90, 130).forEach((name) => gateway.start(name)?.onAttempt());
  const text = await gateway.metrics.text();
  const labels = new Set(
    [...text.matchAll(/sharing_work_total\{customer="([^"]+)"/g)].map(([, label]) => label),
  );
  assert.ok(labels.size <= MAX_LABELS, `${labels.size}`);
  assert.deepEqual([...labels].sort(), [...names.slice(100, 120), 'other'].sort());
});

test('a row of a message that is cut off or of another form is ignored', () => {
  const [row] = shortGateway().sharing.rows();
  assert.ok(row);
  const [service, packed] = toDemandWireRow(row);
  assert.equal(fromDemandWireRow([service, packed.slice(0, 8)]), undefined);
  assert.equal(fromDemandWireRow([service, packed.slice(0, -4)])?.demand.customers.length, 1);
});
