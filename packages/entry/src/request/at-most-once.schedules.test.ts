import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ScheduleFleet } from '../testing/schedule-fleet.js';

const SEED = Number(process.env.MARJORAMCART_SEED ?? 20_261);
const SCHEDULES = 1000;
const ENTRIES = 3;
const EVENT_KINDS = [
  ...['send', 'send', 'send', 'step', 'step', 'step', 'step', 'step', 'step', 'step'],
  ...['lose', 'freeze', 'thaw', 'thaw', 'restart', 'advance', 'gossip', 'target'],
] as const;
/** Without these events no outcome is unknown. */
const FAILURE_EVENTS = new Set(['lose', 'freeze', 'restart', 'advance', 'target']);
const event = fc.record({ kind: fc.constantFrom(...EVENT_KINDS), pick: fc.nat(1000) });
const schedule = fc.record({
  seed: fc.nat(1_000_000),
  events: fc.array(event, { minLength: 20, maxLength: 80, size: 'max' }),
});

interface Event {
  readonly kind: string;
  readonly pick: number;
}

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

function apply(fleet: ScheduleFleet, keys: readonly string[], { kind, pick }: Event): void {
  const deadlineMs = pick % 2 === 0 ? 1000 : 8000;
  const actions: Record<string, () => void> = {
    send: () => fleet.send(keys[pick % keys.length] ?? '', Math.floor(pick / 7), deadlineMs),
    step: () => fleet.step(pick, true),
    lose: () => fleet.step(pick, false),
    freeze: () => fleet.freeze(pick),
    thaw: () => fleet.thaw(pick),
    restart: () => fleet.restart(pick),
    advance: () => fleet.advance([50, 600, 2500][pick % 3] ?? 0),
    gossip: () => fleet.gossip(),
    target: () => fleet.toggleTarget(pick),
  };
  actions[kind]?.();
}

/** Resumes all entries and executes all remaining steps, also those after the deadlines. */
async function drain(fleet: ScheduleFleet, round = 0): Promise<void> {
  Array.from({ length: ENTRIES }, (_, n) => fleet.thaw(n));
  await settle();
  await settle();
  if (fleet.step(0, true)) await drain(fleet, round);
  else if (round < 3) {
    fleet.advance(5000);
    await drain(fleet, round + 1);
  }
}

test('an idempotency key runs at most once and its reported run state is correct under any failures', async (t) => {
  // Guards against a second run or a wrong run state after retries, forwards, cancellations,
  // pauses, restarts on the same address and lost messages in any order.
  const counts = { schedules: 0, runs: 0, ran: 0, not_run: 0, unknown: 0 };
  await fc.assert(
    fc.asyncProperty(schedule, async ({ seed, events }) => {
      const fleet = new ScheduleFleet(seed);
      const keys = [fleet.entry(0).key('nonce-0001'), fleet.entry(2).key('nonce-0002')];
      await events.reduce(
        (before, next) =>
          before.then(() => {
            apply(fleet, keys, next);
            return settle();
          }),
        Promise.resolve(),
      );
      await drain(fleet);
      keys.forEach((key) => {
        const runs = fleet.runs.get(key) ?? 0;
        const runStates = fleet.responses
          .filter((response) => response.key === key)
          .map(({ run }) => run);
        assert.ok(runs <= 1, `the target ran the request ${runs} times`);
        assert.ok(
          runs === 0 || !runStates.includes('not_run'),
          'not_run was reported for a request that ran',
        );
        assert.ok(
          runs === 1 || !runStates.includes('ran'),
          'ran was reported for a request that did not run',
        );
        const anyFailure = events.some(({ kind }) => FAILURE_EVENTS.has(kind));
        assert.ok(
          anyFailure || !runStates.includes('unknown'),
          'unknown was reported without any failure',
        );
        counts.runs += runs;
      });
      counts.schedules += 1;
      fleet.responses.forEach(({ run }) => {
        if (run === 'ran' || run === 'not_run' || run === 'unknown') counts[run] += 1;
      });
    }),
    { seed: SEED, numRuns: SCHEDULES },
  );
  const responseCount = counts.ran + counts.not_run + counts.unknown;
  t.diagnostic(`${JSON.stringify(counts)}, unknown ${(counts.unknown / responseCount).toFixed(3)}`);
  assert.ok(
    counts.ran > 0 && counts.not_run > 0 && counts.unknown > 0,
    'a run state did not occur',
  );
});
