/** Steps about requests of customers bound to a region that loses its targets. */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { Then, When } from '@cucumber/cucumber';
import { ExampleKeys, requestJson, waitFor, type ChatRequest } from '@marjoramcart/stand-ins';
import { recordedBytes } from '../support/recorded-links.js';
import type { CustomerName, GatewayWorld } from '../support/world.js';

const GOSSIP_TIMEOUT_MS = 20_000;
const SERVICE = 'crew-answers';

interface ControlStatus {
  readonly summaries: readonly {
    readonly region: string;
    readonly ageMs: number;
    readonly services: readonly { readonly service: string; readonly readyTargets: number }[];
  }[];
}

const digests = new WeakMap<GatewayWorld, string>();
/** When the engines of the region had crashed, monotonic ms. */
const crashedAt = new WeakMap<GatewayWorld, number>();

When(
  '{word} asks entry {int} in the {word} for a completion that crashes its target',
  async function when(this: GatewayWorld, customer: string, n: number, region: string) {
    const body = JSON.stringify(crashingRequest(this));
    const parts = createHash('sha256').update(`${customer}\n${SERVICE}\n`).update(body);
    digests.set(this, parts.digest('hex'));
    this.results.push(
      await this.caller(customer).chat(this.entry(region, n), crashingRequest(this)),
    );
    crashedAt.set(this, performance.now());
  },
);

When(
  '{word} sends the completion again to entry {int} in the {word}',
  async function when(this: GatewayWorld, customer: string, n: number, region: string) {
    this.results.push(
      await this.caller(customer).chat(this.entry(region, n), crashingRequest(this)),
    );
  },
);

When(
  '{word} sends an ordinary completion to entry {int} in the {word}',
  async function when(this: GatewayWorld, customer: string, n: number, region: string) {
    this.results.push(await this.caller(customer).chat(this.entry(region, n), this.chatRequest()));
  },
);

When(
  'entry {int} in the {word} is killed',
  async function when(this: GatewayWorld, n: number, region: string) {
    const entry = this.fleet.layout.entries.find(
      ({ callers }) => callers === this.entry(region, n),
    );
    await this.fleet.process(entry?.name ?? '').kill();
  },
);

Then(
  'the {word} knows that the {word} has no engine',
  async function then(this: GatewayWorld, at: string, region: string) {
    const controls = this.fleet.layout.controls.filter((plan) => plan.region === at);
    await Promise.all(
      controls.map(({ name, admin }) =>
        waitFor(
          `${name} knows that the ${region} has no engine`,
          async () => {
            const status = await requestJson<ControlStatus>('GET', `http://${admin}/status`);
            // A summary from the start of the fleet, before its engines had loaded their models, says the same.
            const sinceCrashMs = performance.now() - (crashedAt.get(this) ?? 0);
            const summary = status.summaries.find(
              (known) => known.region === region && known.ageMs < sinceCrashMs,
            );
            const ready = summary?.services.find(({ service }) => service === SERVICE);
            return summary !== undefined && (ready?.readyTargets ?? 0) === 0;
          },
          GOSSIP_TIMEOUT_MS,
        ),
      ),
    );
  },
);

Then('the call is refused and was not run again', function then(this: GatewayWorld) {
  const { complete, code, broken } = this.result;
  assert.equal(complete && code === 1000, false);
  assert.ok(code > 0, `no numbered code: ${broken}`);
  assert.equal(this.startedRuns().length, 2);
});

Then(
  'neither its digest nor the API key of {word} is in the recorded bytes',
  function then(this: GatewayWorld, customer: string) {
    const bytes = recordedBytes(this);
    assert.ok(bytes.length > 0, 'nothing was recorded');
    assert.ok(!bytes.includes(digestOf(this)), 'the digest left the region');
    const key = ExampleKeys[customer as CustomerName];
    assert.ok(!bytes.includes(key), 'the API key left the region');
  },
);

Then('its digest appears in the recorded bytes', async function then(this: GatewayWorld) {
  await waitFor(
    'the digest is recorded',
    () => recordedBytes(this).includes(digestOf(this)),
    GOSSIP_TIMEOUT_MS,
  );
});

function crashingRequest(world: GatewayWorld): ChatRequest {
  const content = `crash-the-target marker:${world.marker}`;
  return { ...world.chatRequest(), messages: [{ role: 'user', content }] };
}

function digestOf(world: GatewayWorld): string {
  const digest = digests.get(world);
  if (!digest) throw new Error('the scenario has sent no request that crashes its target');
  return digest;
}
