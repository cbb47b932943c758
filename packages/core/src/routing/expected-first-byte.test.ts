import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../random-source.js';
import { rankTargets } from './expected-first-byte.js';
import { sharedPrefixOf, type Prompt } from './prompt.js';
import { rankWithRemoteRegions, type RegionOption } from './region-choice.js';
import { estimatePrefillMs, type ServiceSpeed } from './service-speed.js';
import { SharedPrefixAffinity } from './shared-prefix-affinity.js';
import { TargetWork } from './target-work.js';

const SPEED: ServiceSpeed = {
  prefillTokensPerMs: 50,
  attentionMsPerMillionPairs: 0.2,
  baseMs: 55,
  slotMs: 3000,
  baselineFailureRate: 0,
};
const CACHE_TOKENS = 400_000;

function prompt(subject: number, sessionTokens: number, session: number): Prompt {
  return {
    segments: [
      { id: 'common', tokens: 512 },
      { id: `subject-${subject}`, tokens: 4870 },
      { id: `own-${session}`, tokens: sessionTokens },
    ],
    promptTokens: 512 + 4870 + sessionTokens,
    maxOutputTokens: 400,
    expectedOutputTokens: 200,
  };
}

/** Simulates arrivals at six targets that prefill one prompt at a time; returns the tokens prefilled. */
function simulate(useAffinity: boolean): { prefilledTokens: number; lateShare: number } {
  const random = seededRandom(20261);
  const ids = Array.from({ length: 6 }, (_, index) => `t${index}`);
  const works = new Map(ids.map((id) => [id, new TargetWork(CACHE_TOKENS)]));
  const caches = new Map(ids.map((id) => [id, new Set<string>()]));
  const freeAt = new Map(ids.map((id) => [id, 0]));
  const affinity = new SharedPrefixAffinity();
  let prefilledTokens = 0;
  let late = 0;
  const waiting: { id: string; session: string; at: number }[] = [];
  const arrivals = Array.from({ length: 2000 }, (_, session) => ({ session, now: session * 30 }));
  arrivals.forEach(({ session, now }) => {
    waiting
      .filter(({ at }) => at <= now)
      .forEach((done) => {
        works.get(done.id)?.onFirstByte(done.session, done.at);
        works.get(done.id)?.onEnd(done.session, done.at);
        waiting.splice(waiting.indexOf(done), 1);
      });
    const own = Math.round(500 + random.next() ** 4 * 24_000);
    const request = prompt(Math.floor(random.next() * 118), own, session);
    const preferred = affinity.preferredTarget(sharedPrefixOf(request) ?? '', ids);
    const targets = ids.map((id) => ({
      id,
      // Targets of different failure domains don't fetch from each other.
      failureDomain: id,
      slots: 64,
      work: works.get(id) as TargetWork,
      sharedPrefixCached: useAffinity && id === preferred,
    }));
    const [best] = rankTargets(
      { prompt: request, priority: 0, latencyTargetMs: 1200 },
      targets,
      SPEED,
      now,
    );
    const id = best?.destination.kind === 'target' ? best.destination.id : 't0';
    const cache = caches.get(id) as Set<string>;
    const cold = request.segments.filter((segment) => !cache.has(segment.id));
    const tokens = cold.reduce((sum, segment) => sum + segment.tokens, 0);
    request.segments.forEach((segment) => cache.add(segment.id));
    const start = Math.max(now, freeAt.get(id) ?? 0);
    const prefillMs = estimatePrefillMs(request, request.promptTokens - tokens, SPEED);
    const at = start + SPEED.baseMs + prefillMs;
    freeAt.set(id, start + prefillMs);
    prefilledTokens += tokens;
    if (at - now > 1200) late += 1;
    const { prefillMs: expectedPrefillMs = 0, expectedFirstByteMs = 1 } = best ?? {};
    const work = { prefillMs: expectedPrefillMs, priority: 0, expectedMs: expectedFirstByteMs };
    works.get(id)?.onSend(`r${session}`, work, request, now);
    waiting.push({ id, session: `r${session}`, at });
  });
  return { prefilledTokens, lateShare: late / arrivals.length };
}

