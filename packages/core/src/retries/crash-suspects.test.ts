import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { seededRandom } from '../random-source.js';
import { CrashSuspects, isSegmentKey, requestKey } from './crash-suspects.js';

const NEVER = (): boolean => false;
const ALWAYS = (): boolean => true;
const TRIAL_DUE_MS = 25_000;

/** Targets die one second after the other while they have requests with the segments. */
function deaths(
  count: number,
  suspects: CrashSuspects,
  segments: readonly string[],
  from = 0,
): void {
  Array.from({ length: count }).forEach((_, index) => {
    suspects.onDeath(`i-${index}`, `req-${index}`, segments, from + index * 1000);
  });
}

// Guards against requests that share a part of their prompt and crash one target after the other.
test('a segment is refused after three deaths without an answer', () => {
  const suspects = new CrashSuspects();
  deaths(3, suspects, ['bad']);
  assert.equal(suspects.verdict(['good', 'bad'], NEVER, 2100)?.key, 'bad');
  assert.equal(suspects.verdict(['good'], NEVER, 2100), undefined);
});

// Guards against refusing all requests of a route because of the prompt that they share.
test('a segment that is answered between deaths is not refused', () => {
  const suspects = new CrashSuspects();
  Array.from({ length: 20 }).forEach((_, index) => {
    const at = index * 1000;
    suspects.onDeath(`i-${index}`, `req-${index}`, ['system', 'bad'], at);
    suspects.onAnswered(['system', `document-${index}`], at + 400, at + 600);
  });
  assert.equal(suspects.verdict(['system'], NEVER, 20_000), undefined);
  assert.equal(suspects.verdict(['system', 'bad'], NEVER, 20_000)?.key, 'bad');
});

// Guards against taking the loss of a rack, or of all targets, for a bad prompt.
test('targets that die together count as one death', () => {
  const suspects = new CrashSuspects();
  Array.from({ length: 30 }).forEach((_, index) => {
    suspects.onDeath(`i-${index}`, `req-${index}`, ['system'], index * 5);
  });
  assert.equal(suspects.verdict(['system'], NEVER, 1000), undefined);
});

// Guards against a request that crashes the only target of a service again and again.
test('a target that dies again after its restart counts again, also when its entry is the old one', () => {
  const suspects = new CrashSuspects();
  const other = new CrashSuspects();
  [0, 2000, 4000].forEach((at, index) => {
    const rows = suspects.onDeath('i-1', `req-${index}`, ['bad'], at);
    other.merge(rows, at + 80);
    other.onDeath('i-1', `req-b-${index}`, ['bad'], at + 500);
  });
  assert.equal(suspects.verdict(['bad'], NEVER, 4100)?.deaths, 3);
  assert.equal(other.verdict(['bad'], NEVER, 4600)?.deaths, 3);
});

test('one request that is retried at several targets does not blame the segments that it shares', () => {
  const suspects = new CrashSuspects();
  [0, 1, 2, 3].forEach((index) => {
    suspects.onDeath(`i-${index}`, 'req-1', ['document'], index * 1000);
  });
  assert.equal(suspects.verdict(['document'], NEVER, 4000), undefined);
});

test('a whole request is refused after three deaths, also if all were attempts of one client request', () => {
  const suspects = new CrashSuspects();
  const key = requestKey('/orders/7', 16, () => 'digest') ?? '';
  [0, 1, 2].forEach((index) => suspects.onDeath(`i-${index}`, 'req-1', [key], index * 1000));
  assert.equal(suspects.verdict([key], NEVER, 2100)?.key, key);
});

// Guards against a request that crashes targets for ever, once in each trial.
test('a whole request is tried again at most three times', () => {
  const suspects = new CrashSuspects();
  const key = requestKey('/orders/7', 16, () => 'digest') ?? '';
  deaths(3, suspects, [key]);
  const trials = Array.from({ length: 600 }, (_, index) => 3000 + index * 1000).filter((now) => {
    if (suspects.verdict([key], ALWAYS, now)) return false;
    suspects.onSend([key], now);
    suspects.onDeath(`i-${now}`, `req-${now}`, [key], now);
    return true;
  });
  assert.equal(trials.length, 3);
});

// Guards against six crashes by three client requests that each were retried at once.
test('an immediate retry of a whole request that kills another target counts as a death of its own', () => {
  const suspects = new CrashSuspects();
  const other = new CrashSuspects();
  const key = requestKey('/orders/7', 16, () => 'digest') ?? '';
  const firstRows = suspects.onDeath('i-1', 'req-1', [key], 105, { ageMs: 5, ranMs: 40 });
  const retryRows = suspects.onDeath('i-2', 'req-1', [key], 120, { ageMs: 5, ranMs: 13 });
  const next = suspects.onDeath('i-3', 'req-2', [key], 5000, { ageMs: 5, ranMs: 13 });
  assert.equal(suspects.verdict([key], NEVER, 5100)?.deaths, 3);
  other.merge(firstRows, 185);
  other.merge(retryRows, 200);
  other.merge(next, 5080);
  assert.equal(other.verdict([key], NEVER, 5100)?.deaths, 3);
});

