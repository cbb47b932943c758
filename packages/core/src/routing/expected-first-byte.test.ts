import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../random-source.js';
import { rankTargets } from './expected-first-byte.js';
import { sharedPrefixOf, type Prompt } from './prompt.js';
import { rankWithRemoteRegions, type RegionOption } from './region-choice.js';
import { estimatePrefillMs, type ServiceSpeed } from './service-pace.js';
import { SharedPrefixAffinity } from './shared-part-homes.js';
import { TargetWork } from './target-work.js';

const PACE: ServiceSpeed = {
  prefillTokensPerMs: 50,
  attentionMsPerMillionPairs: 0.2,
  baseMs: 55,
  slotMs: 3000,
  baselineFailureRate: 0,
};
const CACHE_TOKENS = 400_000;

function prompt(subject: number, ownTokens: number, session: number): Prompt {
  return {
    segments: [
      { id: 'common', tokens: 512 },
      { id: `subject-${subject}`, tokens: 4870 },
      { id: `own-${session}`, tokens: ownTokens },
    ],
    promptTokens: 512 + 4870 + ownTokens,
    maxOutputTokens: 400,
    expectedOutputTokens: 200,
  };
}

/** Plays arrivals on six targets that read one prompt after the other; returns what was read. */
function play(useHomes: boolean): { readTokens: number; lateShare: number } {
  const random = seededRandom(20261);
  const ids = Array.from({ length: 6 }, (_, index) => `t${index}`);
  const works = new Map(ids.map((id) => [id, new TargetWork(CACHE_TOKENS)]));
  const caches = new Map(ids.map((id) => [id, new Set<string>()]));
  const freeAt = new Map(ids.map((id) => [id, 0]));
  const homes = new SharedPrefixAffinity();
  let readTokens = 0;
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
    const home = homes.preferredTarget(sharedPrefixOf(request) ?? '', ids);
    const targets = ids.map((id) => ({
      id,
      // Targets of different failure domains don't fetch from each other.
      failureDomain: id,
      slots: 64,
      work: works.get(id) as TargetWork,
      holdsShared: useHomes && id === home,
    }));
    const [best] = rankTargets(
      { prompt: request, priority: 0, latencyTargetMs: 1200 },
      targets,
      PACE,
      now,
    );
    const id = best?.destination.kind === 'target' ? best.destination.id : 't0';
    const cache = caches.get(id) as Set<string>;
    const cold = request.segments.filter((part) => !cache.has(part.id));
    const tokens = cold.reduce((sum, part) => sum + part.tokens, 0);
    request.segments.forEach((part) => cache.add(part.id));
    const start = Math.max(now, freeAt.get(id) ?? 0);
    const readMs = estimatePrefillMs(request, request.promptTokens - tokens, PACE);
    const at = start + PACE.baseMs + readMs;
    freeAt.set(id, start + readMs);
    readTokens += tokens;
    if (at - now > 1200) late += 1;
    const { prefillMs: expectedReadMs = 0, expectedFirstByteMs = 1 } = best ?? {};
    const work = { readMs: expectedReadMs, priority: 0, expectedMs: expectedFirstByteMs };
    works.get(id)?.onSend(`r${session}`, work, request, now);
    waiting.push({ id, session: `r${session}`, at });
  });
  return { readTokens, lateShare: late / arrivals.length };
}

// Pattern: heavy-tailed prompts that share one of many long parts, at two thirds of the capacity.
test('homes of shared parts save reading and keep requests in time', () => {
  const withHomes = play(true);
  const without = play(false);
  assert.ok(
    withHomes.readTokens < without.readTokens,
    `${withHomes.readTokens} of ${without.readTokens}`,
  );
  assert.ok(withHomes.lateShare <= 0.05, String(withHomes.lateShare));
});

test('a target that fails more than usual is used last', () => {
  const good = new TargetWork(CACHE_TOKENS);
  const bad = new TargetWork(CACHE_TOKENS);
  Array.from({ length: 5 }).forEach(() => bad.onOutcome(true, 1000));
  const targets = [
    { id: 'bad', failureDomain: 'north-a', slots: 6, work: bad, holdsShared: false },
    { id: 'good', failureDomain: 'north-a', slots: 6, work: good, holdsShared: false },
  ];
  const [best] = rankTargets({ priority: 0, latencyTargetMs: 600 }, targets, PACE, 1000);
  assert.deepEqual(best?.destination, { kind: 'target', id: 'good' });
});

function option(backlogMs: number, warm: boolean): RegionOption {
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
    sentSinceSummary: { requests: 0, readMs: 0 },
    sharedPrefixCached: warm,
  };
}

const REQUEST = { prompt: prompt(1, 600, 1), priority: 0, latencyTargetMs: 1200 };