// Heavy-tailed prompts that share one of many long prefixes, at two thirds of the capacity.
test('affinity of shared prefixes saves prefill and keeps requests in time', () => {
  const withAffinity = simulate(true);
  const without = simulate(false);
  assert.ok(
    withAffinity.prefilledTokens < without.prefilledTokens,
    `${withAffinity.prefilledTokens} of ${without.prefilledTokens}`,
  );
  assert.ok(withAffinity.lateShare <= 0.05, String(withAffinity.lateShare));
});

test('a target with a raised failure rate is ranked last', () => {
  const good = new TargetWork(CACHE_TOKENS);
  const bad = new TargetWork(CACHE_TOKENS);
  Array.from({ length: 5 }).forEach(() => bad.onOutcome(true, 1000));
  const targets = [
    { id: 'bad', failureDomain: 'north-a', slots: 6, work: bad, sharedPrefixCached: false },
    { id: 'good', failureDomain: 'north-a', slots: 6, work: good, sharedPrefixCached: false },
  ];
  const [best] = rankTargets({ priority: 0, latencyTargetMs: 600 }, targets, SPEED, 1000);
  assert.deepEqual(best?.destination, { kind: 'target', id: 'good' });
});

function option(backlogMs: number, sharedPrefixCached: boolean): RegionOption {
  return {
    region: 'west',
    node: 'vm-9',
    work: {
      targets: 3,
      slots: 192,
      requests: 20,
      backlogMs,
      memoryTokens: 0,
      memoryCapacityTokens: 1e6,
    },
    workAgeMs: 300,
    roundTripMs: 160,
    sentSinceSummary: { requests: 0, prefillMs: 0 },
    sharedPrefixCached,
  };
}

const REQUEST = { prompt: prompt(1, 600, 1), priority: 0, latencyTargetMs: 1200 };

function local(waitingMs: number): ReturnType<typeof rankTargets> {
  const work = new TargetWork(CACHE_TOKENS);
  if (waitingMs > 0) {
    const waiting = { prefillMs: waitingMs, priority: 0, expectedMs: 500 };
    work.onSend('other', waiting, prompt(2, 600, 2), 0);
  }
  const target = { id: 't0', failureDomain: 'north-a', slots: 64, work, sharedPrefixCached: true };
  return rankTargets(REQUEST, [target], SPEED, 0);
}

// Guards against requests queueing during a peak in the local region while another region is idle.
test('a request is forwarded when the local wait exceeds the round trip plus a cold prefill', () => {
  const idle = option(0, false);
  assert.equal(
    rankWithRemoteRegions(local(0), [idle], REQUEST, SPEED)[0]?.destination.kind,
    'target',
  );
  assert.equal(
    rankWithRemoteRegions(local(1200), [idle], REQUEST, SPEED)[0]?.destination.kind,
    'peer',
  );
});

test('a request is not forwarded to a region that is as busy', () => {
  const busy = option(3600, false);
  assert.equal(
    rankWithRemoteRegions(local(1200), [busy], REQUEST, SPEED)[0]?.destination.kind,
    'target',
  );
});

// Guards against many gateways that all sample a target which looks free in an overloaded region.
test('a request is forwarded from a full region even if one of its targets looks free', () => {
  const idle = option(0, true);
  const [stays] = rankWithRemoteRegions(local(0), [idle], REQUEST, SPEED, {
    requests: 700,
    slots: 800,
  });
  assert.equal(stays?.destination.kind, 'target');
  const [leaves] = rankWithRemoteRegions(local(0), [idle], REQUEST, SPEED, {
    requests: 1000,
    slots: 800,
  });
  assert.equal(leaves?.destination.kind, 'peer');
});

test('requests sent to a region since its last summary count towards its load', () => {
  const sent = { ...option(0, false), sentSinceSummary: { requests: 30, prefillMs: 3600 } };
  assert.equal(
    rankWithRemoteRegions(local(1200), [sent], REQUEST, SPEED)[0]?.destination.kind,
    'target',
  );
});

// Guards against repeated connect timeouts at a target that became unreachable under load.
test('an unreachable target is avoided with exponential backoff until it responds', () => {
  const work = new TargetWork(CACHE_TOKENS);
  work.onUnreachable(0);
  const first = work.avoidedUntil;
  work.onUnreachable(first);
  assert.ok(work.avoidedUntil - first > first);
  work.onByte(first + 10);
  assert.ok(work.avoidedUntil <= first);
});

