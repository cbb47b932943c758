import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { RouteKind } from '../fleet/fleet-config.js';
import {
  mayHaveRun,
  possibleRunsOf,
  type AttemptOutcome,
  type AttemptRecord,
  type Destination,
} from './attempt-record.js';
import {
  mayRepeat,
  nextRequestStep,
  wouldRetryAfterLoss,
  type Candidate,
  type RequestFacts,
  type StepView,
} from './next-request-step.js';

const FACTS: RequestFacts = {
  kind: RouteKind.Single,
  resumable: false,
  maxAttempts: 2,
  deadlineAt: 4000,
  arrivedAt: 0,
  latencyTargetMs: 600,
  patienceMs: 2400,
};

function candidate(id: string, waitMs = 0): Candidate {
  return {
    destination: { kind: 'target', id },
    expectedFirstByteMs: waitMs + 50,
    expectedWaitMs: waitMs,
    uncachedTokens: 0,
    prefillMs: 0,
    costMs: waitMs + 50,
  };
}

function view(changes: Partial<StepView> = {}): StepView {
  return {
    now: 10,
    attempts: [],
    headSent: false,
    callerDisconnected: false,
    candidates: [candidate('a'), candidate('b')],
    unavailable: [],
    takeRetry: () => true,
    ...changes,
  };
}

function tried(id: string, outcome: AttemptOutcome): AttemptRecord {
  return { destination: { kind: 'target', id }, outcome };
}

const outcomes: fc.Arbitrary<AttemptOutcome> = fc.oneof(
  fc.constant<AttemptOutcome>({ kind: 'not-sent' }),
  fc.constant<AttemptOutcome>({ kind: 'not-run' }),
  fc.record({
    kind: fc.constant('failed' as const),
    status: fc.constantFrom(500, 503),
    runs: fc.integer({ min: 1, max: 2 }),
  }),
  fc.record({ kind: fc.constant('lost' as const), runs: fc.integer({ min: 1, max: 2 }) }),
);

const cases = fc.record({
  facts: fc.record({
    kind: fc.constantFrom(...Object.values(RouteKind)),
    resumable: fc.boolean(),
    maxAttempts: fc.integer({ min: 1, max: 3 }),
    deadlineAt: fc.constant(4000),
    arrivedAt: fc.constant(0),
    latencyTargetMs: fc.constant(600),
    patienceMs: fc.constant(2400),
  }),
  attempts: fc.array(
    fc
      .tuple(fc.constantFrom('a', 'b', 'c', 'd'), outcomes)
      .map(([id, outcome]) => tried(id, outcome)),
    { maxLength: 4 },
  ),
  now: fc.constantFrom(0, 100, 2000, 3990, 5000),
  headSent: fc.boolean(),
  callerDisconnected: fc.boolean(),
  waits: fc.array(fc.constantFrom(0, 100, 3000), { maxLength: 4 }),
  unavailable: fc.subarray(['a', 'b', 'c']),
  retry: fc.boolean(),
});

test('a step never repeats a non-repeatable request, refuses a started one or reuses a destination', () => {
  fc.assert(
    fc.property(
      cases,
      ({ facts, attempts, now, headSent, callerDisconnected, waits, unavailable, retry }) => {
        const step = nextRequestStep(facts, {
          now,
          attempts,
          headSent,
          callerDisconnected,
          candidates: waits.map((waitMs, index) => candidate('abcd'[index] ?? 'a', waitMs)),
          unavailable: unavailable.map((id) => ({ kind: 'target', id }) as const),
          takeRetry: () => retry,
        });
        const ran = attempts.some(mayHaveRun);
        const runs = attempts.reduce((sum, attempt) => sum + possibleRunsOf(attempt), 0);
        if (callerDisconnected) assert.equal(step.kind, 'abandon');
        if (step.kind === 'refuse')
          assert.ok(!ran && !headSent, 'only requests that did not run are refused');
        if (step.kind === 'attempt') {
          const { destination } = step.candidate;
          assert.ok(!ran || mayRepeat(facts), 'runs at most once');
          assert.ok(runs < facts.maxAttempts, 'attempts are bounded');
          assert.ok(
            !headSent || facts.resumable,
            'a started response continues only when resumable',
          );
          assert.ok(
            !attempts.some(
              (attempt) =>
                attempt.destination.kind === 'target' &&
                destination.kind === 'target' &&
                attempt.destination.id === destination.id,
            ),
          );
          const sentBefore = attempts.some(({ outcome }) => outcome.kind !== 'not-sent');
          assert.ok(!sentBefore || retry, 'a retry is taken from the budget');
        }
        if (step.kind === 'pass-on') {
          assert.equal(attempts[step.attempt]?.outcome.kind, 'failed');
          assert.ok(!headSent);
        }
        if (step.kind === 'fail') assert.ok(ran);
        if (step.kind === 'cut') assert.ok(headSent);
      },
    ),
    { seed: 20261, numRuns: 5000 },
  );
});