test('a whole request that is at several targets that die together counts as one death', () => {
  const suspects = new CrashSuspects();
  const key = requestKey('/status', 0, () => 'digest') ?? '';
  [0, 50, 100].forEach((at, index) => {
    suspects.onDeath(`i-${index}`, 'req', [key], at, { ageMs: 0, ranMs: 300 });
  });
  assert.equal(suspects.verdict([key], NEVER, 400), undefined);
});

test('a request is digested only if one with its path and size is a suspect', () => {
  const suspects = new CrashSuspects();
  const unexpected = (): string => assert.fail('digested');
  const isTracked = (prefix: string): boolean => suspects.hasPrefix(prefix);
  const key = requestKey('/orders/7', 16, () => 'digest') ?? '';
  suspects.onDeath('i-1', 'req-1', [key], 0);
  assert.equal(requestKey('/orders/7', 17, unexpected, isTracked), undefined);
  assert.equal(requestKey('/orders/8', 16, unexpected, isTracked), undefined);
  assert.equal(
    requestKey('/orders/7', 16, () => 'digest', isTracked),
    key,
  );
  assert.equal(isSegmentKey(key), false);
});

test('a segment whose requests were answered before needs five deaths', () => {
  const suspects = new CrashSuspects();
  suspects.onAnswered(['document'], 0, 0);
  deaths(3, suspects, ['document'], 1000);
  assert.equal(suspects.verdict(['document'], NEVER, 4000), undefined);
  suspects.onDeath('i-3', 'req-3', ['document'], 5000);
  suspects.onDeath('i-4', 'req-4', ['document'], 6000);
  assert.notEqual(suspects.verdict(['document'], NEVER, 6100), undefined);
});

test('an answer that was complete before a death does not clear its segments of it', () => {
  const suspects = new CrashSuspects();
  deaths(5, suspects, ['bad'], 1000);
  suspects.onAnswered(['bad'], 500, 6000);
  assert.notEqual(suspects.verdict(['bad'], NEVER, 6100), undefined);
});

// Guards against a part that is never refused because its answers go on for some time before each crash.
test('an answer that goes on clears only segments that were good before', () => {
  const suspects = new CrashSuspects();
  suspects.onAnswered(['system'], 0, 0);
  [1000, 2000, 3000, 4000, 5000].forEach((at, index) => {
    suspects.onDeath(`i-${index}`, `req-${index}`, ['system', 'bad'], at);
    suspects.onSurvived(['system', 'bad'], at + 300, at + 500);
  });
  assert.equal(suspects.verdict(['system'], NEVER, 6000), undefined);
  assert.equal(suspects.verdict(['bad'], NEVER, 6000)?.key, 'bad');
});

// Guards against refusing the segments of long streams that end with targets which crash by themselves.
test('long answers that end with their targets do not blame segments that were good before', () => {
  const suspects = new CrashSuspects();
  suspects.onAnswered(['system'], 0, 0);
  Array.from({ length: 8 }).forEach((_, index) => {
    const times = { ageMs: 0, ranMs: 3000, wroteMs: 2500 };
    suspects.onDeath(`i-${index}`, `req-${index}`, ['system'], 1000 + index * 1000, times);
  });
  assert.equal(suspects.verdict(['system'], NEVER, 9000), undefined);
});

test('a gateway that never answered a segment learns with its deaths that it was good', () => {
  const [witness, other] = [new CrashSuspects(), new CrashSuspects()];
  witness.onAnswered(['system'], 0, 0);
  Array.from({ length: 4 }).forEach((_, index) => {
    const at = 1000 + index * 1000;
    const times = { ageMs: 0, ranMs: 3000, wroteMs: 2500 };
    other.merge(witness.onDeath(`i-${index}`, `req-${index}`, ['system'], at, times), at + 20);
  });
  assert.equal(other.verdict(['system'], NEVER, 5000), undefined);
});

// Guards against refusing sound requests that were in flight each time another one crashed their target.
test('deaths that a refused segment explains do not count against the segments beside it', () => {
  const suspects = new CrashSuspects();
  suspects.onAnswered(['system', 'document'], 0, 0);
  Array.from({ length: 7 }).forEach((_, index) => {
    suspects.onDeath(`i-${index}`, `req-${index}`, ['system', 'bad'], 1000 + index * 1000);
    suspects.onDeath(`i-${index}`, `other-${index}`, ['system', 'document'], 1010 + index * 1000);
  });
  assert.equal(suspects.verdict(['system', 'document'], NEVER, 9000), undefined);
  assert.equal(suspects.verdict(['system', 'bad'], NEVER, 9000)?.key, 'bad');
});

// Guards against refusing all requests of a route while targets crash by themselves and no answer of
// the route has been completed yet.
test('a segment that nearly all requests have is refused only after seven deaths', () => {
  const suspects = new CrashSuspects((key) => key === 'system');
  deaths(6, suspects, ['system', 'document']);
  assert.equal(suspects.verdict(['system'], NEVER, 6000), undefined);
  assert.equal(suspects.verdict(['system', 'document'], NEVER, 6000)?.key, 'document');
  suspects.onDeath('i-7', 'req-7', ['system'], 7000);
  assert.notEqual(suspects.verdict(['system'], NEVER, 7100), undefined);
});

