import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../random-source.js';
import { rankTargets, type RankedTarget } from './expected-first-byte.js';
import type { ServiceSpeed } from './service-speed.js';
import { sampleTargets } from './target-sample.js';
import {
  isTrialDue,
  TargetSpeed,
  updateBaseline,
  USUAL_BASELINE,
  type SpeedBaseline,
} from './target-speed.js';
import { TargetWork } from './target-work.js';

const SERVICE_MS = 60;
const SLOTS = 16;
const DURATION_MS = 20_000;
const TELL_EVERY_MS = 500;
const BASELINE_EVERY_MS = 100;
const STEP_MS = 5;
const FIGURE_USUAL = 100;
const LATENCY_TARGET_MS = 400;

interface Load {
  readonly targets: number;
  readonly gateways: number;
  /** Requests per second and target. */
  readonly perTargetPerS: number;
  /** Factor on times at a target that runs this many requests. */
  readonly slowness: (target: number, now: number, running: number) => number;
  /** Figure that a target tells; absent if it tells none. */
  readonly figure?: (target: number, now: number) => number;
  /** Time that a gateway adds to each response itself, ms. */
  readonly ownDelayMs?: (gateway: number) => number;
  /** Whether the learned factors are used. */
  readonly learns: boolean;
}

interface Gateway {
  readonly works: TargetWork[];
  readonly baseline: SpeedBaseline;
  readonly phase: number;
}