test('a non-repeatable request whose attempt was lost fails without a second attempt', () => {
  const step = nextRequestStep(FACTS, view({ attempts: [tried('a', { kind: 'lost', runs: 1 })] }));
  assert.deepEqual(step, { kind: 'fail', timedOut: false });
});

test('a request that a target rejected without running it is sent to another target', () => {
  const step = nextRequestStep(FACTS, view({ attempts: [tried('a', { kind: 'not-run' })] }));
  assert.equal(step.kind, 'attempt');
});

test('a repeatable request gets its final response at once when all destinations were tried', () => {
  // Guards against waiting until the caller's deadline for destinations that were already tried.
  const facts = { ...FACTS, kind: RouteKind.Repeatable, maxAttempts: 3 };
  const attempts = [tried('a', { kind: 'failed', status: 500, runs: 1 })];
  const unavailable = [{ kind: 'target', id: 'a' }] as const;
  const step = nextRequestStep(facts, view({ attempts, candidates: [], unavailable }));
  assert.deepEqual(step, { kind: 'pass-on', attempt: 0 });
});

test('an attempt at another gateway counts every target that it tried', () => {
  const facts = { ...FACTS, kind: RouteKind.Repeatable };
  const attempts: AttemptRecord[] = [
    {
      destination: { kind: 'peer', node: 'vm-9', region: 'west' },
      outcome: { kind: 'failed', status: 500, runs: 2 },
    },
  ];
  assert.equal(nextRequestStep(facts, view({ attempts })).kind, 'pass-on');
});

// A load peak fills the queues of engines that prefill urgent prompts first.
test('a late request goes to the engine that serves it earliest after its backlog', () => {
  const late = { ...candidate('a', 900), deferredFirstByteMs: 1400 };
  const later = { ...candidate('b', 800), deferredFirstByteMs: 2000 };
  const step = nextRequestStep(FACTS, view({ candidates: [later, late] }));
  assert.equal(step.kind, 'attempt');
  assert.ok(step.kind === 'attempt' && step.deferred);
  assert.deepEqual(step.candidate.destination, { kind: 'target', id: 'a' });
  assert.equal(step.candidate.expectedFirstByteMs, 1400);
});

test('a late request is refused when its caller would disconnect before the first byte', () => {
  const late = { ...candidate('a', 900), deferredFirstByteMs: 1500 };
  const step = nextRequestStep(FACTS, view({ candidates: [late] }));
  assert.equal(step.kind, 'refuse');
});

test('a request that would be late is refused at once with a retry delay', () => {
  const step = nextRequestStep(FACTS, view({ candidates: [candidate('a', 900)] }));
  assert.equal(step.kind, 'refuse');
  assert.ok(step.kind === 'refuse' && step.retryAfterMs >= 100);
});

const STREAM: RequestFacts = { ...FACTS, kind: RouteKind.Stream, resumable: true };

// Guards against streams that callers can't take up again while targets of their version are busy.
test('a stream that its caller takes up again is not refused for being late', () => {
  const late = view({ candidates: [candidate('a', 5000)] });
  const facts = { ...FACTS, kind: RouteKind.Stream, resumable: true };
  assert.equal(nextRequestStep(facts, late).kind, 'refuse');
  assert.equal(nextRequestStep({ ...facts, resumed: true }, late).kind, 'attempt');
});

// Guards against streams that callers can't take up again while a restarted target is in doubt.
test('a stream that its caller takes up again waits longer for a target that is unavailable', () => {
  const waiting = view({
    now: 200,
    candidates: [],
    unavailable: [{ kind: 'target', id: 'a' }],
  });
  const facts = { ...FACTS, kind: RouteKind.Stream, resumable: true };
  assert.equal(nextRequestStep(facts, waiting).kind, 'refuse');
  assert.equal(nextRequestStep({ ...facts, resumed: true }, waiting).kind, 'wait');
});

