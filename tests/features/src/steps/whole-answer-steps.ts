/** Steps about many concurrent streams whose connections break. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import {
  chatText,
  expectedResponseText,
  waitFor,
  type CallResult,
  type ChatRequest,
} from '@marjoramcart/stand-ins';
import type { GatewayWorld } from '../support/world.js';

const WAIT_TIMEOUT_MS = 30_000;
const CUSTOMERS = ['tent-crew', 'blade-mill', 'tartu-archive'] as const;
const MIN_TOKENS = 80;
const TOKENS_RANGE = 120;
const CANCEL_EVERY = 9;
const CANCEL_AFTER_EVENTS = 10;
const MAX_DELAY_MS = 120;
/** Events of all streams between two faults. */
const EVENTS_BETWEEN_FAULTS = 300;

interface Stream {
  readonly marker: string;
  readonly request: ChatRequest;
  readonly cancelled: boolean;
  readonly result: Promise<CallResult>;
}

class Streams {
  readonly all: Stream[] = [];

  events = 0;

  onEvent(): void {
    this.events += 1;
  }
}

const streamsByWorld = new WeakMap<GatewayWorld, Streams>();

When(
  '{int} streams of three customers run at all entries and every ninth caller cancels',
  async function when(this: GatewayWorld, count: number) {
    const streams = new Streams();
    streamsByWorld.set(this, streams);
    const made = Array.from({ length: count }, (_, n) => startStream(this, streams, n));
    streams.all.push(...made);
    this.pending.push(...made.map(({ result }) => result));
    await waitFor('the streams have events', () => streams.events >= count, WAIT_TIMEOUT_MS);
  },
);

When(
  'connections to targets and between entries are reset {int} times under changing delays',
  async function when(this: GatewayWorld, times: number) {
    const streams = streamsOf(this);
    const { domains, targets } = this.fleet.layout;
    const injectFault = async (): Promise<void> => {
      const before = streams.events;
      await Promise.all(
        targets.map(({ vm }) =>
          this.fleet.setFlow(
            { from: vm, to: '*' },
            { delay_ms: Math.floor(this.random.next() * MAX_DELAY_MS) },
          ),
        ),
      );
      const target = targets[Math.floor(this.random.next() * targets.length)];
      const domain = domains[Math.floor(this.random.next() * domains.length)];
      await this.fleet.resetConnections({ from: '*', to: target?.vm ?? '' });
      await this.fleet.resetConnections({ from: '*', to: domain?.name ?? '' });
      const results = Promise.all(streams.all.map(({ result }) => result)).then(() => true);
      const more = waitFor(
        'the streams receive more events',
        () => streams.events >= before + EVENTS_BETWEEN_FAULTS,
        WAIT_TIMEOUT_MS,
      );
      await Promise.race([more, results]);
    };
    await Array.from({ length: times }).reduce<Promise<void>>(
      (before) => before.then(injectFault),
      Promise.resolve(),
    );
  },
);

Then(
  'each response is complete and belongs to its request, or ends with an error',
  async function then(this: GatewayWorld) {
    const { all } = streamsOf(this);
    const ended = await Promise.all(
      all.map(async (stream) => ({ ...stream, result: await stream.result })),
    );
    const violations = ended.flatMap(({ marker, request, result, cancelled }) => {
      const { events, complete, error, broken, text } = result;
      const got = events.length === 0 ? '' : textOf(result);
      const foreign = all.filter((other) => other.marker !== marker && text.includes(other.marker));
      const ids = events.filter(({ id }) => id !== '').map(({ id }) => Number(id));
      return [
        ...foreign.map((other) => `${marker} has the marker ${other.marker}`),
        ...(expectedResponseText(request).startsWith(got) ? [] : [`${marker} has another text`]),
        ...(ids.every((id, n) => id === n + 1) ? [] : [`${marker} has a gap or a repeat`]),
        ...(complete && got !== expectedResponseText(request)
          ? [`${marker} is truncated but complete`]
          : []),
        ...(complete || cancelled || error || broken
          ? []
          : [`${marker} ended early without an error`]),
      ];
    });
    assert.deepEqual(violations, []);
    const whole = ended.filter(({ result }) => result.complete).length;
    const cancelled = ended.filter((stream) => stream.cancelled).length;
    const visible = ended.filter((s) => !s.cancelled && !s.result.complete);
    const codes = visible.map(({ result }) => result.code);
    this.attach(JSON.stringify({ streams: all.length, whole, cancelled, visible: codes }));
    assert.ok(whole > all.length / 2, `only ${whole} of ${all.length} responses are complete`);
  },
);

function startStream(world: GatewayWorld, streams: Streams, n: number): Stream {
  const customer = CUSTOMERS[n % CUSTOMERS.length] ?? 'tent-crew';
  const entries = world.fleet.layout.entries.filter(
    ({ region }) => customer !== 'tartu-archive' || region === 'north',
  );
  const entry = entries[Math.floor(n / CUSTOMERS.length) % entries.length];
  const marker = `${world.marker}-of-${n}-end`;
  const request = world.chatRequest(
    marker,
    MIN_TOKENS + Math.floor(world.random.next() * TOKENS_RANGE),
  );
  const cancelled = n % CANCEL_EVERY === 0;
  const abort = new AbortController();
  const seen = { events: 0 };
  const onEvent = (): void => {
    streams.onEvent();
    seen.events += 1;
    if (cancelled && seen.events === CANCEL_AFTER_EVENTS) abort.abort();
  };
  const options = { onEvent, signal: abort.signal, freshConnection: true };
  const result = world.caller(customer).chat(entry?.callers ?? '', request, options);
  return { marker, request, cancelled, result };
}

/** Text of a response that may have ended early, without the error event. */
function textOf(result: CallResult): string {
  return chatText({ ...result, events: result.events.filter(({ event }) => event === 'message') });
}

function streamsOf(world: GatewayWorld): Streams {
  const streams = streamsByWorld.get(world);
  if (!streams) throw new Error('the scenario has no streams');
  return streams;
}
