import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TargetWork, USUAL_BASELINE, type TargetRecord } from '@marjoramcart/core';
import { ManualTimerService, Metrics, silentLogger, type LogFields } from '@marjoramcart/runtime';
import type { SpeedRow } from '../peers/target-update.js';
import { TargetEntry } from '../state/target-entry.js';
import { SpeedTask } from './speed-task.js';

const GATEWAYS = Array.from({ length: 20 }, (_, index) => `vm-${index}`);
const TARGETS = 24;

interface Sent {
  readonly node: string | undefined;
  readonly rows: readonly SpeedRow[];
}

interface Fixture {
  readonly timers: ManualTimerService;
  readonly entries: readonly TargetEntry[];
  readonly sent: Sent[];
  readonly lines: LogFields[];
}

/** A gateway of a region with targets without load reports. */
async function createFixture(node: string, gateways = GATEWAYS): Promise<Fixture> {
  const timers = new ManualTimerService();
  const entries = Array.from({ length: TARGETS }, (_, index) => {
    const record: TargetRecord = {
      id: `i-${index}`,
      service: 'plain',
      address: `10.0.0.${index}:80`,
      failureDomain: 'north-a',
      region: 'north',
      slots: 16,
      draining: false,
      coldForMs: 0,
      bornAt: 5,
    };
    return new TargetEntry(record, new TargetWork(1), timers.now(), 0);
  });
  const sent: Sent[] = [];
  const lines: LogFields[] = [];
  const task = new SpeedTask({
    node,
    state: { localTargets: () => [...entries], usableEngines: () => [] },
    router: {
      takeCollectedSpeed: ({ work }) => work.speed.takeCollected(USUAL_BASELINE, timers.now()),
      takeSpeedObservation: ({ work }) => work.speed.takeObservation(USUAL_BASELINE, timers.now()),
      speedFactorsOf: ({ work }) => work.speedFactors(USUAL_BASELINE, timers.now()),
      usableSlotsOf: () => 4,
    },
    timers,
    metrics: new Metrics(),
    log: { ...silentLogger(), info: (_, fields = {}) => lines.push(fields) },
    gateways: () => gateways,
    send: (rows, to) => sent.push({ node: to, rows }),
  });
  await task.start();
  return { timers, entries, sent, lines };
}

function slowDown({ entries, timers }: Fixture, count: number): void {
  entries
    .slice(0, count)
    .forEach(({ work }) =>
      Array.from({ length: 6 }).forEach(() =>
        work.speed.onTime({ measuredMs: 360, serviceMs: 60, waitMs: 0 }, timers.now()),
      ),
    );
}

// Guards against messages that grow with the number of slow targets.
test('a gateway tells a bounded number of observations, each to the one that collects them', async () => {
  const fixture = await createFixture('outsider', [...GATEWAYS, 'outsider']);
  fixture.timers.advance(500);
  assert.equal(fixture.sent.length, 0);
  slowDown(fixture, TARGETS);
  fixture.timers.advance(500);
  const rows = fixture.sent.flatMap((message) => message.rows);
  assert.equal(rows.length, 8);
  assert.ok(
    rows.every(({ factor, samples = 0, bornAt }) => factor > 3 && samples > 1 && bornAt === 5),
  );
  // The rest follows in the next intervals.
  fixture.timers.advance(1000);
  const told = fixture.sent.flatMap((message) => message.rows.map(({ target }) => target));
  assert.equal(new Set(told).size, TARGETS);
});

// Guards against one gateway in a hundred that learns of a slow target alone.
test('the collecting gateway tells the region what others observed, and when it no longer holds', async () => {
  const collectors = await Promise.all(GATEWAYS.map((node) => createFixture(node)));
  collectors.forEach(({ entries, timers }) =>
    entries[0]?.work.speed.onObservation({ factor: 5, samples: 4 }, timers.now()),
  );
  collectors.forEach(({ timers }) => timers.advance(500));
  const senders = collectors.filter(({ sent }) => sent.length > 0);
  assert.equal(senders.length, 1);
  const [{ entries, timers, sent }] = senders as [Fixture];
  const [message] = sent;
  assert.equal(message?.node, undefined);
  assert.deepEqual(
    message?.rows.map((row) => ({ ...row, factor: Math.round(row.factor) })),
    [{ target: 'i-0', bornAt: 5, factor: 5 }],
  );
  Array.from({ length: 6 }).forEach(() =>
    entries[0]?.work.speed.onObservation({ factor: 1, samples: 4 }, timers.now()),
  );
  timers.advance(500);
  const [last] = sent.at(-1)?.rows ?? [];
  assert.ok(last && last.factor < 1.3, JSON.stringify(sent));
  timers.advance(5000);
  const messages = sent.length;
  timers.advance(5000);
  assert.equal(sent.length, messages);
});

// Guards against logs that fill up when the speed of many targets changes many times a second.
test('a target whose speed changes class is logged once, and many at once in a few lines', async () => {
  const fixture = await createFixture('vm-1', ['vm-1']);
  slowDown(fixture, 1);
  fixture.timers.advance(500);
  assert.equal(fixture.lines.length, 0);
  fixture.timers.advance(500);
  assert.equal(fixture.lines.length, 1);
  assert.deepEqual(
    { target: fixture.lines[0]?.target, before: fixture.lines[0]?.before },
    { target: 'i-0', before: 'normal' },
  );
  const many = await createFixture('vm-1', ['vm-1']);
  slowDown(many, TARGETS);
  many.timers.advance(1000);
  assert.equal(many.lines.length, 4);
  // In a small region every gateway sees enough itself.
  assert.equal(many.sent.length, 0);
});
