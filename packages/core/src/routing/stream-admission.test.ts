import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DeferralOutcomes } from '../exchange/deferral-outcomes.js';
import { seededRandom } from '../random-source.js';
import { RunProgress } from './run-progress.js';
import { isTooSlow, maxPaceMs, StreamLengths } from './stream-pace.js';
import { WaitingMix } from './waiting-mix.js';

/** An engine whose streams share its time with prefill: 9 tokens per event, 64 slots at most. */
const ENGINE = { stepMs: 5.5, chunkStepMs: 38, tokensPerEvent: 9, prefillMs: 110, events: 42 };
const DEADLINE_MS = 12_000;
const TICK_MS = 100;
const REPORT_MS = 500;

interface Stream {
  readonly events: number;
  readonly prefillLeftMs: number;
  readonly startedAt: number;
}

/** Plays an engine that gets 12 prompts/s, a third more than it prefills; returns complete streams. */
function completeStreams(usePace: boolean): number {
  const random = seededRandom(7);
  const progress = new RunProgress();
  const limitMs = maxPaceMs({ streamMs: DEADLINE_MS - 800, events: ENGINE.events * 1.5 });
  let streams: Stream[] = [];
  let paceMs: number | undefined;
  let complete = 0;
  Array.from({ length: 600 }, (_, tick) => tick * TICK_MS).forEach((now) => {
    if (random.next() < 0.99 && (!usePace || !isTooSlow(paceMs ?? 0, limitMs, random.next()))) {
      streams.push({ events: 0, prefillLeftMs: ENGINE.prefillMs, startedAt: now });
    }
    let prefillMs = TICK_MS;
    const afterPrefill = streams.map((stream) => {
      const spent = Math.min(prefillMs, stream.prefillLeftMs);
      prefillMs -= spent;
      return { ...stream, prefillLeftMs: stream.prefillLeftMs - spent };
    });
    const tokens = (TICK_MS - prefillMs) / ENGINE.chunkStepMs + prefillMs / ENGINE.stepMs;
    streams = afterPrefill.map((stream) =>
      stream.prefillLeftMs > 0
        ? stream
        : { ...stream, events: stream.events + tokens / ENGINE.tokensPerEvent },
    );
    complete += streams.filter(({ events }) => events >= ENGINE.events).length;
    streams = streams.filter(
      ({ events, startedAt }) => events < ENGINE.events && now - startedAt < DEADLINE_MS,
    );
    if (now % REPORT_MS === 0) {
      const runs = streams.map(({ events, startedAt }) => ({ id: String(startedAt), events }));
      paceMs = progress.onRuns(runs, now) ?? paceMs;
    }
  });
  return complete;
}

// Guards against admitting streams that all end at their deadlines because prefill never pauses.
test('a lasting overload of prompts: most streams that are admitted reach their ends', () => {
  const withPace = completeStreams(true);
  const without = completeStreams(false);
  assert.ok(withPace > without * 1.5, `${withPace} complete streams, ${without} without the limit`);
});

test('the pace of runs counts stalled ones and ignores those that are in one list only', () => {
  const progress = new RunProgress();
  assert.equal(progress.onRuns([{ id: 'a', events: 4 }], 1000), undefined);
  const paceMs = progress.onRuns(
    [
      { id: 'a', events: 14 },
      { id: 'b', events: 90 },
    ],
    2000,
  );
  assert.equal(paceMs, 100);
  const stalled = progress.onRuns(
    [
      { id: 'a', events: 24 },
      { id: 'b', events: 90 },
    ],
    3000,
  );
  assert.equal(stalled, 200);
});

test('requests near the limit of the pace are refused in part, so that gateways do not swing', () => {
  const samples = Array.from({ length: 100 }, (_, index) => index / 100);
  const refusedAt = (paceMs: number): number =>
    samples.filter((sample) => isTooSlow(paceMs, 100, sample)).length;
  assert.deepEqual([70, 100, 130].map(refusedAt), [0, 50, 100]);
});

test('long responses of a route are learned from refused requests too', () => {
  const lengths = new StreamLengths();
  const random = seededRandom(3);
  Array.from({ length: 3000 }).forEach(() => lengths.onRequest('r', 100 + random.next() * 900));
  assert.equal(lengths.longEvents('r', 'llm'), undefined);
  lengths.onComplete('llm', 10, 100);
  const events = lengths.longEvents('r', 'llm') ?? 0;
  assert.ok(events > 80 && events < 105, String(events));
});

// Guards against refusing urgent requests because of less urgent ones, which they overtake.
test('a queue of less urgent requests does not count for urgent ones', () => {
  const mix = new WaitingMix();
  mix.onWaited(2, 3000, 0);
  mix.onWaited(0, 30, 0);
  assert.ok(mix.shareAhead(0, 0) < 0.05);
  assert.ok(mix.shareAhead(2, 0) > 0.9);
  assert.ok(mix.shareAhead(0, 60_000) < 0.2);
});

// Guards against holding late requests that wait until their callers leave.
test('a lasting overload: late requests are refused once deferred ones get no response', () => {
  const outcomes = new DeferralOutcomes();
  Array.from({ length: 5 }).forEach(() => outcomes.onOutcome('llm', false, 1000));
  assert.equal(outcomes.mayDefer('llm', 1000), false);
  assert.equal(outcomes.mayDefer('other', 1000), true);
  assert.equal(outcomes.mayDefer('llm', 10_000), true);
});
