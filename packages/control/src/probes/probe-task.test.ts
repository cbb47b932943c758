import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualTimerService, Metrics, silentLogger } from '@marjoramcart/runtime';
import { FAILURES_TO_EXCLUDE, proberRank, type GossipedTarget } from '@marjoramcart/core';
import { createControlMetrics } from '../control-metrics.js';
import { ControlState } from '../control-state.js';
import { entryRef, targetRecord } from '../testing/daemon-fixture.js';
import { loadReportSchema } from './load-report.js';
import { ProbeTask } from './probe-task.js';
import type { TargetClient } from './target-client.js';

type LoadResult = Awaited<ReturnType<TargetClient['readLoadReport']>>;

const ok = (more: object = {}): LoadResult => {
  const report = { sequence: 1, state: 'live', kind: 'plain', services: ['crane-booking'] };
  return { kind: 'ok', value: loadReportSchema.parse({ ...report, ...more }) };
};
const refused: LoadResult = { kind: 'failed', message: 'refused' };

/** A control daemon with one target and optionally a peer that is its first prober. */
class Fixture {
  readonly timers = new ManualTimerService();

  readonly state = new ControlState(ref('self'), this.timers);

  readonly starts: number[] = [];

  /** Other probers that were notified of a first failure. */
  readonly notifiedProbers: string[] = [];

  /** Result of the next probes; a probe of a hanging target fails after 900 ms. */
  nextResult: LoadResult | 'hang' = ok();

  constructor() {
    this.state.applyVmList({ version: 1, vms: [targetRecord('t1', '10.0.0.9:1')] }, 'platform');
    const client = {
      load: () => {
        this.starts.push(this.timers.now());
        const { nextResult } = this;
        if (nextResult !== 'hang') return Promise.resolve(nextResult);
        return new Promise((resolve) => {
          this.timers.after(900, () => resolve(refused));
        });
      },
      close: () => {},
    };
    const metrics = createControlMetrics(new Metrics());
    const log = silentLogger();
    const options = { state: this.state, client: client as never, metrics, log };
    const onFirstFailure = (probers: ReadonlySet<string>): void => {
      this.notifiedProbers.push(...probers);
    };
    void new ProbeTask({
      ...options,
      onTransition: () => {},
      onFirstFailure: onFirstFailure,
    }).start();
  }

  async run(ms: number, step = 100): Promise<void> {
    if (ms <= 0) return;
    this.timers.advance(step);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    await this.run(ms - step, step);
  }

  /** Returns the time from now until the target is excluded, in ms. */
  async untilExcluded(waitedMs = 0): Promise<number> {
    const failures = this.state.targets.probeResultOf('t1', 'self')?.failures ?? 0;
    if (failures >= FAILURES_TO_EXCLUDE) return waitedMs;
    await this.run(100);
    return this.untilExcluded(waitedMs + 100);
  }

  /** Makes this daemon the second prober, after a peer whose probe result is `seen`. */
  receiveFirstProberResult(seen: Partial<GossipedTarget> = {}): string {
    const names = Array.from({ length: 20 }, (_, n) => `peer-${n}`);
    const first = names.find((name) => proberRank('t1', 'self', ['self', name]) === 1) ?? '';
    const load = { running: 0, queued: 0, waitMs: 0, concurrency: 1, sequence: 1, ageMs: 0 };
    const report = { services: [], leaving: false, ...load, ...seen };
    const nowMs = this.timers.now();
    const update = { bootId: first, heartbeat: nowMs + 1, revision: 1, process: ref(first) };
    this.state.members.merge([update], nowMs);
    const times = { reportedAt: nowMs, heardAt: nowMs };
    const failures = seen.failures ?? 0;
    this.state.targets.setProbeResult('t1', first, { report, failures, ...times });
    return first;
  }
}

function ref(bootId: string) {
  return { ...entryRef(bootId), bootId, role: 'control' as const };
}

test('a target with a steady load is probed every 2 s, one with a changing load every second', async () => {
  const fixture = new Fixture();
  await fixture.run(10_000);
  assert.ok(fixture.starts.length <= 6, `${fixture.starts.length} probes`);
  fixture.starts.length = 0;
  await [...Array(8).keys()].reduce(async (before, n) => {
    await before;
    fixture.nextResult = ok({ running: n % 2 === 0 ? 5 : 30 });
    await fixture.run(1000);
  }, Promise.resolve());
  assert.ok(fixture.starts.length >= 7, `${fixture.starts.length} probes`);
});

['refuses', 'hangs'].forEach((how) => {
  test(`a target with a steady load that ${how} is excluded as soon as one probed every second`, async () => {
    // Guards against a longer probe interval that delays the exclusion of a failed target.
    const limitMs = how === 'hangs' ? 3900 : 3000;
    const offsets = [0, 500, 1000, 1500];
    const times = await Promise.all(
      offsets.map(async (offset) => {
        const fixture = new Fixture();
        await fixture.run(8100 + offset);
        fixture.nextResult = how === 'hangs' ? 'hang' : refused;
        return fixture.untilExcluded();
      }),
    );
    assert.ok(Math.max(...times) <= limitMs, `${times.join()} ms`);
  });
});

test('an earlier probe that fails late does not override a later success', async () => {
  // Guards against a healthy target that is excluded because an old probe timed out.
  const fixture = new Fixture();
  await fixture.run(4000);
  fixture.nextResult = 'hang';
  const before = fixture.starts.length;
  while (fixture.starts.length === before) {
    // eslint-disable-next-line no-await-in-loop
    await fixture.run(100);
  }
  fixture.nextResult = ok();
  await fixture.run(1000);
  assert.equal(fixture.state.targets.probeResultOf('t1', 'self')?.failures, 0);
});

test('the second prober probes every 6 s, and every second while a prober reports a failure', async () => {
  const fixture = new Fixture();
  const probesIn = async (seconds: number, seen?: Partial<GossipedTarget>): Promise<number> => {
    fixture.starts.length = 0;
    await [...Array(seconds).keys()].reduce(async (before) => {
      await before;
      fixture.receiveFirstProberResult(seen);
      await fixture.run(1000);
    }, Promise.resolve());
    return fixture.starts.length;
  };
  assert.ok((await probesIn(18)) <= 4);
  assert.ok((await probesIn(5, { failures: 1 })) >= 5);
  assert.ok((await probesIn(5, { leaving: true })) >= 5);
});

test('the other prober is notified of the first failure only', async () => {
  const fixture = new Fixture();
  await fixture.run(500);
  const first = fixture.receiveFirstProberResult();
  fixture.nextResult = refused;
  await fixture.run(4000);
  assert.equal(fixture.state.targets.probeResultOf('t1', 'self')?.failures, 0);
  fixture.receiveFirstProberResult({ failures: 1 });
  await fixture.run(1000);
  assert.deepEqual(fixture.notifiedProbers, [first]);
});