// The target that caches a long shared prefix is busy while others in the failure domain are idle.
test('a shared prefix is fetched from a busy target of the failure domain instead of recomputed', () => {
  const holder = new TargetWork(CACHE_TOKENS);
  const idle = new TargetWork(CACHE_TOKENS);
  holder.onSend('first', { prefillMs: 900, priority: 0, expectedMs: 900 }, prompt(1, 600, 2), 0);
  const near = {
    id: 'idle',
    failureDomain: 'north-a',
    slots: 64,
    work: idle,
    sharedPrefixCached: false,
  };
  const busy = { ...near, id: 'holder', work: holder };
  const [best] = rankTargets(REQUEST, [busy, near], SPEED, 0);
  assert.deepEqual(best?.destination, { kind: 'target', id: 'idle' });
  assert.equal(best.fetchFrom, 'holder');
  assert.equal(best.uncachedTokens, 600);
  const far = { ...near, id: 'far', failureDomain: 'north-b' };
  const [first] = rankTargets(REQUEST, [busy, far], SPEED, 0).filter(
    ({ destination }) => destination.kind === 'target' && destination.id === 'far',
  );
  assert.equal(first?.fetchFrom, undefined);
});

// Long streams fill the KV memory of a target, so that new requests wait and running ones are
// preempted.
test('a target with full KV memory is ranked after one with free memory', () => {
  const full = new TargetWork(40_000);
  const free = new TargetWork(40_000);
  Array.from({ length: 6 }, (_, session) => session).forEach((session) => {
    const id = `r${session}`;
    full.onSend(id, { prefillMs: 10, priority: 0, expectedMs: 50 }, prompt(1, 6000, session), 0);
    full.onFirstByte(id, 60);
  });
  const target = { failureDomain: 'north-a', slots: 64, sharedPrefixCached: true };
  const targets = [
    { ...target, id: 'full', work: full },
    { ...target, id: 'free', work: free },
  ];
  const [best, other] = rankTargets(REQUEST, targets, SPEED, 1000);
  assert.deepEqual(best?.destination, { kind: 'target', id: 'free' });
  assert.ok((other?.expectedWaitMs ?? 0) > 0);
  full.onEnd('r0', 1000);
  full.onEnd('r1', 1000);
  assert.equal(rankTargets(REQUEST, targets, SPEED, 1000)[0]?.expectedWaitMs, 0);
});

// Twenty gateways share the targets of a region, so each gateway sees only a small part of their load.
test('a load report of the target takes precedence over the counts of other gateways', () => {
  const work = new TargetWork(CACHE_TOKENS);
  work.updatePeerWork('vm-2', { requests: 1, memoryTokens: 100 }, 0);
  work.onSend('mine', { prefillMs: 10, priority: 0, expectedMs: 50 }, prompt(1, 600, 1), 0);
  work.updateLoadReport({ requests: 16, memoryTokens: 90_000 }, 100);
  assert.equal(work.requests(200), 16);
  work.onEnd('mine', 300);
  assert.equal(work.requests(300), 15);
  work.updatePeerWork('vm-2', { requests: 3, memoryTokens: 100 }, 1500);
  assert.equal(work.requests(1900), 3);
});

// Guards against deployments whose targets tell no speed and that are served differently than before.
test('targets are told apart by learned speeds only where the service learns them', () => {
  const [usual, slow] = [new TargetWork(CACHE_TOKENS), new TargetWork(CACHE_TOKENS)];
  slow.updateLoadReport({ requests: 3, speedFactor: 4, slowness: 400, paceMs: 300 }, 1000);
  usual.updateLoadReport({ requests: 0 }, 1000);
  const targets = [usual, slow].map((work, index) => ({
    id: `t${index}`,
    failureDomain: 'north-a',
    slots: 64,
    work,
    sharedPrefixCached: false,
  }));
  const costs = (learnsSpeeds: boolean): number[] =>
    rankTargets(REQUEST, targets, { ...SPEED, learnsSpeeds }, 1000).map(({ costMs }) => costMs);
  const [off = 0, alsoOff = 0] = costs(false);
  const [on = 0, dearer = 0] = costs(true);
  assert.equal(off, alsoOff);
  assert.ok(dearer > on * 1.5, `${on}, ${dearer}`);
});
