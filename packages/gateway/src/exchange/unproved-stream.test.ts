import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { test } from 'node:test';
import { ANY_REGION, RouteKind, type FleetConfig, type TargetRecord } from '@marjoramcart/core';
import { ManualTimerService, Metrics, silentLogger } from '@marjoramcart/runtime';
import type { PolledReport } from '../reports/report-poller.js';
import { StartConfirmer } from '../reports/start-confirmer.js';
import { StartWitness } from '../reports/start-witness.js';
import { GatewayState } from '../state/gateway-state.js';
import { StateMetrics } from '../state/state-metrics.js';
import type { TargetEntry } from '../state/target-entry.js';
import { StreamRegistry, type StreamRegistryDeps } from '../streams/stream-registry.js';
import type { AttemptOptions } from './attempt-runner.js';
import type { Call } from './call.js';
import type { CallProgress } from './call-progress.js';
import { DestinationSender, type AttemptStep, type SenderDeps } from './destination-sender.js';

const SERVICE = 'chat';
const START = 1000;
const ROUTE = {
  name: 'ask',
  host: 'api.example',
  prefix: '/',
  kind: RouteKind.Stream,
  timeoutMs: 8000,
  latencyTargetMs: 100,
  patienceMs: 1000,
  priority: 0,
  services: [{ service: SERVICE, weight: 1 }],
  maxAttempts: 2,
  resumable: true,
  regions: ANY_REGION,
};
const FIRST: TargetRecord = {
  id: 'i-1',
  service: SERVICE,
  address: '10.0.0.1:80',
  failureDomain: 'north-a',
  region: 'north',
  slots: 8,
  draining: false,
  coldForMs: 0,
  bornAt: START,
  softwareVersion: 'v1',
};
const OTHER = { ...FIRST, id: 'i-2', address: '10.0.0.2:80', softwareVersion: 'v2' };
const CONFIG: FleetConfig = {
  version: 1,
  routes: [ROUTE],
  services: new Map([
    [SERVICE, { name: SERVICE, warmupMs: 0, coldRequestsPerS: 2, engine: { kvCapacityTokens: 1 } }],
  ]),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleTimeoutMs: 1 },
};

function headOf(id: string, changes: object): Call {
  return {
    head: { id, deadlineMs: 8000, ...changes },
    body: Buffer.alloc(0),
    service: SERVICE,
    route: ROUTE,
    facts: { kind: RouteKind.Stream, resumable: true, deadlineAt: 8000 },
  } as unknown as Call;
}

