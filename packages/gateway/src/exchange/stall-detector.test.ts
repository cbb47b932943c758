import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RouteKind, type Candidate, type RequestFacts } from '@marjoramcart/core';
import { ManualTimerService } from '@marjoramcart/runtime';
import { StallDetector } from './stall-detector.js';

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
  const detector = new StallDetector(facts, CANDIDATE, timers, () => targetIsAlive);
  const seen: { at?: number } = {};
  detector.start(
    () => timers.now() - startedAt >= alternativeFromMs,
    () => {
      seen.at = timers.now() - startedAt;
    },
  );
  detector.onBytes();
  Array.from({ length: 100 }).forEach(() => timers.advance(100));
  return seen.at;
}

test('a stalled stream is aborted when another target can take it', () => {
  assert.ok((stallsAfter(FACTS, 0) ?? 0) <= 1700);
});

test('a stalled stream is not aborted while no other target can take it', () => {
  // Guards against aborting a stream that can't be retried, as a draining gateway did when no
  // attempt was left.
  assert.equal(stallsAfter(FACTS, Infinity), undefined);
  assert.ok((stallsAfter(FACTS, 4000) ?? 0) >= 4000);
});

// Engines that run out of KV memory preempt streams and resume them later.
test('a preempted stream is not moved too early while its target serves other requests', () => {
  const movedAt = stallsAfter(FACTS, 0, true) ?? 0;
  assert.ok(movedAt > 2500 && movedAt < FACTS.patienceMs, String(movedAt));
});

test('a request that runs at most once is never aborted because of a stall', () => {
  assert.equal(stallsAfter({ ...FACTS, resumable: false }, 0), undefined);
});

// The queue of an engine may be longer than the gateway knows.
test('a request is not moved too early when a busy target is slow to send the first byte', () => {
  const stalledAt = (targetIsAlive: boolean): number => {
    const timers = new ManualTimerService();
    const seen: { at?: number } = {};
    const detector = new StallDetector(FACTS, CANDIDATE, timers, () => targetIsAlive);
    detector.start(
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
