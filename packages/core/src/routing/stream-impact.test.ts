import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../random-source.js';
import { rankTargets, type RankedTarget } from './expected-first-byte.js';
import type { Prompt } from './prompt.js';
import { estimatePrefillMs, type ServiceSpeed } from './service-speed.js';
import { streamImpactCostMs } from './stream-impact.js';
import { TargetWork } from './target-work.js';

const SPEED: ServiceSpeed = {
  prefillTokensPerMs: 64,
  attentionMsPerMillionPairs: 0.1,
  baseMs: 50,
  slotMs: 2000,
  baselineFailureRate: 0,
};
const GAP_TARGET_MS = 400;
const STREAM_MS = 2000;
const TARGETS = 8;
const ARRIVALS = 6000;
const ARRIVAL_EVERY_MS = 12;
/** One in this many prompts is long. */
const LONG_EVERY = 40;

function prompt(tokens: number): Prompt {
  return {
    segments: [{ id: `own-${tokens}`, tokens }],
    promptTokens: tokens,
    maxOutputTokens: 80,
    expectedOutputTokens: 40,
  };
}

interface Stream {
  readonly id: string;
  readonly work: TargetWork;
  readonly target: number;
  readonly firstAt: number;
  readonly until: number;
  late: boolean;
}

/** Simulates streams at targets that send no events during a prefill; returns the share of late ones. */
function simulate(knowsGapTargets: boolean): { lateShare: number; lateFirstShare: number } {
  const random = seededRandom(20265);
  const works = Array.from({ length: TARGETS }, () => new TargetWork(1e9));
  const freeAt = works.map(() => 0);
  const streams: Stream[] = [];
  let running: Stream[] = [];
  let lateFirst = 0;
  Array.from({ length: ARRIVALS }, (_, index) => index).forEach((index) => {
    const now = index * ARRIVAL_EVERY_MS;
    running
      .filter(({ firstAt }) => firstAt <= now)
      .forEach(({ work, id, firstAt }) => work.onFirstByte(id, firstAt));
    running.filter(({ until }) => until <= now).forEach(({ work, id }) => work.onEnd(id, now));
    running = running.filter(({ until }) => until > now);
    const isLong = Math.floor(random.next() * LONG_EVERY) === 0;
    const tokens = isLong ? 25_000 + random.next() * 29_000 : 300 + random.next() * 600;
    const request = prompt(Math.round(tokens));
    const gapTargets = { ownMs: GAP_TARGET_MS, othersMs: GAP_TARGET_MS };
    const [best] = rankTargets(
      {
        prompt: request,
        priority: 0,
        latencyTargetMs: 1500,
        ...(knowsGapTargets ? { gapTargets } : {}),
      },
      works.map((work, target): RankedTarget => ({
        id: String(target),
        failureDomain: String(target),
        slots: 64,
        work,
        sharedPrefixCached: false,
      })),
      SPEED,
      now,
    );
    if (best?.destination.kind !== 'target') return;
    const target = Number(best.destination.id);
    const work = works[target] as TargetWork;
    const prefillMs = estimatePrefillMs(request, 0, SPEED);
    const startAt = Math.max(now, freeAt[target] ?? 0);
    freeAt[target] = startAt + prefillMs;
    if (prefillMs > GAP_TARGET_MS) {
      running
        .filter(
          (stream) =>
            stream.target === target &&
            stream.firstAt <= startAt &&
            stream.until > startAt + GAP_TARGET_MS,
        )
        .forEach((stream) => {
          // eslint-disable-next-line no-param-reassign -- marks a record of this simulation
          stream.late = true;
        });
    }
    const firstAt = startAt + prefillMs + SPEED.baseMs;
    if (firstAt - now > 1500) lateFirst += 1;
    const id = `r${index}`;
    const { expectedFirstByteMs: expectedMs, expectedWaitMs: waitMs, serviceMs = 1 } = best;
    const sent = { prefillMs: best.prefillMs, priority: 0, expectedMs, waitMs, serviceMs };
    work.onSend(id, sent, request, now);
    const stream = { id, work, target, firstAt, until: firstAt + STREAM_MS, late: false };
    streams.push(stream);
    running.push(stream);
  });
  return {
    lateShare: streams.filter(({ late }) => late).length / streams.length,
    lateFirstShare: lateFirst / streams.length,
  };
}

// Guards against long prompts that are sent where many streams run.
test('long prompts beside running streams: fewer streams are late when their cost is counted', () => {
  const counted = simulate(true);
  const ignored = simulate(false);
  assert.ok(
    counted.lateShare < ignored.lateShare * 0.7,
    `${counted.lateShare} and ${ignored.lateShare}`,
  );
  assert.ok(counted.lateFirstShare <= ignored.lateFirstShare + 0.002);
});

// Guards against moving ordinary requests away from their caches.
test('a prompt of a few hundred tokens costs the streams at a target nothing', () => {
  const load = { streams: 60, laterPrefillMs: 0, eventGapMs: 30 };
  const gapTargets = { ownMs: 300, othersMs: 300 };
  assert.equal(streamImpactCostMs({ ...load, prefillMs: 800 / 64 }, gapTargets), 0);
  assert.ok(streamImpactCostMs({ ...load, prefillMs: 50_000 / 64 }, gapTargets) > 1000);
});

// Guards against streams that begin early at a target that then prefills long prompts of others.
test('a stream avoids a target where a less urgent long prompt is prefilled after its first event', () => {
  const gapTargets = { ownMs: 300, othersMs: 300 };
  const load = { streams: 4, prefillMs: 10, eventGapMs: 30 };
  const quiet = streamImpactCostMs({ ...load, laterPrefillMs: 0 }, gapTargets);
  const busy = streamImpactCostMs({ ...load, laterPrefillMs: 700 }, gapTargets);
  assert.ok(busy >= quiet + 300);
  assert.equal(streamImpactCostMs({ ...load, laterPrefillMs: 700 }, {}), 0);
});
