import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RouteKind, type Candidate, type RequestFacts } from '@marjoramcart/core';
import { ManualTimerService } from '@marjoramcart/runtime';
import { StallDetector } from './stall-watch.js';

const FACTS: RequestFacts = {
  kind: RouteKind.Stream,
  resumable: true,
  maxAttempts: 2,
  deadlineAt: 12_000,
  arrivedAt: 0,
  latencyTargetMs: 1200,
  patienceMs: 4800,
};
const CANDIDATE: Candidate = {
  destination: { kind: 'target', id: 't1' },
  expectedFirstByteMs: 100,
  expectedWaitMs: 0,
  uncachedTokens: 0,
  prefillMs: 0,
  costMs: 100,
};

function stallsAfter(
  facts: RequestFacts,
  alternativeFromMs: number,
  targetIsAlive = false,
): number | undefined {
  const timers = new ManualTimerService();
  const startedAt = timers.now();
  const watch = new StallDetector(facts, CANDIDATE, timers, () => targetIsAlive);
  const seen: { at?: number } = {};
  watch.start(
    () => timers.now() - startedAt >= alternativeFromMs,
    () => {
      seen.at = timers.now() - startedAt;
    },
  );
  watch.onBytes();
  Array.from({ length: 100 }).forEach(() => timers.advance(100));
  return seen.at;
}

test('a stream that pauses moves to another target', () => {
  assert.ok((stallsAfter(FACTS, 0) ?? 0) <= 1700);
});

test('a stream that pauses is waited for while no other target can take it', () => {
  // A gateway in its drain once cut such a stream, which had no attempt left.
  assert.equal(stallsAfter(FACTS, Infinity), undefined);
  assert.ok((stallsAfter(FACTS, 4000) ?? 0) >= 4000);
});

// Pattern: engines that are short of memory put streams back.
test('a stream of a target that serves others is waited for longer', () => {
  const movedAt = stallsAfter(FACTS, 0, true) ?? 0;
  assert.ok(movedAt > 2500 && movedAt < FACTS.patienceMs, String(movedAt));
});

test('a request that runs at most once is never given up for silence', () => {
  assert.equal(stallsAfter({ ...FACTS, resumable: false }, 0), undefined);
});

// Pattern: engines whose queues are longer than a gateway knows.
test('a first byte of a target that serves others is waited for longer', () => {
  const stalledAt = (targetIsAlive: boolean): number => {
    const timers = new ManualTimerService();
    const seen: { at?: number } = {};
    const watch = new StallDetector(FACTS, CANDIDATE, timers, () => targetIsAlive);
    watch.start(
      () => true,
      () => {
        seen.at = timers.now();
      },
    );
    Array.from({ length: 100 }).forEach(() => timers.advance(100));
    return seen.at ?? Infinity;
  };
  assert.ok(stalledAt(false) <= 1200, String(stalledAt(false)));
  assert.ok(stalledAt(true) > 2500 && stalledAt(true) < FACTS.patienceMs, String(stalledAt(true)));
});
