/** Steps about orders of control daemons that act on an older configuration. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import {
  exampleConfig,
  requestJson,
  waitFor,
  type ControlPlan,
  type TargetPlan,
} from '@marjoramcart/stand-ins';
import { ONE_WAY_MS } from '../support/fleets.js';
import type { GatewayWorld } from '../support/world.js';

const MODEL = 'manual-reader';
const CONFIG_LOAD_TIMEOUT_MS = 10_000;
const ORDERS_TIMEOUT_MS = 50_000;
const PLAN_INTERVAL_MS = 1000;

interface EngineLoad {
  readonly models: readonly { readonly version: string; readonly state: string }[];
}

const publishedRevisions = new WeakMap<GatewayWorld, number>();

When(
  'version {string} of the model is published',
  async function when(this: GatewayWorld, version: string) {
    const models = { [MODEL]: { version, weights_mb: 1 } };
    const config = { ...exampleConfig({ oneWayMs: ONE_WAY_MS }), models };
    publishedRevisions.set(this, await this.fleet.publish('config/main', config));
  },
);

When(
  'control daemon {int} in the {word} is frozen as soon as it has loaded the configuration',
  async function when(this: GatewayWorld, n: number, region: string) {
    const control = controlOf(this, region, n);
    await waitUntilLoaded(this, control);
    this.fleet.process(control.name).freeze();
  },
);

When(
  'control daemon {int} in the {word} is thawed and has loaded the configuration',
  async function when(this: GatewayWorld, n: number, region: string) {
    const control = controlOf(this, region, n);
    this.fleet.process(control.name).thaw();
    await waitUntilLoaded(this, control);
  },
);

When('control daemon {int} in the {word} is frozen', freeze);

When('control daemon {int} in the {word} is thawed', thaw);

Then(
  'control daemon {int} in the {word} has loaded the configuration',
  async function then(this: GatewayWorld, n: number, region: string) {
    await waitUntilLoaded(this, controlOf(this, region, n));
  },
);

Then(
  'every engine in the {word} eventually has only version {string} ready',
  async function then(this: GatewayWorld, region: string, version: string) {
    await Promise.all(
      enginesIn(this, region).map((engine) =>
        waitFor(
          `${engine.name} has only version ${version}`,
          async () => (await modelsOf(engine)).join() === `${version} ready`,
          ORDERS_TIMEOUT_MS,
        ),
      ),
    );
  },
);

Then(
  'every engine in the {word} has only version {string} ready for {int} more planning rounds',
  async function then(this: GatewayWorld, region: string, version: string, rounds: number) {
    await assertOnlyVersion(enginesIn(this, region), version, rounds);
  },
);

Then(
  'every engine in the {word} that checks fencing has only version {string} ready for {int} more planning rounds',
  async function then(this: GatewayWorld, region: string, version: string, rounds: number) {
    const engines = enginesIn(this, region).filter(({ checksFencing }) => checksFencing);
    await assertOnlyVersion(engines, version, rounds);
  },
);

function freeze(this: GatewayWorld, n: number, region: string): void {
  this.fleet.process(controlOf(this, region, n).name).freeze();
}

function thaw(this: GatewayWorld, n: number, region: string): void {
  this.fleet.process(controlOf(this, region, n).name).thaw();
}

/** Asserts that engines report only the expected version during some planning rounds. */
async function assertOnlyVersion(
  engines: readonly TargetPlan[],
  version: string,
  rounds: number,
): Promise<void> {
  const endAt = performance.now() + rounds * PLAN_INTERVAL_MS;
  const seen = new Set<string>();
  await waitFor(
    'the rounds are over',
    async () => {
      const states = await Promise.all(
        engines.map(async (engine) => `${engine.name}: ${(await modelsOf(engine)).join()}`),
      );
      states.forEach((state) => seen.add(state));
      return performance.now() > endAt;
    },
    2 * rounds * PLAN_INTERVAL_MS,
  );
  const expected = engines.map(({ name }) => `${name}: ${version} ready`);
  assert.deepEqual([...seen].sort(), expected.sort());
}

async function waitUntilLoaded(world: GatewayWorld, { name, admin }: ControlPlan): Promise<void> {
  const revision = publishedRevisions.get(world) ?? 0;
  await waitFor(
    `${name} has loaded revision ${revision}`,
    async () =>
      (await requestJson<{ revision: number }>('GET', `http://${admin}/readyz`)).revision >=
      revision,
    CONFIG_LOAD_TIMEOUT_MS,
  );
}

function controlOf(world: GatewayWorld, region: string, n: number): ControlPlan {
  const found = world.fleet.layout.controls.filter((plan) => plan.region === region)[n - 1];
  if (!found) throw new Error(`there is no control daemon ${n} in the ${region}`);
  return found;
}

/** Engines of both kinds: every second one ignores fencing numbers. */
function enginesIn(world: GatewayWorld, region: string): TargetPlan[] {
  const engines = world.fleet.layout.targets.filter(
    (plan) => plan.region === region && plan.service === undefined,
  );
  assert.equal(new Set(engines.map(({ checksFencing }) => checksFencing)).size, 2);
  return engines;
}

async function modelsOf({ address }: TargetPlan): Promise<string[]> {
  const { models } = await requestJson<EngineLoad>('GET', `http://${address}/load`);
  return models.map(({ version, state }) => `${version} ${state}`);
}
