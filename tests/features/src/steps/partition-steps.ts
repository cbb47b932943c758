/** Steps that cut failure domains off and check the configuration in force on both sides. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  exampleConfig,
  requestJson,
  waitFor,
  type CallResult,
  type EntryPlan,
} from '@marjoramcart/stand-ins';
import { ONE_WAY_MS } from '../support/fleets.js';
import type { GatewayWorld } from '../support/world.js';

const EXPIRY_TIMEOUT_MS = 20_000;
const CONVERGENCE_TIMEOUT_MS = 20_000;
const RECORDING_TIMEOUT_MS = 180_000;
const UNKNOWN_API_KEY = 2102;
const CALLS_PER_ENTRY = 5;

/** Revisions in the responses of entries, in order, by address. */
interface RevisionRecorder {
  readonly seen: Map<string, number[]>;
  stopped: boolean;
}

interface ControlStatus {
  readonly summaries: readonly { readonly region: string }[];
}

const recorders = new WeakMap<GatewayWorld, RevisionRecorder>();
const counter = { calls: 0 };

Given('the revision at every entry is recorded', function given(this: GatewayWorld) {
  const recorder: RevisionRecorder = { seen: new Map(), stopped: false };
  recorders.set(this, recorder);
  this.fleet.layout.entries.forEach(({ callers }) => {
    const sample = async (): Promise<boolean> => {
      const { headers } = await this.caller('tent-crew').call(callers, {
        method: 'GET',
        path: '/v1/entries',
      });
      const revision = Number(headers['marjoramcart-revision'] ?? 0);
      if (revision > 0)
        recorder.seen.set(callers, [...(recorder.seen.get(callers) ?? []), revision]);
      return recorder.stopped;
    };
    waitFor('the recording ends', sample, RECORDING_TIMEOUT_MS).catch(() => {});
  });
});

When(
  'the {word} is cut off from the other regions and the platform',
  async function when(this: GatewayWorld, region: string) {
    const domain = domainOf(this, region);
    await this.fleet.isolate(domain, true);
    await this.fleet.setFlow({ from: domain, to: 'platform', both: true }, { cut: true });
  },
);

When(
  'the {word} is reconnected to the other regions, but not to the platform',
  async function when(this: GatewayWorld, region: string) {
    await this.fleet.isolate(domainOf(this, region), false);
  },
);

When(
  'the {word} is reconnected to the platform',
  async function when(this: GatewayWorld, region: string) {
    const between = { from: domainOf(this, region), to: 'platform', both: true };
    await this.fleet.setFlow(between, { cut: false });
  },
);

When(
  'the control daemons in the {word} have no summary of another region',
  async function when(this: GatewayWorld, region: string) {
    const controls = this.fleet.layout.controls.filter((plan) => plan.region === region);
    await Promise.all(
      controls.map(({ name, admin }) =>
        waitFor(
          `${name} has no summary of another region`,
          async () => {
            const { summaries } = await requestJson<ControlStatus>('GET', `http://${admin}/status`);
            return summaries.every((summary) => summary.region === region);
          },
          EXPIRY_TIMEOUT_MS,
        ),
      ),
    );
  },
);

When(
  'a control daemon and an entry in the {word} are restarted',
  async function when(this: GatewayWorld, region: string) {
    const { controls, entries } = this.fleet.layout;
    const control = controls.find((plan) => plan.region === region);
    const entry = entries.find((plan) => plan.control === control?.peers);
    await this.fleet.process(entry?.name ?? '').kill();
    await this.fleet.restart(control?.name ?? '');
    await this.fleet.restart(entry?.name ?? '');
  },
);

When(
  'a configuration without {word} is published',
  async function when(this: GatewayWorld, customer: string) {
    const config = exampleConfig({ oneWayMs: ONE_WAY_MS }) as { customers: { id: string }[] };
    const customers = config.customers.filter(({ id }) => id !== customer);
    await this.fleet.publish('config/main', { ...config, customers });
  },
);

Then(
  'each entry in the {word} serves {word} from local targets',
  async function then(this: GatewayWorld, region: string, customer: string) {
    const local = this.fleet.layout.targets.filter((plan) => plan.region === region);
    await Promise.all(
      entriesIn(this, region).map(async ({ name, callers }) => {
        await waitFor(
          `${name} serves ${customer}`,
          async () => (await send(this, customer, callers)).result.complete,
          CONVERGENCE_TIMEOUT_MS,
        );
        const calls = await Promise.all(
          Array.from({ length: CALLS_PER_ENTRY }, () => send(this, customer, callers)),
        );
        calls.forEach(({ marker, result }) => {
          assert.equal(result.complete, true, `${name}: ${result.code} ${result.broken}`);
          const vms = this.startedRuns(marker).map(({ vm }) => vm);
          assert.equal(vms.length, 1);
          assert.ok(local.some(({ vm }) => vm === vms[0]));
        });
      }),
    );
  },
);

Then(
  'each entry in the {word} refuses {word}',
  async function then(this: GatewayWorld, region: string, customer: string) {
    await assertRefused(this, customer, entriesIn(this, region));
  },
);

Then(
  'each entry outside the {word} refuses {word}',
  async function then(this: GatewayWorld, region: string, customer: string) {
    const entries = this.fleet.layout.entries.filter((plan) => plan.region !== region);
    await assertRefused(this, customer, entries);
  },
);

Then('no entry went back to an older revision', function then(this: GatewayWorld) {
  const recorder = recorders.get(this);
  if (!recorder) throw new Error('no revision is recorded');
  recorder.stopped = true;
  assert.equal(recorder.seen.size, this.fleet.layout.entries.length);
  recorder.seen.forEach((revisions, address) => {
    const sorted = [...revisions].sort((a, b) => a - b);
    assert.deepEqual(revisions, sorted, `the revision at ${address} went back`);
    assert.ok((sorted.at(-1) ?? 0) > (sorted[0] ?? 0), `${address} has no newer revision`);
  });
});

After(function endRecording(this: GatewayWorld) {
  const recorder = recorders.get(this);
  if (recorder) recorder.stopped = true;
});

function domainOf(world: GatewayWorld, region: string): string {
  const domain = world.fleet.layout.domains.find((spec) => spec.region === region);
  if (!domain) throw new Error(`there is no failure domain in the ${region}`);
  return domain.name;
}

function entriesIn(world: GatewayWorld, region: string): EntryPlan[] {
  return world.fleet.layout.entries.filter((plan) => plan.region === region);
}

/** Waits for the refusal, then repeats the call to detect a configuration that reverted. */
async function assertRefused(
  world: GatewayWorld,
  customer: string,
  entries: readonly EntryPlan[],
): Promise<void> {
  await Promise.all(
    entries.map(({ name, callers }) =>
      waitFor(
        `${name} refuses ${customer}`,
        async () => (await send(world, customer, callers)).result.code === UNKNOWN_API_KEY,
        CONVERGENCE_TIMEOUT_MS,
      ),
    ),
  );
  const calls = await Promise.all(entries.map(({ callers }) => send(world, customer, callers)));
  calls.forEach(({ marker, result }) => {
    assert.equal(result.code, UNKNOWN_API_KEY);
    assert.deepEqual(world.startedRuns(marker), []);
  });
}

/** Sends a completion with a unique marker. */
async function send(
  world: GatewayWorld,
  customer: string,
  address: string,
): Promise<{ marker: string; result: CallResult }> {
  counter.calls += 1;
  const marker = `${world.marker}-call-${counter.calls}`;
  return {
    marker,
    result: await world.caller(customer).chat(address, world.chatRequest(marker, 4)),
  };
}
