/** Starts fleets for scenarios and shares one among those that leave it unchanged. */
import { After, AfterAll, Status } from '@cucumber/cucumber';
import {
  Caller,
  exampleConfig,
  exampleDomains,
  ExampleKeys,
  Fleet,
  waitFor,
  type FleetSpec,
} from '@marjoramcart/stand-ins';
import { SEED, type GatewayWorld } from './world.js';

/** One-way delay between the regions of a fleet, ms. */
export const ONE_WAY_MS = 20;
const SERVING_BOUND_MS = 30_000;

const shared: { fleet?: Promise<Fleet> } = {};
const counter = { fleets: 0 };

/** The fleet of scenarios that change nothing in it. */
export function sharedFleet(): Promise<Fleet> {
  shared.fleet ??= startFleet();
  return shared.fleet;
}

/** Starts the example fleet and waits until every entry serves both services. */
export async function startFleet(changes: Partial<FleetSpec> = {}): Promise<Fleet> {
  counter.fleets += 1;
  const fleet = await Fleet.start({
    name: `scenario-${counter.fleets}`,
    domains: exampleDomains,
    config: { 'config/main': exampleConfig({ oneWayMs: ONE_WAY_MS }) },
    delayMs: ONE_WAY_MS,
    seed: SEED,
    ...changes,
  });
  try {
    await waitServing(fleet);
    return fleet;
  } catch (err) {
    await fleet.stop();
    throw err;
  }
}

async function waitServing(fleet: Fleet): Promise<void> {
  const caller = new Caller(ExampleKeys['tent-crew']);
  const calls = [
    { method: 'GET', path: '/svc/crane-booking/slots' },
    {
      method: 'POST',
      path: '/v1/chat/completions',
      body: {
        model: 'crew-answers',
        max_tokens: 1,
        messages: [{ role: 'user', content: 'ready?' }],
      },
    },
  ];
  await Promise.all(
    fleet.layout.entries.flatMap(({ callers, name }) =>
      calls.map((call) =>
        waitFor(
          `${name} serves ${call.path}`,
          async () => (await caller.call(callers, call)).complete,
          SERVING_BOUND_MS,
        ),
      ),
    ),
  );
  const all = fleet.layout.entries.length;
  await Promise.all(
    fleet.layout.entries.map(({ callers, name }) =>
      waitFor(
        `${name} lists all entries`,
        async () => (await caller.entries(callers)).length === all,
        SERVING_BOUND_MS,
      ),
    ),
  );
  caller.close();
}

After(async function endScenario(this: GatewayWorld, { result }) {
  await Promise.allSettled(this.pending);
  this.closeCallers();
  if (result?.status === Status.FAILED && this.fleetInUse) {
    this.attach(`seed ${SEED}, marker ${this.marker}, logs in ${this.fleetInUse.folder}`);
  }
  await this.ownFleet?.stop();
});

AfterAll(async () => {
  const fleet = await shared.fleet?.catch(() => undefined);
  await fleet?.stop();
});
