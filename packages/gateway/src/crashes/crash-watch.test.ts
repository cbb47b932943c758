import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SuspectRow, TargetRecord } from '@marjoramcart/core';
import { ManualTimerService, silentLogger } from '@marjoramcart/runtime';
import type { CallHead } from '../ports/request-protocol.js';
import { CrashWatch, type CrashWatchDeps } from './crash-watch.js';

const TARGET: TargetRecord = {
  id: 'i-1',
  service: 'model',
  address: '10.0.0.1:80',
  failureDomain: 'north-a',
  region: 'north',
  slots: 8,
  draining: false,
  coldForMs: 0,
  bornAt: 5,
};
const HEAD: CallHead = {
  id: 'r-1',
  method: 'POST',
  host: 'api.example',
  path: '/stream/x',
  headers: [],
  prompt: {
    segments: [
      { id: 'system', tokens: 500 },
      { id: 'own', tokens: 100 },
    ],
    promptTokens: 600,
    maxOutputTokens: 10,
    expectedOutputTokens: 10,
  },
};

/** Time after a loss at which a target that accepts connections again tells its start. */
const START_KNOWN_MS = 1000;

interface Fixture {
  readonly watch: CrashWatch;
  readonly timers: ManualTimerService;
  readonly announced: SuspectRow[];
}

function fixtureOf(changes: Partial<CrashWatchDeps> = {}): Fixture {
  const announced: SuspectRow[] = [];
  const timers = new ManualTimerService();
  const watch = new CrashWatch({
    node: 'vm-1',
    timers,
    log: silentLogger(),
    otherGateways: () => ['vm-2'],
    probe: () => Promise.resolve('refused'),
    startOf: () => TARGET.bornAt,
    isLeaving: () => false,
    hasLostLinks: () => Promise.resolve(false),
    announce: (rows) => announced.push(...rows),
    ...changes,
  });
  return { watch, timers, announced };
}

/** Waits for the probe of a target. */
function probed(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

function lose({ watch }: Fixture, head = HEAD): void {
  watch.onLost(TARGET, { head, body: Buffer.from('body') }, 0);
}

/** What a gateway announces after a request was lost at a target that refuses connections. */
async function announcedAfterLoss(
  changes: Partial<CrashWatchDeps>,
): Promise<readonly SuspectRow[]> {
  const fixture = fixtureOf(changes);
  lose(fixture);
  await probed();
  return fixture.announced;
}

test('a request that is lost as its target dies is a witness against its segments', async () => {
  assert.ok((await announcedAfterLoss({})).some(({ key }) => key === 'system'));
});

// Guards against sound prompts that are refused everywhere since a gateway lost its links during them.
test('a request that is lost with all links of its gateway is no witness', async () => {
  assert.deepEqual(await announcedAfterLoss({ hasLostLinks: () => Promise.resolve(true) }), []);
});

test('a request that is lost as its connection is reset is no witness', async () => {
  const fixture = fixtureOf({ probe: () => Promise.resolve('accepted') });
  lose(fixture);
  await probed();
  fixture.timers.advance(START_KNOWN_MS);
  assert.deepEqual(fixture.announced, []);
});

// Guards against prompts that crash targets which are back before anyone finds them gone.
test('a request whose target is back with a newer start is a witness', async () => {
  const fixture = fixtureOf({
    probe: () => Promise.resolve('accepted'),
    startOf: () => TARGET.bornAt + 1,
  });
  lose(fixture);
  await probed();
  fixture.timers.advance(START_KNOWN_MS);
  assert.ok(fixture.announced.some(({ key }) => key === 'system'));
});

// Guards against refusing prompts that were running on targets which left one after the other.
test('a request that is lost as its target leaves is no witness', async () => {
  assert.deepEqual(await announcedAfterLoss({ isLeaving: () => true }), []);
});

// Guards against missing the request at fault among the many that a target had.
test('each of a hundred requests of a target that dies is a witness', async () => {
  const fixture = fixtureOf();
  Array.from({ length: 100 }).forEach((_, index) => {
    const segments = [
      { id: `part-${index}`, tokens: 100 },
      { id: 'own', tokens: 100 },
    ];
    const prompt = { promptTokens: 200, maxOutputTokens: 10, expectedOutputTokens: 10, segments };
    lose(fixture, { ...HEAD, id: `r-${index}`, prompt });
  });
  await probed();
  assert.ok(fixture.announced.some(({ key }) => key === 'part-99'));
});
