/** Steps about links that are cut in one direction. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { waitFor, type CallResult } from '@marjoramcart/stand-ins';
import { countCrossRegionRequests } from '../support/recorded-links.js';
import type { GatewayWorld } from '../support/world.js';

const WAIT_TIMEOUT_MS = 30_000;
const TOKENS = 8;

interface SentCall {
  readonly marker: string;
  readonly result: CallResult;
}

const sentCalls = new WeakMap<GatewayWorld, SentCall[]>();

When(
  /^the links (from|to) the (\w+) are (cut|restored)$/,
  async function when(this: GatewayWorld, direction: string, region: string, change: string) {
    const { domains } = this.fleet.layout;
    const { name = '' } = domains.find((spec) => spec.region === region) ?? {};
    const others = domains.map((spec) => spec.name).filter((other) => other !== name);
    await Promise.all(
      others.map((other) =>
        this.fleet.setFlow(
          direction === 'from' ? { from: name, to: other } : { from: other, to: name },
          { cut: change === 'cut' },
        ),
      ),
    );
  },
);

When(
  '{word} asks each entry for {int} completions during the cut with a deadline of {int} ms',
  async function when(this: GatewayWorld, customer: string, times: number, deadlineMs: number) {
    const headers = { 'marjoramcart-deadline-ms': deadlineMs };
    const calls = this.fleet.layout.entries.flatMap(({ name, callers }) =>
      Array.from({ length: times }, async (_, n): Promise<SentCall> => {
        const marker = `${this.marker}-cut-${name}-${n}-end`;
        const body = this.chatRequest(marker, TOKENS);
        return { marker, result: await this.caller(customer).chat(callers, body, { headers }) };
      }),
    );
    sentCalls.set(this, await Promise.all(calls));
  },
);

Then('each entry serves completions again', async function then(this: GatewayWorld) {
  await Promise.all(
    this.fleet.layout.entries.map(({ name, callers }) =>
      waitFor(
        `${name} serves`,
        async () => {
          const body = this.chatRequest(`${this.marker}-after-${name}`, TOKENS);
          return (await this.caller('tent-crew').chat(callers, body)).complete;
        },
        WAIT_TIMEOUT_MS,
      ),
    ),
  );
});

Then('no completion crossed regions twice or ran twice', function then(this: GatewayWorld) {
  const calls = sentCalls.get(this) ?? [];
  const crossings = countCrossRegionRequests(this);
  const crossed = calls.filter(({ marker }) => crossings.has(marker));
  const violations = calls.filter(
    ({ marker, result }) =>
      (crossings.get(marker) ?? 0) > 1 ||
      this.startedRuns(marker).length > 1 ||
      (result.run === 'not_run' && this.startedRuns(marker).length > 0),
  );
  const complete = calls.filter(({ result }) => result.complete).length;
  this.log(`${calls.length} calls, ${crossed.length} crossed regions, ${complete} complete`);
  assert.ok(crossed.length > 0, 'no completion crossed regions');
  assert.deepEqual(
    violations.map(({ marker, result }) => `${marker}: ${result.code} ${result.run}`),
    [],
  );
});
