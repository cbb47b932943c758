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

const BOUND_MS = 30_000;
/** Long enough that the calls still run when the engines die. */
const TOKENS = 250;
const OTHERS = ['tent-crew', 'tartu-archive'] as const;

interface OtherCall {
  readonly customer: string;
  readonly request: ChatRequest;
  readonly result: Promise<CallResult>;
}

const others = new WeakMap<GatewayWorld, readonly OtherCall[]>();

Given(
  'an example fleet of its own with {int} engines in the {word}',
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
        const admin = this.fleet.layout.entries[0]?.callers ?? '';
        // Prompts with the same prefix go to the same engine.
        sent.calls += 1;
        await this.caller('tent-crew').chat(admin, this.chat(`${warmUp}-${sent.calls}`, 1));
        const used = new Set(
          this.fleet
            .runs()
            .filter(({ marker, vm }) => marker.startsWith(warmUp) && vm.startsWith(region))
            .map(({ vm }) => vm),
        );
        return used.size === engines;
      },
      BOUND_MS,
    );
  },
);

When(
  '{int} calls of other customers run in the {word}',
  async function when(this: GatewayWorld, count: number, region: string) {
    const entries = this.fleet.layout.entries.filter((entry) => entry.region === region);
    const calls = Array.from({ length: count }, (_, n) => {
      const customer = OTHERS[n % OTHERS.length] ?? 'tent-crew';
      const marker = `${this.marker}-other-${n}`;
      const request = { ...this.chat(marker, TOKENS), stream: n % 4 < 2 };
      const entry = entries[n % entries.length]?.callers ?? '';
      const result = this.caller(customer).chat(entry, request, { freshConnection: true });
      return { customer, request, result };
    });
    others.set(this, calls);
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
      BOUND_MS,
    );
  },
);

When(
  '{word} sends a request that crashes its target to an entry in the {word}',
  async function when(this: GatewayWorld, customer: string, region: string) {
    this.results.push(await this.caller(customer).chat(this.entry(region), crash(this)));
  },
);

When('the refusal is known to all entries', function when(this: GatewayWorld) {
  return Promise.all(
    this.fleet.layout.entries.map((entry) =>
      waitFor(
        `${entry.name} knows the suspect`,
        async () => (await entryStatus(entry)).suspects > 0,
        BOUND_MS,
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
      return caller.chat(callers, crash(this), { headers, freshConnection: true });
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
  'the calls of the others are answered, or broken off visibly and answered when sent again',
  async function then(this: GatewayWorld) {
    const calls = others.get(this) ?? [];
    const first = await Promise.all(calls.map(({ result }) => result));
    const broken = calls.filter((_, n) => first[n]?.complete !== true);
    const codes = first.filter(({ complete }) => !complete).map(({ code }) => code);
    this.attach(JSON.stringify({ calls: calls.length, broken: codes }));
    // An answer that was not a stream had no byte delivered, so another engine could run it.
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

function crash(world: GatewayWorld): ChatRequest {
  const request = world.chat(`${world.marker}-crash`);
  return {
    ...request,
    messages: [...request.messages, { role: 'user', content: ' crash-the-target' }],
  };
}