interface Outcome {
  /** Share of the requests that take longer than the latency target. */
  readonly lateShare: number;
  /** Requests by target and second. */
  readonly sent: readonly (readonly number[])[];
  /** Largest and smallest relative factor that any gateway assumed after the first two seconds. */
  readonly factors: { readonly most: number; readonly least: number };
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/** Simulates plain requests at targets with a queue each; gateways tell each other what they learned. */
function simulate(load: Load): Outcome {
  const random = seededRandom(20267);
  const { targets, gateways: gatewayCount, learns } = load;
  const ids = Array.from({ length: targets }, (_, index) => `t${index}`);
  const gateways = Array.from({ length: gatewayCount }, (): Gateway => ({
    works: ids.map(() => new TargetWork(1)),
    baseline: USUAL_BASELINE,
    phase: random.next(),
  }));
  const running = ids.map(() => 0);
  const queues: (() => void)[][] = ids.map(() => []);
  const sent = ids.map(() => Array.from({ length: DURATION_MS / 1000 }, () => 0));
  const speed = {
    prefillTokensPerMs: 50,
    attentionMsPerMillionPairs: 0,
    baseMs: SERVICE_MS,
    slotMs: SERVICE_MS,
    baselineFailureRate: 0,
  } satisfies ServiceSpeed;
  let clock = 0;
  let late = 0;
  let count = 0;
  let most = 1;
  let least = 1;
  const events: Event[] = [];
  const schedule = (at: number, run: () => void): void => {
    let low = 0;
    let high = events.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((events[middle] as Event).at > at) high = middle;
      else low = middle + 1;
    }
    events.splice(low, 0, { at, run });
  };
  const isTrialDueAt = (
    { works, baseline, phase }: Gateway,
    target: number,
    now: number,
  ): boolean => {
    const work = works[target] as TargetWork;
    const factors = work.speedFactors(baseline, now);
    return isTrialDue(factors, work.idleMs(now), { gateways: gatewayCount, phase });
  };
  const arrive = (now: number): void => {
    const from = Math.floor(random.next() * gatewayCount);
    const gateway = gateways[from] as Gateway;
    const { works, baseline } = gateway;
    const ranked = ids.map((id, target): RankedTarget => ({
      id,
      failureDomain: 'a',
      slots: SLOTS,
      work: works[target] as TargetWork,
      sharedPrefixCached: false,
      trial: learns && isTrialDueAt(gateway, target, now),
    }));
    const [best] = rankTargets(
      { priority: 0, latencyTargetMs: LATENCY_TARGET_MS },
      sampleTargets(ranked, { gateways: gatewayCount }, random),
      { ...speed, ...(learns ? { baseline } : {}) },
      now,
    );
    if (best?.destination.kind !== 'target') return;
    const target = ids.indexOf(best.destination.id);
    const work = works[target] as TargetWork;
    const id = `r${count}`;
    const second = Math.floor(now / 1000);
    count += 1;
    (sent[target] as number[])[second] = (sent[target]?.[second] ?? 0) + 1;
    work.onSend(
      id,
      {
        prefillMs: 0,
        priority: 0,
        expectedMs: best.expectedFirstByteMs,
        waitMs: best.expectedWaitMs,
        serviceMs: best.serviceMs ?? SERVICE_MS,
      },
      undefined,
      now,
    );
    const end = (at: number): void => {
      running[target] = (running[target] ?? 1) - 1;
      queues[target]?.shift()?.();
      const seenAt = at + (load.ownDelayMs?.(from) ?? 0);
      schedule(seenAt, () => {
        const figure = load.figure?.(target, at);
        const requests = (running[target] ?? 0) + (queues[target]?.length ?? 0);
        work.updateLoadReport(
          { requests: requests + 1, ...(figure === undefined ? {} : { slowness: figure }) },
          seenAt,
        );
        if (learns) work.onFirstByte(id, seenAt);
        else work.onByte(seenAt);
        work.onEnd(id, seenAt);
        if (at - now > LATENCY_TARGET_MS) late += 1;
      });
    };
    const begin = (at: number): void => {
      running[target] = (running[target] ?? 0) + 1;
      const atStart = running[target] ?? 1;
      // Work goes on at the speed of each moment.
      let workMs = SERVICE_MS * (0.6 + 0.8 * random.next());
      let until = at;
      while (workMs > 0) {
        workMs -= STEP_MS / load.slowness(target, until, atStart);
        until += STEP_MS;
      }
      schedule(until, () => end(until));
    };
    if ((running[target] ?? 0) < SLOTS) begin(now);
    else queues[target]?.push(() => begin(clock));
  };
  const everyMs = 1000 / (load.perTargetPerS * targets);
  for (let at = 0; at < DURATION_MS; at += everyMs) schedule(at, () => arrive(at));
  const updateBaselines = (at: number): void =>
    gateways.forEach((gateway, index) => {
      const speeds = gateway.works.map(({ speed: learned }) => learned);
      const baseline = updateBaseline(speeds, gateway.baseline, at);
      gateways[index] = { ...gateway, baseline };
      if (at < 2000) return;
      const factors = speeds.map((learned) => learned.factors(baseline, at).relative);
      most = Math.max(most, ...factors);
      least = Math.min(least, ...factors);
    });
  for (let at = 0; at < DURATION_MS; at += BASELINE_EVERY_MS) {
    schedule(at, () => updateBaselines(at));
  }
  for (let at = 0; learns && at < DURATION_MS; at += TELL_EVERY_MS) {
    // One gateway collects what is seen of a target, and tells the others in its reports.
    schedule(at, () =>
      ids.forEach((_, target) => {
        const speedAt = ({ works }: Gateway): TargetSpeed => (works[target] as TargetWork).speed;
        const poller = gateways[target % gatewayCount] as Gateway;
        const others = gateways.filter((gateway) => gateway !== poller);
        others.forEach((gateway) => {
          const observation = speedAt(gateway).takeObservation(gateway.baseline, at);
          if (observation) speedAt(poller).onObservation(observation, at);
        });
        const factor = speedAt(poller).collectedFactor(poller.baseline, at);
        if (factor === undefined) return;
        others.forEach((gateway) => speedAt(gateway).onPeerFactor(factor, at));
      }),
    );
  }
  while (events.length > 0) {
    const event = events.shift() as Event;
    clock = event.at;
    event.run();
  }
  return { lateShare: late / count, sent, factors: { most, least } };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Requests of each target over the whole time, per second. */
function rates({ sent }: Outcome): readonly number[] {
  return sent.map((perSecond) => sum(perSecond) / perSecond.length);
}

function spread(values: readonly number[]): number {
  return Math.min(...values) / Math.max(...values);
}

const EIGHT = { targets: 8, gateways: 6 };

// Guards against equal shares for unequal targets, and against targets that are given up.
test('two speeds: slow targets get less work but are never given up', () => {
  const load = {
    ...EIGHT,
    perTargetPerS: 230,
    slowness: (target: number) => (target < 4 ? 1.67 : 0.6),
  };
  const learned = simulate({ ...load, learns: true });
  const unlearned = simulate({ ...load, learns: false });
  const [slow, fast] = [rates(learned).slice(0, 4), rates(learned).slice(4)];
  assert.ok(sum(slow) * 1.67 < sum(fast) * 0.9, `${sum(slow)} and ${sum(fast)}`);
  assert.ok(Math.min(...learned.sent.slice(0, 4).flatMap((perSecond) => perSecond)) > 0);
  assert.ok(learned.lateShare <= unlearned.lateShare);
  assert.ok(learned.lateShare < 0.01, String(learned.lateShare));
});

// Guards against trusting the slots that a target claims.
test('a target that slows to a fifth long before it is full is kept below that point', () => {
  const slowness = (target: number, _: number, running: number): number =>
    target === 0 && running > 4 ? 5 : 1;
  const load = { ...EIGHT, perTargetPerS: 100, slowness };
  const learned = simulate({ ...load, learns: true });
  const unlearned = simulate({ ...load, learns: false });
  assert.ok(
    learned.lateShare < unlearned.lateShare / 3,
    `${learned.lateShare} and ${unlearned.lateShare}`,
  );
  assert.ok(sum(learned.sent[0] ?? []) > 0);
});

const changing = (target: number, now: number): number =>
  (Math.floor(now / 100) * 7 + target * 3) % 8 === 0 ? 6 : 1;

// Guards against estimates that swing with changes they can't follow.
test('speeds that change every 100 ms: no target is starved, with or without a figure', () => {
  const load = { ...EIGHT, perTargetPerS: 80, slowness: changing };
  const figure = (target: number, now: number): number => changing(target, now) * FIGURE_USUAL;
  [load, { ...load, figure }].forEach((changingLoad) => {
    const learned = simulate({ ...changingLoad, learns: true });
    assert.ok(spread(rates(learned)) > 0.4, String(rates(learned)));
    assert.ok(learned.lateShare < 0.005, String(learned.lateShare));
  });
});

const HEALED_AT_S = 10;

// Guards against avoiding a target that has recovered, and against all gateways trying it at once.
test('a target that is slow for seconds gets little work, and its share again after it recovers', () => {
  const slowness = (target: number, now: number): number =>
    target === 0 && now > 3000 && now < HEALED_AT_S * 1000 ? 6 : 1;
  const load = { targets: 20, gateways: 20, perTargetPerS: 60, slowness };
  const learned = simulate({ ...load, learns: true });
  const unlearned = simulate({ ...load, learns: false });
  const [slow = []] = learned.sent;
  const whileSlow = slow.slice(4, HEALED_AT_S);
  assert.ok(Math.max(...whileSlow) < 30, String(slow));
  assert.ok(sum(whileSlow) >= whileSlow.length, String(slow));
  assert.ok(sum(slow.slice(HEALED_AT_S + 3)) / 7 > 30, String(slow));
  assert.ok(learned.lateShare < unlearned.lateShare / 2);
});

// Guards against outliers by name only: the factors of targets that slow down together stay alike.
test('all targets slow at once are no outliers', () => {
  const slowness = (_: number, now: number): number => (now > 8000 && now < 14_000 ? 4 : 1);
  const learned = simulate({ ...EIGHT, perTargetPerS: 30, slowness, learns: true });
  const whileSlow = learned.sent.map((perSecond) => sum(perSecond.slice(9, 14)));
  assert.ok(spread(whileSlow) > 0.3, String(whileSlow));
});

// Guards against a figure that is taken at its word.
test('a lying figure: neither impossible nor false values move work for long', () => {
  const figures = [0, 10_000, 800, 20, Number.NaN];
  const figure = (target: number, now: number): number =>
    target < 3 ? (figures[Math.floor(now / 50) % figures.length] ?? 0) : FIGURE_USUAL;
  const load = { ...EIGHT, perTargetPerS: 80, slowness: () => 1, figure };
  const learned = simulate({ ...load, learns: true });
  assert.ok(spread(rates(learned)) > 0.4, String(rates(learned)));
});

test('a lying figure: a slow target that claims to be fast gets little work', () => {
  const slowness = (target: number): number => (target === 0 ? 5 : 1);
  const figure = (target: number): number => (target === 0 ? 30 : FIGURE_USUAL);
  const load = { ...EIGHT, perTargetPerS: 80, slowness, figure };
  const learned = simulate({ ...load, learns: true });
  const unlearned = simulate({ ...load, learns: false });
  assert.ok(learned.lateShare < unlearned.lateShare / 3);
});

// Guards against a gateway that takes its own delay for that of the targets, and tells others so.
test('a fleet in which one gateway is slow: no target looks slow to any gateway', () => {
  const ownDelayMs = (gateway: number): number => (gateway === 0 ? 200 : 0);
  const load = { ...EIGHT, perTargetPerS: 80, slowness: () => 1, ownDelayMs };
  const { factors } = simulate({ ...load, learns: true });
  assert.ok(factors.most < 1.4 && factors.least > 0.7, JSON.stringify(factors));
});

// Guards against work that swings with noise.
test('equal targets keep equal factors', () => {
  const load = { ...EIGHT, perTargetPerS: 100, slowness: () => 1 };
  const { factors } = simulate({ ...load, learns: true });
  assert.ok(factors.most < 1.4 && factors.least > 0.7, JSON.stringify(factors));
});

// Guards against taking a queue for a slow target.
test('time that was spent waiting for other work does not make a target look slow', () => {
  const speed = new TargetSpeed();
  Array.from({ length: 20 }, (_, index) => index * 100).forEach((now) =>
    speed.onTime({ measuredMs: 660, serviceMs: 60, waitMs: 500 }, now),
  );
  assert.equal(speed.factors(USUAL_BASELINE, 2000).absolute, 1);
});

// Guards against noticing a slow target only when its first slow response is complete.
test('requests that are overdue raise the factor before they are answered', () => {
  const work = new TargetWork(1);
  ['a', 'b', 'c'].forEach((id) =>
    work.onSend(id, { prefillMs: 0, priority: 0, expectedMs: 60 }, undefined, 0),
  );
  assert.equal(work.speedFactors(USUAL_BASELINE, 50).absolute, 1);
  assert.ok(work.speedFactors(USUAL_BASELINE, 180).relative >= 3);
});

// Guards against streams that crawl at a target whose first events come in time.
test('gaps between events that are longer than usual raise the factor, and age within a second', () => {
  const speed = new TargetSpeed();
  Array.from({ length: 20 }, (_, index) => index * 20).forEach((now) => speed.onGap(5, now));
  assert.ok(speed.factors(USUAL_BASELINE, 400).relative > 2);
  assert.ok(speed.factors(USUAL_BASELINE, 2400).relative < 1.2);
});
