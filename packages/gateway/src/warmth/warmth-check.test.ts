import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ANY_REGION, RouteKind, type FleetConfig, type TargetRecord } from '@marjoramcart/core';
import { ManualTimerService, Metrics, silentLogger } from '@marjoramcart/runtime';
import { GatewayState } from '../state/gateway-state.js';
import { StateMetrics } from '../state/state-metrics.js';
import { Contact } from './touch.js';
import { WarmthCheck, type WarmthRow } from './warmth-check.js';

const SERVICE = 'plain';
const STEP_MS = 100;
const TARGET: TargetRecord = {
  id: 'i-1',
  service: SERVICE,
  address: '10.0.0.1:80',
  failureDomain: 'north-a',
  region: 'north',
  slots: 8,
  draining: false,
  coldForMs: 0,
  bornAt: 5,
};
const CONFIG: FleetConfig = {
  version: 1,
  routes: [
    {
      name: 'read',
      host: 'api.example',
      prefix: '/',
      kind: RouteKind.Repeatable,
      timeoutMs: 1000,
      latencyTargetMs: 100,
      patienceMs: 1000,
      priority: 0,
      services: [{ service: SERVICE, weight: 1 }],
      maxAttempts: 1,
      resumable: false,
      regions: ANY_REGION,
    },
  ],
  services: new Map([
    [SERVICE, { name: SERVICE, warmupMs: 3000, coldRequestsPerS: 2, healthPath: '/healthz' }],
  ]),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 },
};

interface Fixture {
  readonly timers: ManualTimerService;
  readonly state: GatewayState;
  readonly check: WarmthCheck;
  readonly announced: WarmthRow[];
  contact: Contact;
  /** What the targets answer; undefined if nothing. */
  coldForMs: number | undefined;
  readonly asked: string[];
}

async function createFixture(targets: readonly TargetRecord[] = [TARGET]): Promise<Fixture> {
  const timers = new ManualTimerService();
  const state: GatewayState = new GatewayState(
    'north',
    timers,
    silentLogger(),
    new StateMetrics(new Metrics(), () => state),
    () => undefined,
  );
  state.onState({ era: 0, revision: 1, config: CONFIG, targets, evacuated: new Set() });
  // They count as restarted at first.
  state.localTargets().forEach((entry) => entry.confirmStart(timers.now(), timers.now()));
  const told: Pick<Fixture, 'contact' | 'coldForMs'> = {
    contact: Contact.InTouch,
    coldForMs: 0,
  };
  const asked: string[] = [];
  const announced: WarmthRow[] = [];
  const check = new WarmthCheck({
    node: 'vm-1',
    state,
    touch: { contact: () => told.contact },
    poller: {
      coldForMs: ({ id }) => {
        asked.push(id);
        return Promise.resolve(told.coldForMs);
      },
    },
    timers,
    log: silentLogger(),
    gateways: () => ['vm-1'],
    announce: (rows) => announced.push(...rows),
  });
  await check.start();
  return Object.assign(told, { timers, state, check, announced, asked });
}

/** Lets time pass in small steps, so that questions are answered in between. */
async function pass(fixture: Fixture, ms: number): Promise<void> {
  fixture.timers.advance(STEP_MS);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  if (ms > STEP_MS) await pass(fixture, ms - STEP_MS);
}

function coldMs({ state, timers }: Fixture): number {
  return state.target(TARGET.id)?.coldForMs(timers.now()) ?? -1;
}

test('no target is asked while the gateway is in touch', async () => {
  const fixture = await createFixture();
  await pass(fixture, 5000);
  assert.deepEqual(fixture.asked, []);
  assert.equal(coldMs(fixture), 0);
});

// Guards against a gateway that is cut off and floods a target which has become cold (FAILBACK).
test('a target that says that it is cold counts as cold while the gateway is out of touch', async () => {
  const fixture = await createFixture();
  Object.assign(fixture, { contact: Contact.OutOfTouch, coldForMs: 4000 });
  await pass(fixture, 500);
  assert.ok(coldMs(fixture) > 3000);
  assert.deepEqual(fixture.announced[0], { target: TARGET.id, bornAt: 5, coldForMs: 4000 });
});

// Guards against refusing most requests of a gateway that is cut off while its targets are warm.
test('a target that says that it is warm counts as warm', async () => {
  const fixture = await createFixture();
  fixture.contact = Contact.OutOfTouch;
  await pass(fixture, 5000);
  assert.equal(coldMs(fixture), 0);
});

test('a target that says nothing counts as cold until the gateway is in touch again', async () => {
  const fixture = await createFixture();
  Object.assign(fixture, { contact: Contact.OutOfTouch, coldForMs: undefined });
  await pass(fixture, 2000);
  assert.ok(coldMs(fixture) > 0);
  fixture.contact = Contact.InTouch;
  await pass(fixture, 500);
  assert.equal(coldMs(fixture), 0);
});

test('the word of another gateway counts like that of the target', async () => {
  const fixture = await createFixture();
  Object.assign(fixture, { contact: Contact.OutOfTouch, coldForMs: undefined });
  await pass(fixture, 2000);
  const row = { target: TARGET.id, bornAt: 5, coldForMs: 0 };
  fixture.check.onRows([{ ...row, bornAt: 4 }]);
  assert.ok(coldMs(fixture) > 0);
  fixture.check.onRows([row]);
  assert.equal(coldMs(fixture), 0);
});

test('a gateway asks a bounded number of targets at once', async () => {
  const targets = Array.from({ length: 300 }, (_, n) => ({ ...TARGET, id: `i-${n}` }));
  const fixture = await createFixture(targets);
  fixture.contact = Contact.OutOfTouch;
  await pass(fixture, 200);
  assert.ok(fixture.asked.length > 0 && fixture.asked.length <= 64, `${fixture.asked.length}`);
  await pass(fixture, 2000);
  assert.equal(new Set(fixture.asked).size, 300);
});
