/** Steps about a request that crashes every engine that runs it. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  chatText,
  exampleDomains,
  expectedResponseText,
  makeKey,
  waitFor,
  type CallResult,
  type ChatRequest,
} from '@marjoramcart/stand-ins';
import { entryStatus } from '../support/bookings.js';
import { startFleet } from '../support/fleets.js';
import type { GatewayWorld } from '../support/world.js';

const WAIT_TIMEOUT_MS = 30_000;
/** Long enough that the calls still run when the engines crash. */
const LONG_CALL_TOKENS = 250;
const OTHER_CUSTOMERS = ['tent-crew', 'tartu-archive'] as const;

interface OtherCall {
  readonly customer: string;
  readonly request: ChatRequest;
  readonly result: Promise<CallResult>;
}

const otherCalls = new WeakMap<GatewayWorld, readonly OtherCall[]>();

Given(
  'a dedicated example fleet with {int} engines in the {word}',
  async function given(this: GatewayWorld, engines: number, region: string) {
    const domains = exampleDomains.map((spec) =>
      spec.region === region ? { ...spec, engines } : spec,
    );
    this.ownFleet = await startFleet({ domains });
    this.fleetInUse = this.ownFleet;
    const warmUp = `${this.marker}-warm-up`;
    const sent = { calls: 0 };
    await waitFor(
      'all engines are ready',
      async () => {
        const address = this.fleet.layout.entries[0]?.callers ?? '';
        // Each prompt differs, because prompts with the same prefix go to the same engine.
        sent.calls += 1;
        await this.caller('tent-crew').chat(
          address,
          this.chatRequest(`${warmUp}-${sent.calls}`, 1),
        );
        const used = new Set(
          this.fleet
            .runs()
            .filter(({ marker, vm }) => marker.startsWith(warmUp) && vm.startsWith(region))
            .map(({ vm }) => vm),
        );
        return used.size === engines;
      },
      WAIT_TIMEOUT_MS,
    );
  },
);

When(
  '{int} calls of other customers run in the {word}',
  async function when(this: GatewayWorld, count: number, region: string) {
    const entries = this.fleet.layout.entries.filter((entry) => entry.region === region);
    const calls = Array.from({ length: count }, (_, n) => {
      const customer = OTHER_CUSTOMERS[n % OTHER_CUSTOMERS.length] ?? 'tent-crew';
      const marker = `${this.marker}-other-${n}`;
      const request = { ...this.chatRequest(marker, LONG_CALL_TOKENS), stream: n % 4 < 2 };
      const entry = entries[n % entries.length]?.callers ?? '';
      const result = this.caller(customer).chat(entry, request, { freshConnection: true });
      return { customer, request, result };
    });
    otherCalls.set(this, calls);
    this.pending.push(...calls.map(({ result }) => result));
    await waitFor(
      'engines run the calls',
      () =>
        this.fleet
          .runs()
          .filter(
            ({ event, marker }) =>
              event === 'started' && marker.startsWith(`${this.marker}-other-`),
          ).length === count,
      WAIT_TIMEOUT_MS,
    );
  },
);

When(
  '{word} sends a request that crashes its target to an entry in the {word}',
  async function when(this: GatewayWorld, customer: string, region: string) {
    this.results.push(await this.caller(customer).chat(this.entry(region), crashingRequest(this)));
  },
);

When('the refusal has reached all entries', function when(this: GatewayWorld) {
  return Promise.all(
    this.fleet.layout.entries.map((entry) =>
      waitFor(
        `${entry.name} lists the request as suspect`,
        async () => (await entryStatus(entry)).suspects > 0,
        WAIT_TIMEOUT_MS,
      ),
    ),
  );
});

When(
  '{word} sends it again under new keys to all entries',
  async function when(this: GatewayWorld, customer: string) {
    const caller = this.caller(customer);
    const listed = await caller.entries(this.entry('north'));
    const sent = this.fleet.layout.entries.map(({ callers }) => {
      const prefix = listed.find(({ address }) => address === callers)?.key_prefix ?? '';
      const headers = { 'idempotency-key': makeKey(prefix, this.nonce()) };
      return caller.chat(callers, crashingRequest(this), { headers, freshConnection: true });
    });
    this.results.push(...(await Promise.all(sent)));
  },
);

Then('{int} engines have died', function then(this: GatewayWorld, count: number) {
  const { targets } = this.fleet.layout;
  const dead = targets.filter(({ name }) => !this.fleet.process(name).running);
  const ranIt = this.startedRuns(`${this.marker}-crash`).map(({ vm }) => vm);
  this.attach(JSON.stringify({ dead: dead.map(({ name }) => name), ranIt }));
  assert.equal(dead.length, count);
  assert.equal(ranIt.length, count);
});

Then(
  'the calls of the other customers are answered, or fail with an error and are answered when sent again',
  async function then(this: GatewayWorld) {
    const calls = otherCalls.get(this) ?? [];
    const first = await Promise.all(calls.map(({ result }) => result));
    const broken = calls.filter((_, n) => first[n]?.complete !== true);
    const codes = first.filter(({ complete }) => !complete).map(({ code }) => code);
    this.attach(JSON.stringify({ calls: calls.length, broken: codes }));
    // No byte of a non-streamed response was delivered, so another engine could run the request.
    assert.deepEqual(
      broken.filter(({ request }) => request.stream !== true),
      [],
    );
    assert.ok(codes.every((code) => code === 4302));
    const again = await Promise.all(
      broken.map(({ customer, request }) =>
        this.caller(customer).chat(this.entry('north', 2), request, { freshConnection: true }),
      ),
    );
    const whole = [...first.filter(({ complete }) => complete), ...again];
    assert.equal(whole.filter(({ complete }) => complete).length, calls.length);
    const texts = new Set(calls.map(({ request }) => expectedResponseText(request)));
    assert.ok(whole.every((result) => texts.has(chatText(result))));
  },
);

function crashingRequest(world: GatewayWorld): ChatRequest {
  const request = world.chatRequest(`${world.marker}-crash`);
  return {
    ...request,
    messages: [...request.messages, { role: 'user', content: ' crash-the-target' }],
  };
}