// Guards against aborting a stalled stream that can't be retried: engines with long queues may be
// about to respond while the retry budget is spent.
test('a stalled attempt is aborted only if the request would be retried', () => {
  const at = { kind: 'target', id: 'a' } as const;
  assert.equal(wouldRetryAfterLoss(STREAM, view(), at), true);
  assert.equal(wouldRetryAfterLoss(STREAM, view({ headSent: true }), at), true);
  assert.equal(
    wouldRetryAfterLoss(STREAM, view({ takeRetry: () => false }), at),
    false,
    'budget spent',
  );
  assert.equal(
    wouldRetryAfterLoss({ ...STREAM, maxAttempts: 1 }, view(), at),
    false,
    'no attempt left',
  );
  assert.equal(
    wouldRetryAfterLoss(STREAM, view({ candidates: [candidate('a')] }), at),
    false,
    'no destination',
  );
  assert.equal(wouldRetryAfterLoss(STREAM, view({ now: 3990 }), at), false, 'no time left');
  assert.equal(
    wouldRetryAfterLoss({ ...STREAM, resumable: false }, view(), at),
    false,
    'runs once',
  );
});

// Guards against aborting a stalled attempt of a request that would be refused instead of retried.
test('a stalled attempt is not aborted when a part of its prompt is refused', () => {
  const facts = { ...FACTS, kind: RouteKind.Repeatable };
  assert.equal(wouldRetryAfterLoss(facts, view(), { kind: 'target', id: 'a' }), true);
  const refused = view({ refusedForMs: 20_000 });
  assert.equal(wouldRetryAfterLoss(facts, refused, { kind: 'target', id: 'a' }), false);
});

test('a request with a refused part is refused as not run only if no attempt may have run', () => {
  const fresh = nextRequestStep(FACTS, view({ refusedForMs: 20_000 }));
  assert.deepEqual(fresh, { kind: 'refuse', reason: 'crashes-targets', retryAfterMs: 20_000 });
  const attempts = [tried('a', { kind: 'lost', runs: 1 })];
  const facts = { ...FACTS, kind: RouteKind.Repeatable };
  assert.equal(nextRequestStep(facts, view({ attempts, refusedForMs: 20_000 })).kind, 'fail');
});

// All targets that are left have named a rate limit.
test('a request that limited targets can take later is told when, within the time that callers wait', () => {
  const unavailable = [{ kind: 'target', id: 'a' } as const];
  const retryAfterMs = (opensInMs: number): number | undefined => {
    const step = nextRequestStep(FACTS, view({ now: 590, candidates: [], unavailable, opensInMs }));
    return step.kind === 'refuse' ? step.retryAfterMs : undefined;
  };
  assert.equal(retryAfterMs(100), 500);
  assert.equal(retryAfterMs(620), 620);
  assert.equal(retryAfterMs(60_000), (FACTS.deadlineAt - 590) * 0.2);
});

// Guards against a spent retry budget after gateways refused requests that they sent to no target.
test('a request that no target received needs no retry budget', () => {
  const peer = (node: string): Destination => ({ kind: 'peer', node, region: 'north' });
  const attempts = [
    { destination: peer('vm-1'), outcome: { kind: 'not-run', unsent: true } },
    { destination: peer('vm-2'), outcome: { kind: 'not-sent' } },
  ] as const;
  const takeRetry = (): boolean => false;
  const step = nextRequestStep(FACTS, view({ attempts, takeRetry }));
  assert.ok(step.kind === 'attempt' && !step.retry);
  const rejected = tried('c', { kind: 'not-run' });
  const last = nextRequestStep(FACTS, view({ attempts: [...attempts, rejected], takeRetry }));
  assert.ok(last.kind === 'refuse' && last.reason === 'retry-budget');
});

// Guards against starting streams that reach their deadlines before their ends.
test('a stream goes to a target that is fast enough, and is refused at once without one', () => {
  const slow = { ...candidate('a'), tooSlow: true };
  const sent = nextRequestStep(STREAM, view({ candidates: [slow, candidate('b', 30)] }));
  assert.equal(sent.kind === 'attempt' && sent.candidate.expectedWaitMs, 30);
  const refused = nextRequestStep(STREAM, view({ candidates: [slow] }));
  assert.equal(refused.kind === 'refuse' && refused.reason, 'overload');
  const resumed = nextRequestStep({ ...STREAM, resumed: true }, view({ candidates: [slow] }));
  assert.equal(resumed.kind, 'attempt');
});

// Guards against holding late requests that get no response while an overload lasts.
test('a late request is refused when deferred requests get no responses', () => {
  const late = { ...candidate('a', 900), deferredFirstByteMs: 1000 };
  const deferred = nextRequestStep(STREAM, view({ candidates: [late] }));
  assert.equal(deferred.kind === 'attempt' && deferred.deferred, true);
  const refused = nextRequestStep(STREAM, view({ candidates: [late], mayDefer: false }));
  assert.equal(refused.kind, 'refuse');
});
