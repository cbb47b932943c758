import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Choice, simulateUneven, type Outcome, type UnevenLoad } from './simulate-uneven.js';

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

const SEED = 20267;
const FIGURE_USUAL = 100;
const EIGHT = { targets: 8, gateways: 6 };

function learn(load: UnevenLoad): Outcome {
  return simulateUneven(load, Choice.Learned, SEED);
}

function ignoreSpeeds(load: UnevenLoad): Outcome {
  return simulateUneven(load, Choice.Load, SEED);
}

// Guards against equal shares for unequal targets, and against targets that are given up.
test('two speeds: slow targets get less work but are never given up', () => {
  const load = {
    ...EIGHT,
    perTargetPerS: 230,
    slowness: (target: number) => (target < 4 ? 1.67 : 0.6),
  };
  const learned = learn(load);
  const unlearned = ignoreSpeeds(load);
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
  const learned = learn(load);
  const unlearned = ignoreSpeeds(load);
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
    const learned = learn(changingLoad);
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
  const learned = learn(load);
  const unlearned = ignoreSpeeds(load);
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
  const learned = learn({ ...EIGHT, perTargetPerS: 30, slowness });
  const whileSlow = learned.sent.map((perSecond) => sum(perSecond.slice(9, 14)));
  assert.ok(spread(whileSlow) > 0.3, String(whileSlow));
});

// Guards against a figure that is taken at its word.
test('a lying figure: neither impossible nor false values move work for long', () => {
  const figures = [0, 10_000, 800, 20, Number.NaN];
  const figure = (target: number, now: number): number =>
    target < 3 ? (figures[Math.floor(now / 50) % figures.length] ?? 0) : FIGURE_USUAL;
  const load = { ...EIGHT, perTargetPerS: 80, slowness: () => 1, figure };
  const learned = learn(load);
  assert.ok(spread(rates(learned)) > 0.4, String(rates(learned)));
});

test('a lying figure: a slow target that claims to be fast gets little work', () => {
  const slowness = (target: number): number => (target === 0 ? 5 : 1);
  const figure = (target: number): number => (target === 0 ? 30 : FIGURE_USUAL);
  const load = { ...EIGHT, perTargetPerS: 80, slowness, figure };
  const learned = learn(load);
  const unlearned = ignoreSpeeds(load);
  assert.ok(learned.lateShare < unlearned.lateShare / 3);
});

// Guards against a gateway that takes its own delay for that of the targets, and tells others so.
test('a fleet in which one gateway is slow: no target looks slow to any gateway', () => {
  const ownDelayMs = (gateway: number): number => (gateway === 0 ? 200 : 0);
  const load = { ...EIGHT, perTargetPerS: 80, slowness: () => 1, ownDelayMs };
  const { factors } = learn(load);
  assert.ok(factors.most < 1.4 && factors.least > 0.7, JSON.stringify(factors));
});

// Guards against work that swings with noise.
test('equal targets keep equal factors', () => {
  const load = { ...EIGHT, perTargetPerS: 100, slowness: () => 1 };
  const { factors } = learn(load);
  assert.ok(factors.most < 1.4 && factors.least > 0.7, JSON.stringify(factors));
});