test('deaths without the refused segment still count against others', () => {
  const suspects = new CrashSuspects();
  deaths(4, suspects, ['bad', 'second']);
  deaths(3, suspects, ['second'], 10_000);
  assert.notEqual(suspects.verdict(['second'], NEVER, 13_000), undefined);
});

// Guards against forgetting a segment between its deaths because each target had many other requests.
test('a segment with several deaths is kept while many others have one', () => {
  const suspects = new CrashSuspects();
  deaths(2, suspects, ['bad']);
  Array.from({ length: 600 }).forEach((_, index) => {
    suspects.onDeath('i-9', `req-${index}`, [`other-${index}`], 2500);
  });
  suspects.onDeath('i-3', 'req-3', ['bad'], 3000);
  assert.equal(suspects.verdict(['bad'], NEVER, 3100)?.deaths, 3);
});

test('one gateway tries a refused segment again, and an answer ends the refusal everywhere', () => {
  const trying = new CrashSuspects();
  const other = new CrashSuspects();
  deaths(3, trying, ['part']);
  other.merge(trying.rows(8, 2000), 2000);
  assert.notEqual(other.verdict(['part'], NEVER, 2100), undefined);
  assert.equal(trying.verdict(['part'], ALWAYS, TRIAL_DUE_MS), undefined);
  trying.onSend(['part'], TRIAL_DUE_MS);
  assert.notEqual(trying.verdict(['part'], ALWAYS, TRIAL_DUE_MS + 10), undefined);
  other.merge(
    trying.onAnswered(['part'], TRIAL_DUE_MS + 100, TRIAL_DUE_MS + 200),
    TRIAL_DUE_MS + 200,
  );
  assert.equal(trying.verdict(['part'], NEVER, TRIAL_DUE_MS + 300), undefined);
  assert.equal(other.verdict(['part'], NEVER, TRIAL_DUE_MS + 300), undefined);
});

// Guards against admitting a refused segment again because further deaths replace those that count.
test('a refused segment stays refused when many more targets die together', () => {
  const suspects = new CrashSuspects();
  deaths(3, suspects, ['bad']);
  Array.from({ length: 12 }).forEach((_, index) => {
    suspects.onDeath(`i-${index + 10}`, `req-${index + 10}`, ['bad'], 3000 + index * 10);
    assert.notEqual(suspects.verdict(['bad'], NEVER, 3200), undefined);
  });
});

// Guards against admitting a refused segment again because many targets die with other requests.
test('a refused segment is kept while many other segments become suspects', () => {
  const suspects = new CrashSuspects();
  deaths(3, suspects, ['bad']);
  Array.from({ length: 600 }).forEach((_, index) => {
    suspects.onDeath('i-9', `req-${index}`, [`other-${index}`], 5000);
  });
  assert.notEqual(suspects.verdict(['bad'], NEVER, 5100), undefined);
  assert.ok(suspects.size <= 256);
});

test('evidence that arrives after the answer that refuted it is ignored', () => {
  const suspects = new CrashSuspects();
  const behind = new CrashSuspects();
  deaths(3, behind, ['part']);
  const stale = behind.rows(8, 2100);
  suspects.onDeath('i-0', 'req-0', ['part'], 0);
  suspects.onAnswered(['part'], 2050, 2100);
  suspects.merge(stale, 2100);
  assert.equal(suspects.verdict(['part'], NEVER, 2200), undefined);
});

test('gateways agree on a segment in whatever order their evidence arrives, and keep it bounded', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 1_000_000 }), (seed) => {
      const random = seededRandom(seed);
      const gateways = Array.from({ length: 6 }, () => new CrashSuspects());
      Array.from({ length: 8 }).forEach((_, index) => {
        const witness = gateways[Math.floor(random.next() * gateways.length)];
        witness?.onDeath(`i-${index}`, `req-${index}`, ['bad', `own-${index}`], index * 700);
      });
      Array.from({ length: 600 }).forEach((_, index) => {
        gateways[0]?.onDeath('i-8', `req-${index}`, [`filler-${index}`], 5700);
      });
      // A row is gossiped once its gateway saw two deaths; single deaths are announced to all.
      const rows = gateways.flatMap((gateway) => gateway.rows(300, 6000));
      const shuffled = rows
        .map((row) => ({ row, key: random.next() }))
        .sort((a, b) => a.key - b.key)
        .map(({ row }) => row);
      const late = new CrashSuspects();
      late.merge(shuffled, 6000);
      const early = new CrashSuspects();
      early.merge([...shuffled].reverse(), 6000);
      assert.deepEqual(
        late.verdict(['bad'], NEVER, 6100)?.deaths,
        early.verdict(['bad'], NEVER, 6100)?.deaths,
      );
      assert.ok(gateways.every(({ size }) => size <= 256));
    }),
    { seed: 20261, numRuns: 100 },
  );
});
