/** Compares incremental views with full views over seeded random histories. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type {
  DomainSummary,
  DomainView,
  ProcessRecord,
  SuspectRecord,
  TargetState,
} from '../messages/messages.js';
import { ViewLog, applyViewChanges, type ViewContent } from './view-log.js';

const SEED = 20_261_204;
const INITIAL_VERSION = 1000;
const NAMES = ['1', '2', '3', '4', '5'];

function targetState(n: string, running: number, reportAgeMs: number): TargetState {
  return {
    ...{ vm: n, address: `127.0.0.${n}:1`, kind: 'engine', leaving: running === 3 },
    ...{ services: running > 1 ? ['a', 'b'] : ['a'], healthy: running !== 2, running },
    ...{ queued: 0, waitMs: 0, concurrency: 32, sequence: 1, reportAgeMs },
  };
}

function processEntry(n: string, openRequests: number, heartbeat: number): ProcessRecord {
  const location = { vm: n, region: 'north', failureDomain: 'north-1', peerAddress: '127.0.0.1:2' };
  const load = { openRequests, queued: 0, draining: false };
  return { process: { bootId: n, role: 'entry', ...location }, heartbeat, revision: 1, load };
}

function summary(n: string, version: number, ageMs: number): DomainSummary {
  return { failureDomain: n, region: 'west', version, ageMs, services: [], entries: [] };
}

function suspect(digest: string, deaths: number, ageMs: number): SuspectRecord {
  const request = { customer: 'c', service: 's', refused: false };
  return { digest, ...request, deaths, expiresInMs: 600_000 - ageMs };
}

const figures = fc.dictionary(fc.constantFrom(...NAMES), fc.nat(3));

/** Figures of the items that exist at a step, by name; an equal figure is an unchanged item. */
const step = fc.record({
  afterMs: fc.nat(500),
  targets: figures,
  processes: figures,
  summaries: figures,
  suspects: figures,
  isolated: fc.boolean(),
  /** Which of the entries sync after the step. */
  syncs: fc.array(fc.boolean(), { minLength: 2, maxLength: 2 }),
});

/** Returns the age of an item, which grows while the item is unchanged. */
function makeAges(): (name: string, figure: number | undefined, nowMs: number) => number {
  const seen = new Map<string, { figure?: number; at: number }>();
  return (name, figure, nowMs) => {
    const before = seen.get(name);
    const at = before?.figure === figure ? (before?.at ?? nowMs) : nowMs;
    seen.set(name, { figure, at });
    return nowMs - at;
  };
}

class Entry {
  view: DomainView | undefined;

  private at = 0;

  sync(log: ViewLog, nowMs: number): void {
    const changes = this.view && log.changesSince(this.view.version, nowMs);
    this.view =
      this.view && changes
        ? applyViewChanges(this.view, changes, nowMs - this.at)
        : log.fullView(nowMs);
    this.at = nowMs;
  }
}

test('an entry that missed syncs ends up with the same view as one that received all', () => {
  // Guards against targets, summaries or ages that stay outdated until the next full view.
  fc.assert(
    fc.property(fc.array(step, { minLength: 1, maxLength: 30 }), (steps) => {
      const log = new ViewLog(INITIAL_VERSION);
      const ageOf = makeAges();
      const clock = { nowMs: 0 };
      const syncedEachStep = new Entry();
      const syncedSometimes = [new Entry(), new Entry()];
      steps.forEach(({ afterMs, isolated, syncs, ...items }, index) => {
        clock.nowMs += afterMs;
        const { nowMs } = clock;
        // Requests each name at each step, so that an item that is added again is new.
        const itemsOf = <Item>(
          kind: 'targets' | 'processes' | 'summaries' | 'suspects',
          make: (n: string, figure: number, ageMs: number) => Item,
        ): Item[] =>
          NAMES.flatMap((n) => {
            const figure = items[kind][n];
            const ageMs = ageOf(kind + n, figure, nowMs);
            return figure === undefined ? [] : [make(n, figure, ageMs)];
          });
        const content: ViewContent = {
          targets: itemsOf('targets', targetState),
          processes: itemsOf('processes', (n, figure) => processEntry(n, figure, index)),
          summaries: itemsOf('summaries', summary),
          suspects: itemsOf('suspects', suspect),
          ...{ isolated, entriesPerRegion: { north: Object.keys(items.processes).length } },
        };
        log.update(content, nowMs);
        syncedEachStep.sync(log, nowMs);
        assert.deepEqual(syncedEachStep.view, log.fullView(nowMs));
        syncedSometimes.filter((_, n) => syncs[n]).forEach((entry) => entry.sync(log, nowMs));
      });
      syncedSometimes.forEach((entry) => {
        entry.sync(log, clock.nowMs);
        assert.deepEqual(entry.view, syncedEachStep.view);
      });
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test('an entry with a version that the log does not know gets the full view', () => {
  // Guards against changes that are applied to a view of another version.
  const log = new ViewLog(INITIAL_VERSION);
  const empty = { targets: [], processes: [], summaries: [], suspects: [] };
  const content = { ...empty, isolated: false, entriesPerRegion: {} };
  log.update(content, 0);
  const { version } = log;
  assert.ok(log.changesSince(version, 0));
  assert.equal(log.changesSince(version - 1, 0), undefined);
  assert.equal(log.changesSince(version + 1, 0), undefined);
  // Each step removes a target; 600 removals are more than the log remembers.
  Array.from({ length: 600 }, (_, n) => n).forEach((n) => {
    log.update({ ...content, targets: [targetState(String(n), 1, 0)] }, 0);
  });
  assert.equal(log.changesSince(version, 0), undefined);
  assert.ok(log.changesSince(log.version - 1, 0));
});

test('a new report with unchanged figures updates the report age in entries', () => {
  // Guards against entries that treat the load of a target with unchanged figures as outdated.
  const log = new ViewLog(INITIAL_VERSION);
  const rest = {
    processes: [],
    summaries: [],
    suspects: [],
    isolated: false,
    entriesPerRegion: {},
  };
  const update = (reportAgeMs: number, nowMs: number): void =>
    log.update({ ...rest, targets: [targetState('1', 1, reportAgeMs)] }, nowMs);
  update(0, 0);
  const { version } = log;
  update(1000, 1000);
  assert.equal(log.version, version);
  update(100, 2000);
  assert.equal(log.changesSince(version, 2000)?.targets[0]?.reportAgeMs, 100);
});
