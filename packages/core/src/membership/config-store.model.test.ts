// The daemon and the model of two daemons belong together in this file.
/* eslint max-classes-per-file: ["error", 2] */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkConfig } from '../config/check-config.js';
import { buildSnapshot } from '../config/snapshot-builder.js';
import {
  applyDelta,
  sectionHashes,
  snapshotDelta,
  type SnapshotDelta,
} from '../config/snapshot.js';
import { explore, type Actions } from '../testing/explore.js';
import { ConfigStore } from './config-store.js';
import { ConfigPartStore } from './config-part-store.js';

const DEPTH = 9;
const KEY = 'config/main';

function configOf(priority: number): string {
  return [
    'format: 1',
    'regions: { north: { failure_domains: [north-1] } }',
    'services: {}',
    `classes: { standard: { priority: ${priority} } }`,
  ].join('\n');
}

/** Configurations that the two operators publish; revision 2 fails validation. */
const PUBLISHED = [configOf(1), 'format: 1\nunknown: true', configOf(3), configOf(4)];
const REJECTED_REVISION = 2;

/** One control daemon; a restart replaces it by one without any state. */
class Daemon {
  readonly parts = new ConfigPartStore();

  readonly store = new ConfigStore();

  readService(revision: number): void {
    const value = PUBLISHED[revision - 1] ?? '';
    if (!this.parts.apply({ revision, values: [{ key: KEY, value }] })) return;
    const result = checkConfig(this.parts.list());
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

/** Two daemons, a service whose responses may be stale, and one message that may be delayed. */
class ConfigModel {
  published = 1;

  readonly daemons = [new Daemon(), new Daemon()];

  delayed: SnapshotDelta | undefined;

  violation: string | undefined;

  restarts = 0;

  daemon(index: number): Daemon {
    return this.daemons[index] as Daemon;
  }

  observe(index: number, step: (daemon: Daemon) => void): boolean {
    const daemon = this.daemon(index);
    const before = daemon.store.revision;
    step(daemon);
    const after = daemon.store.revision;
    if (after < before)
      this.violation = `revision of daemon ${index} decreased from ${before} to ${after}`;
    if (after === REJECTED_REVISION) this.violation = 'a rejected configuration is in force';
    const expected = `"priority":${after}`;
    const classes = daemon.store.current?.sections.get('classes')?.json ?? expected;
    if (!classes.includes(expected))
      this.violation = `revision ${after} has the content of another revision`;
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

  /** `from` responds to a fetch by the other daemon; the response is in transit. */
  respondToFetch(from: number): boolean {
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
  'a responds to a fetch by b': (model) => model.respondToFetch(0),
  'b responds to a fetch by a': (model) => model.respondToFetch(1),
  'the response reaches a': (model) => model.deliver(0),
  'the response reaches b': (model) => model.deliver(1),
  'b restarts': (model) => model.restart(1),
};

test('no order of events reverts a daemon to an older revision or mixes two configurations', () => {
  // Guards against an accepted revision that is undone by a stale response, late delta or restart.
  const result = explore<ConfigModel>({
    create: () => new ConfigModel(),
    actions,
    depth: DEPTH,
    violation: ({ violation }) => violation,
    fingerprint: ({ published, daemons, delayed, restarts }) =>
      JSON.stringify([
        published,
        daemons.map(({ parts, store }) => [parts.revision, store.revision]),
        delayed?.revision,
        delayed?.changed.map(({ name }) => name),
        restarts,
      ]),
  });
  assert.deepEqual(result, { kind: 'holds', states: result.kind === 'holds' ? result.states : 0 });
});
