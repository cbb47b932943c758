/** Starts fleets for scenarios; scenarios that leave a fleet unchanged share one. */
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
const SERVING_TIMEOUT_MS = 30_000;

/** Three control daemons in the north, so that one of them is not a watcher. */
const operationsDomains = exampleDomains.map((domain) =>
  domain.region === 'north' ? { ...domain, entryVms: 3 } : domain,
);

interface SharedFleets {
  fleet?: Promise<Fleet>;
  faultInjection?: Promise<Fleet>;
  operations?: Promise<Fleet>;
}

const shared: SharedFleets = {};
const counter = { fleets: 0 };

/** The fleet shared by scenarios that do not change it. */
export function sharedFleet(): Promise<Fleet> {
  shared.fleet ??= startFleet();
  return shared.fleet;
}

/** The fleet of scenarios that inject faults; it is repaired after each of them. */
export function faultInjectionFleet(): Promise<Fleet> {
  shared.faultInjection ??= startFleet({
    proxyTargets: true,
    plainArgs: ['--concurrency', '4'],
  });
  return shared.faultInjection;
}

/**
 * Undoes the changes of a scenario: thaws and restarts processes, removes injected faults and
 * waits until all entries serve.
 */
async function repair(fleet: Fleet): Promise<void> {
  fleet.processes.forEach((process) => process.thaw());
  await fleet.setFlow({ from: '*', to: '*' }, { cut: false, delay_ms: 0 });
  await fleet.setDelays();
  await fleet.setFaults({ from: '*', to: '*' }, { reset_after: 0, truncate_after: 0 });
  const dead = fleet.processes.filter(({ running }) => !running);
  await Promise.all(dead.map(({ name }) => fleet.restart(name)));
  const bookings = fleet.layout.targets.filter(({ service }) => service !== undefined);
  const settings = { state: 'live', delay_ms: 5, close_reused: false, lose_answers: false };
  await Promise.all(bookings.map(({ name }) => fleet.setTarget(name, settings)));
  await waitUntilServing(fleet);
}

/** The fleet of scenarios about operations, which leave all processes running. */
export function operationsFleet(): Promise<Fleet> {
  shared.operations ??= startFleet({ domains: operationsDomains });
  return shared.operations;
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
    // Compressed messages would hide a marker or a digest from the search in recorded bytes.
    compressMessages: false,
    ...changes,
  });
  try {
    await waitUntilServing(fleet);
    return fleet;
  } catch (err) {
    await fleet.stop();
    throw err;
  }
}

async function waitUntilServing(fleet: Fleet): Promise<void> {
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
          SERVING_TIMEOUT_MS,
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
        SERVING_TIMEOUT_MS,
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
  if (this.repairAfterwards && this.fleetInUse) await repair(this.fleetInUse);
  if (result?.status === Status.FAILED && this.fleetInUse === (await shared.operations)) {
    // A failed scenario may leave processes frozen or ended; the next one starts a new fleet.
    await this.fleetInUse?.stop();
    shared.operations = undefined;
  }
});

AfterAll(async () => {
  // A fleet is undefined again after a failed scenario has stopped it.
  const fleets = await Promise.allSettled(Object.values(shared) as (Promise<Fleet> | undefined)[]);
  await Promise.all(
    fleets.map((result) => (result.status === 'fulfilled' ? result.value?.stop() : undefined)),
  );
});
