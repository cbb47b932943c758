// The two classes model one small system together.
/* eslint max-classes-per-file: ["error", 2] */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkConfig } from '../config/check-text.js';
import { buildSnapshot } from '../config/snapshot-builder.js';
import {
  applyDelta,
  sectionHashes,
  snapshotDelta,
  type SnapshotDelta,
} from '../config/snapshot.js';
import { explore, type Actions } from '../testing/explore.js';
import { ConfigStore } from './config-store.js';
import { ConfigPartStore } from './config-text.js';

const DEPTH = 9;
const KEY = 'config/main';

function textOf(priority: number): string {
  return [
    'format: 1',
    'regions: { north: { failure_domains: [north-1] } }',
    'services: {}',
    `classes: { standard: { priority: ${priority} } }`,
  ].join('\n');
}

/** What the two operators publish: revision 2 is refused by the checker. */
const PUBLISHED = [textOf(1), 'format: 1\nunknown: true', textOf(3), textOf(4)];
const REJECTED_REVISION = 2;

/** One control daemon; a restart replaces it by an empty one. */
class Daemon {
  readonly text = new ConfigPartStore();

  readonly store = new ConfigStore();

  readService(revision: number): void {
    const value = PUBLISHED[revision - 1] ?? '';
    if (!this.text.apply({ revision, values: [{ key: KEY, value }] })) return;
    const result = checkConfig(this.text.list());
    if (result.kind === 'accepted') {
      this.store.offer(buildSnapshot(revision, result.main, result.customers));
    } else {
      this.store.reject({ revision, message: 'rejected' });
    }
  }

  receive(delta: SnapshotDelta): void {
    const result = applyDelta(this.store.current, delta);
    if (result.kind === 'applied') this.store.offer(result.snapshot);
  }
}

/** Two daemons, a service whose answers may be stale, and one message that may arrive late. */
class ConfigModel {
  published = 1;

  readonly daemons = [new Daemon(), new Daemon()];

  delayed: SnapshotDelta | undefined;

  fault: string | undefined;

  restarts = 0;

  daemon(index: number): Daemon {
    return this.daemons[index] as Daemon;
  }

  observe(index: number, step: (daemon: Daemon) => void): boolean {
    const daemon = this.daemon(index);
    const before = daemon.store.revision;
    step(daemon);
    const after = daemon.store.revision;
    if (after < before) this.fault = `daemon ${index} went from ${before} back to ${after}`;
    if (after === REJECTED_REVISION) this.fault = 'a rejected text is in force';
    const expected = `"priority":${after}`;
    const classes = daemon.store.current?.sections.get('classes')?.json ?? expected;
    if (!classes.includes(expected)) this.fault = `revision ${after} holds another text`;
    return true;
  }

  publish(): boolean {
    if (this.published === PUBLISHED.length) return false;
    this.published += 1;
    return true;
  }

  readService(index: number, lag: number): boolean {
    const revision = this.published - lag;
    return revision > 0 && this.observe(index, (daemon) => daemon.readService(revision));
  }

  /** `from` answers a fetch of the other daemon; the answer is on its way. */
  answerFetch(from: number): boolean {
    const snapshot = this.daemon(from).store.current;
    if (!snapshot || this.delayed) return false;
    this.delayed = snapshotDelta(snapshot, sectionHashes(this.daemon(1 - from).store.current));
    return true;
  }

  deliver(index: number): boolean {
    const { delayed } = this;
    if (!delayed) return false;
    this.delayed = undefined;
    return this.observe(index, (daemon) => daemon.receive(delayed));
  }

  restart(index: number): boolean {
    if (this.restarts > 0) return false;
    this.restarts += 1;
    this.daemons[index] = new Daemon();
    return true;
  }
}

const actions: Actions<ConfigModel> = {
  'operators publish': (model) => model.publish(),
  'a reads the service': (model) => model.readService(0, 0),
  'b reads a stale service': (model) => model.readService(1, 1),
  'b reads the service': (model) => model.readService(1, 0),
  'a answers a fetch of b': (model) => model.answerFetch(0),
  'b answers a fetch of a': (model) => model.answerFetch(1),
  'the answer reaches a': (model) => model.deliver(0),
  'the answer reaches b': (model) => model.deliver(1),
  'b restarts': (model) => model.restart(1),
};

test('no order of events takes a daemon back to an older revision or a mixed text', () => {
  // Guards against stale service answers, late deltas and restarts that undo an accepted revision.
  const result = explore<ConfigModel>({
    create: () => new ConfigModel(),
    actions,
    depth: DEPTH,
    violation: ({ fault }) => fault,
    fingerprint: ({ published, daemons, delayed, restarts }) =>
      JSON.stringify([
        published,
        daemons.map(({ text, store }) => [text.revision, store.revision]),
        delayed?.revision,
        delayed?.changed.map(({ name }) => name),
        restarts,
      ]),
  });
  assert.deepEqual(result, { kind: 'holds', states: result.kind === 'holds' ? result.states : 0 });
});
