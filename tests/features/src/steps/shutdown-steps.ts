/** Steps about shutting an entry down while callers use it. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  chatText,
  expectedAnswer,
  waitFor,
  type CallResult,
  type Exit,
  type RunRecord,
} from '@marjoramcart/stand-ins';
import type { GatewayWorld } from '../support/world.js';

const STREAMS_BOUND_MS = 10_000;
/** Longer than the entry's notice of its shutdown, so that the streams outlast it. */
const STREAM_TOKENS = 400;
const MAX_ATTEMPTS = 5;

interface LoadState {
  stop: boolean;
  streams: Promise<CallResult>[];
  loops: Promise<CallResult[]>[];
  exit?: Exit;
}

const loads = new WeakMap<GatewayWorld, LoadState>();

Given(
  '{int} long streams and {int} callers in a loop at an entry in the {word}',
  async function given(this: GatewayWorld, streams: number, callers: number, region: string) {
    const load: LoadState = { stop: false, streams: [], loops: [] };
    loads.set(this, load);
    const address = this.entry(region);
    const caller = this.caller('tent-crew');
    load.streams = Array.from({ length: streams }, (_, n) =>
      caller.chat(address, this.chat(`${this.marker}-stream-${n}`, STREAM_TOKENS)),
    );
    load.loops = Array.from({ length: callers }, (_, n) => callInLoop(this, load, region, n));
    await waitFor(
      'engines run all streams',
      () => countRuns(this, 'started', `${this.marker}-stream-`) === streams,
      STREAMS_BOUND_MS,
    );
    await waitFor(
      'the callers in a loop are served',
      () => countRuns(this, 'started', `${this.marker}-loop-`) >= callers,
      STREAMS_BOUND_MS,
    );
  },
);

When(
  'the entry in the {word} is told to shut down',
  async function when(this: GatewayWorld, region: string) {
    const entry = this.fleet.layout.entries.find((plan) => plan.callers === this.entry(region));
    const load = loadOf(this);
    const prefix = `${this.marker}-stream-`;
    assert.equal(countRuns(this, 'finished', prefix), 0, 'a stream ended before the shutdown');
    load.exit = await this.fleet.process(entry?.name ?? '').terminate();
    load.stop = true;
  },
);

Then('it exits with code {int}', function then(this: GatewayWorld, code: number) {
  assert.deepEqual(loadOf(this).exit, { code, signal: null });
});

Then('every long stream is complete', async function then(this: GatewayWorld) {
  const results = await Promise.all(loadOf(this).streams);
  results.forEach((result, n) => {
    assert.equal(result.complete, true, `stream ${n}: ${result.code} ${result.broken}`);
    const request = this.chat(`${this.marker}-stream-${n}`, STREAM_TOKENS);
    assert.equal(chatText(result), expectedAnswer(request));
  });
});

Then('every call in a loop got a complete answer', async function then(this: GatewayWorld) {
  const results = (await Promise.all(loadOf(this).loops)).flat();
  const failed = results.filter(({ complete }) => !complete);
  assert.deepEqual(
    failed.map(({ status, code, broken }) => ({ status, code, broken })),
    [],
  );
});

Then('no target cancelled a request', function then(this: GatewayWorld) {
  const cancelled = this.fleet.runs().filter(({ event }) => event === 'cancelled');
  assert.deepEqual(cancelled, []);
});

/** Sends calls until told to stop, as a caller does that follows the entry list. */
async function callInLoop(
  world: GatewayWorld,
  load: LoadState,
  region: string,
  n: number,
  done: CallResult[] = [],
): Promise<CallResult[]> {
  if (load.stop) return done;
  const marker = `${world.marker}-loop-${n}-${done.length}`;
  const result = await callAnyEntry(world, region, marker, 1);
  return callInLoop(world, load, region, n, [...done, result]);
}

/** Tries the other entry only when the call was certainly not run. */
async function callAnyEntry(
  world: GatewayWorld,
  region: string,
  marker: string,
  attempt: number,
): Promise<CallResult> {
  const address = world.entry(region, attempt % 2 === 1 ? 1 : 2);
  const result = await world.caller('tent-crew').chat(address, world.chat(marker, 8));
  const notRun = result.run === 'not_run' || (result.broken ?? '').includes('ECONNREFUSED');
  if (result.complete || !notRun || attempt >= MAX_ATTEMPTS) return result;
  return callAnyEntry(world, region, marker, attempt + 1);
}

function countRuns(world: GatewayWorld, event: RunRecord['event'], prefix: string): number {
  return world.fleet.runs().filter((run) => run.event === event && run.marker.startsWith(prefix))
    .length;
}

function loadOf(world: GatewayWorld): LoadState {
  const load = loads.get(world);
  if (!load) throw new Error('the scenario has no load');
  return load;
}
