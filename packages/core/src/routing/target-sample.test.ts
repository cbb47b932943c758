import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../random-source.js';
import { rankTargets, type RankedTarget } from './expected-first-byte.js';
import type { ServiceSpeed } from './service-speed.js';
import { sampleTargets } from './target-sample.js';
import { TargetWork } from './target-work.js';

const GATEWAYS = 20;
const TARGETS = 47;
const SLOTS = 16;
const HOLD_MS = 1500;
const REPORT_EVERY_MS = 500;
const REPORT_LAG_MS = 300;
const ARRIVALS = 4000;
const ARRIVAL_EVERY_MS = 3;
const SPEED: ServiceSpeed = {
  prefillTokensPerMs: 54,
  attentionMsPerMillionPairs: 0.24,
  baseMs: 50,
  slotMs: HOLD_MS,
  baselineFailureRate: 0,
};
const REQUEST = {
  priority: 1,
  latencyTargetMs: 800,
  prompt: {
    segments: [{ id: 'own', tokens: 800 }],
    promptTokens: 800,
    maxOutputTokens: 60,
    expectedOutputTokens: 30,
  },
};

interface SimulatedRequest {
  readonly id: string;
  readonly work: TargetWork;
  readonly target: number;
  readonly from: number;
  readonly until: number;
}

/** Simulates arrivals at gateways with shared reports; returns the peak number of requests at a target. */
function simulate(samplesTargets: boolean): { most: number; overSlots: number } {
  const random = seededRandom(20261);
  const ids = Array.from({ length: TARGETS }, (_, index) => `t${index}`);
  const views = Array.from({ length: GATEWAYS }, () => ids.map(() => new TargetWork(400_000)));
  let activeRequests: SimulatedRequest[] = [];
  const countAt = (target: number, at: number): number =>
    activeRequests.filter(
      (request) => request.target === target && request.from <= at && at < request.until,
    ).length;
  let reportedAt = 0;
  let most = 0;
  let overSlots = 0;
  Array.from({ length: ARRIVALS }, (_, index) => index * ARRIVAL_EVERY_MS).forEach((now, index) => {
    if (now - reportedAt >= REPORT_EVERY_MS) {
      reportedAt = now;
      ids.forEach((_, target) => {
        const requests = countAt(target, now - REPORT_LAG_MS);
        views.forEach((view) => view[target]?.updateLoadReport({ requests }, now));
      });
    }
    activeRequests
      .filter(({ until }) => until <= now)
      .forEach(({ id, work }) => work.onEnd(id, now));
    activeRequests = activeRequests.filter(({ until }) => until > now - REPORT_LAG_MS);
    const view = views[Math.floor(random.next() * GATEWAYS)] as TargetWork[];
    const targets = ids.map((id, target): RankedTarget => ({
      id,
      failureDomain: 'a',
      slots: SLOTS,
      work: view[target] as TargetWork,
      sharedPrefixCached: false,
    }));
    const offered = samplesTargets
      ? sampleTargets(targets, { gateways: GATEWAYS }, random)
      : targets;
    const [best] = rankTargets(REQUEST, offered, SPEED, now);
    const target = ids.indexOf(best?.destination.kind === 'target' ? best.destination.id : '');
    const before = countAt(target, now);
    most = Math.max(most, before + 1);
    if (before >= SLOTS) overSlots += 1;
    const work = view[target] as TargetWork;
    const id = `r${index}`;
    work.onSend(id, { prefillMs: 15, priority: 1, expectedMs: 100 }, REQUEST.prompt, now);
    activeRequests.push({ id, work, target, from: now, until: now + HOLD_MS });
  });
  return { most, overSlots };
}

// Many gateways choose targets by the same outdated reports.
test('gateways that sample targets do not all send to the one that looked least loaded', () => {
  const unsampled = simulate(false);
  const sampled = simulate(true);
  // On average ten requests run at each target, which has 16 slots.
  assert.ok(unsampled.overSlots > ARRIVALS / 10, `comparing all: ${unsampled.overSlots}`);
  assert.ok(sampled.overSlots < unsampled.overSlots / 4, `drawing: ${sampled.overSlots}`);
  assert.ok(sampled.most < unsampled.most, `${sampled.most} and ${unsampled.most}`);
});

test('gateways of a small region consider all targets', () => {
  const targets = Array.from({ length: 30 }, (_, index) => ({ id: `t${index}` }));
  assert.equal(sampleTargets(targets, { gateways: 4 }, seededRandom(1)), targets);
});

test('a sample contains the preferred target and distinct others', () => {
  const targets = Array.from({ length: 30 }, (_, index) => ({ id: `t${index}` }));
  const samples = Array.from({ length: 200 }, (_, seed) =>
    sampleTargets(targets, { gateways: 20, preferred: 't7' }, seededRandom(seed)),
  );
  assert.ok(samples.every((sample) => sample.some(({ id }) => id === 't7')));
  assert.ok(samples.every(({ length }) => length === 3 || length === 4));
  assert.equal(new Set(samples.flat().map(({ id }) => id)).size, 30);
  const wide = sampleTargets(targets, { gateways: 20, late: true }, seededRandom(1));
  assert.equal(wide.length, 10);
});