function local(waitingMs: number): ReturnType<typeof rankTargets> {
  const work = new TargetWork(CACHE_TOKENS);
  if (waitingMs > 0) {
    const waiting = { readMs: waitingMs, priority: 0, expectedMs: 500 };
    work.onSend('other', waiting, prompt(2, 600, 2), 0);
  }
  const target = { id: 't0', failureDomain: 'north-a', slots: 64, work, holdsShared: true };
  return rankTargets(REQUEST, [target], PACE, 0);
}

// Pattern: a peak in the own region while another region is idle.
test('a request leaves its region when the wait there is longer than the way and a cold cache', () => {
  const idle = option(0, false);
  assert.equal(rankWithRemoteRegions(local(0), [idle], REQUEST, PACE)[0]?.destination.kind, 'target');
  assert.equal(rankWithRemoteRegions(local(1200), [idle], REQUEST, PACE)[0]?.destination.kind, 'peer');
});

test('a request stays when the other region is as busy', () => {
  const busy = option(3600, false);
  assert.equal(rankWithRemoteRegions(local(1200), [busy], REQUEST, PACE)[0]?.destination.kind, 'target');
});

// Pattern: a peak in a region with many gateways, each of which draws a target that looks free.
test('a request leaves a full region though one of its targets looks free', () => {
  const idle = option(0, true);
  const [stays] = rankWithRemoteRegions(local(0), [idle], REQUEST, PACE, { requests: 700, slots: 800 });
  assert.equal(stays?.destination.kind, 'target');
  const [leaves] = rankWithRemoteRegions(local(0), [idle], REQUEST, PACE, { requests: 1000, slots: 800 });
  assert.equal(leaves?.destination.kind, 'peer');
});

test('what was sent to a region since its summary counts as its work', () => {
  const sent = { ...option(0, false), sentSince: { requests: 30, readMs: 3600 } };
  assert.equal(rankWithRemoteRegions(local(1200), [sent], REQUEST, PACE)[0]?.destination.kind, 'target');
});

// Pattern: a target goes dark with requests on the way, and each try costs a connect timeout.
test('a target that can not be reached is avoided longer each time, until a byte comes', () => {
  const work = new TargetWork(CACHE_TOKENS);
  work.onUnreachable(0);
  const first = work.avoidedUntil;
  work.onUnreachable(first);
  assert.ok(work.avoidedUntil - first > first);
  work.onByte(first + 10);
  assert.ok(work.avoidedUntil <= first);
});

// Pattern: the target that holds a long shared part is busy while its neighbours are idle.
test('a shared part is fetched from a busy target of the failure domain rather than read again', () => {
  const holder = new TargetWork(CACHE_TOKENS);
  const idle = new TargetWork(CACHE_TOKENS);
  holder.onSend('first', { prefillMs: 900, priority: 0, expectedMs: 900 }, prompt(1, 600, 2), 0);
  const near = { id: 'idle', failureDomain: 'north-a', slots: 64, work: idle, holdsShared: false };
  const busy = { ...near, id: 'holder', work: holder };
  const [best] = rankTargets(REQUEST, [busy, near], PACE, 0);
  assert.deepEqual(best?.destination, { kind: 'target', id: 'idle' });
  assert.equal(best.fetchFrom, 'holder');
  assert.equal(best.uncachedTokens, 600);
  const far = { ...near, id: 'far', failureDomain: 'north-b' };
  const [first] = rankTargets(REQUEST, [busy, far], PACE, 0).filter(
    ({ destination: place }) => place.kind === 'target' && place.id === 'far',
  );
  assert.equal(first?.fetchFrom, undefined);
});

// Pattern: long streams fill the memory of a target, so that new requests wait and running ones are
// put back.
test('a target whose memory is full is used after one that has room', () => {
  const full = new TargetWork(40_000);
  const free = new TargetWork(40_000);
  Array.from({ length: 6 }, (_, session) => session).forEach((session) => {
    const id = `r${session}`;
    full.onSend(id, { prefillMs: 10, priority: 0, expectedMs: 50 }, prompt(1, 6000, session), 0);
    full.onFirstByte(id, 60);
  });
  const target = { failureDomain: 'north-a', slots: 64, holdsShared: true };
  const targets = [
    { ...target, id: 'full', work: full },
    { ...target, id: 'free', work: free },
  ];
  const [best, other] = rankTargets(REQUEST, targets, PACE, 1000);
  assert.deepEqual(best?.destination, { kind: 'target', id: 'free' });
  assert.ok((other?.expectedWaitMs ?? 0) > 0);
  full.onEnd('r0', 1000);
  full.onEnd('r1', 1000);
  assert.equal(rankTargets(REQUEST, targets, PACE, 1000)[0]?.expectedWaitMs, 0);
});

// Pattern: twenty gateways share the targets of a region, so that each knows little of their load.
test('a report of the target goes before what other gateways told', () => {
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