/** A gateway with two targets, as far as it handles the versions of streams. */
function createFixture(other: TargetRecord = OTHER) {
  const timers = new ManualTimerService();
  const ignore = (): undefined => undefined;
  const state: GatewayState = new GatewayState(
    'north',
    timers,
    silentLogger(),
    new StateMetrics(new Metrics(), () => state),
    ignore,
  );
  state.onState({
    era: 0,
    revision: 1,
    config: CONFIG,
    targets: [FIRST, other],
    evacuated: new Set(),
  });
  const fixture = { answer: undefined as number | undefined };
  const witness = new StartWitness({ state, timers });
  const poll = (entry: TargetEntry): Promise<PolledReport> => {
    const { answer } = fixture;
    if (answer === undefined) return Promise.resolve({ kind: 'none' });
    state.onStart({ ...entry.record, bornAt: answer }, timers.now());
    if (entry.record.bornAt === answer) witness.onTold(entry, timers.now());
    return Promise.resolve({ kind: 'report', report: { requests: 0, bornAt: answer } });
  };
  const starts = new StartConfirmer({ node: 'vm-1', state, witness, poller: { poll }, timers });
  const streams = new StreamRegistry({
    settings: { node: 'vm-1', region: 'north' },
    state,
    gossip: { table: { alive: () => [] }, sendStreamUpdate: ignore },
    readEarlier: () => Promise.resolve(undefined),
    timers,
    random: { next: () => 0 },
    log: silentLogger(),
  } as unknown as StreamRegistryDeps);
  const runner = {
    /** Delivers the first event of a stream, whose connection then breaks. */
    run: ({ progress, streamSource, onDelivered }: AttemptOptions) => {
      const source = streamSource({} as IncomingMessage, timers.now());
      if (progress.scope.kind === 'any') onDelivered(source);
      return Promise.resolve({ kind: 'lost', message: 'connection reset' });
    },
  };
  const sender = new DestinationSender(
    {
      state,
      router: { onSendToTarget: ignore, speeds: { onOutcome: ignore } },
      crashes: { onSend: ignore, onLost: ignore },
      protocol: { targetHeaders: () => [] },
      timers,
      runner,
      starts,
      witness,
      streams,
    } as unknown as SenderDeps,
    { allowsRetry: () => false },
  );
  // The targets are no longer in doubt since the start of the gateway.
  timers.advance(4000);
  const begin = async (): Promise<void> => {
    const step = { candidate: { destination: { kind: 'target', id: FIRST.id } } };
    const response = { disconnected: false, onDisconnect: ignore };
    const progress = {
      call: headOf('first', {}),
      response,
      scope: { kind: 'any' },
      attempts: [],
    };
    await sender.send(step as AttemptStep, progress as unknown as CallProgress);
  };
  const takeUp = () => streams.scopeOf(headOf('second', { resumes: 'first', resumeAfter: 3 }));
  const list = (revision: number, targets: readonly TargetRecord[]): void =>
    state.onState({ era: 0, revision, config: CONFIG, targets, evacuated: new Set() });
  return Object.assign(fixture, { timers, state, streams, begin, takeUp, list });
}

/** Lets time pass in small steps until a promise is settled. */
async function settled<T>(timers: ManualTimerService, promise: Promise<T>): Promise<T> {
  const seen = { done: false };
  void promise.then(() => Object.assign(seen, { done: true }));
  const pass = async (left: number): Promise<void> => {
    if (seen.done || left === 0) return;
    timers.advance(50);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    await pass(left - 1);
  };
  await pass(60);
  return promise;
}

// Guards against a stream of a start that its gateway learns of after the stream has ended, which keeps the
// version of the start before and goes on there (ORDER).
test('a stream that ended before its gateway learned of a new start does not go on at the version before', async () => {
  const { timers, state, begin, takeUp } = createFixture();
  await begin();
  timers.advance(300);
  state.onStart({ ...FIRST, bornAt: START + 500 }, timers.now());
  assert.deepEqual(await settled(timers, takeUp()), { kind: 'none' });
});

// Guards against a mend of the above that loses the streams of targets which have not started again (LOST).
test('a stream goes on at its version once its target has told that it has not started again', async () => {
  const fixture = createFixture();
  const { timers, state, begin, takeUp } = fixture;
  await begin();
  fixture.answer = START;
  assert.deepEqual(await settled(timers, takeUp()), { kind: 'only', version: 'v1' });
  // What was proved stays so when the target starts again.
  state.onStart({ ...FIRST, bornAt: START + 500 }, timers.now());
  assert.deepEqual(await settled(timers, takeUp()), { kind: 'only', version: 'v1' });
});

// Guards against take-ups that are refused in a service of one version, as a target of it started again (LOST).
test('a stream of the only version goes on there although its target started again unproved', async () => {
  const other = { ...OTHER, softwareVersion: 'v1' };
  const { timers, state, begin, takeUp, list } = createFixture(other);
  // Versions of the time before the gateway started are not known.
  list(2, [FIRST, other]);
  timers.advance(20_000);
  list(3, [FIRST, other]);
  await begin();
  const next = { ...FIRST, bornAt: START + 500 };
  state.onStart(next, timers.now());
  assert.deepEqual(await settled(timers, takeUp()), { kind: 'none' });
  list(4, [next, other]);
  assert.deepEqual(await settled(timers, takeUp()), { kind: 'only', version: 'v1' });
});
