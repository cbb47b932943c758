/** Steps about regions whose stale views make them forward requests to each other. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  exampleDomains,
  requestJson,
  waitFor,
  type CallResult,
  type ProcessLocation,
} from '@marjoramcart/stand-ins';
import { startFleet } from '../support/fleets.js';
import { countOnLink, recordLinks, domainLinks } from '../support/recorded-links.js';
import type { GatewayWorld } from '../support/world.js';

const NO_READY_TARGET = 4102;
const TARGET_UNREACHABLE = 4103;
const MAX_TOKENS = 4;
/** Below the expiry of summaries, so that the view of the other region is still used. */
const VIEW_UPDATE_TIMEOUT_MS = 8000;

/** A call with the failure domain that its caller sent it to. */
interface SentCall {
  readonly marker: string;
  readonly domain: string;
  readonly result: CallResult;
}

interface ControlStatus {
  readonly targets: readonly { readonly kind: string; readonly healthy: boolean }[];
}

interface EntryStatus {
  readonly view_age_ms: number;
}

const sentCalls = new WeakMap<GatewayWorld, SentCall[]>();

Given(
  'a dedicated example fleet with {int} bookings in each region',
  async function given(this: GatewayWorld, bookings: number) {
    const domains = exampleDomains.map((spec) => ({
      ...spec,
      plain: { 'crane-booking': bookings },
    }));
    this.ownFleet = await startFleet({ domains });
    this.fleetInUse = this.ownFleet;
  },
);

Given('the requests between all regions are recorded', async function given(this: GatewayWorld) {
  await recordLinks(this);
});

When(
  'the control daemons in the {word} and the {word} are frozen',
  function when(this: GatewayWorld, first: string, second: string) {
    this.fleet.layout.controls
      .filter(({ region }) => [first, second].includes(region))
      .forEach(({ name }) => this.fleet.process(name).freeze());
  },
);

When(
  'the {word} and the {word} are cut off from each other',
  async function when(this: GatewayWorld, first: string, second: string) {
    await setCut(this, [first, second], true);
  },
);

When(
  'the {word} and the {word} are reconnected',
  async function when(this: GatewayWorld, first: string, second: string) {
    await setCut(this, [first, second], false);
  },
);

When(
  'the entries in the {word} and the {word} know that no local engine is healthy',
  async function when(this: GatewayWorld, first: string, second: string) {
    const isInRegions = ({ region }: ProcessLocation): boolean => [first, second].includes(region);
    const { controls, entries } = this.fleet.layout;
    await waitForAll(controls.filter(isInRegions), 'has no healthy engine', async ({ admin }) => {
      const { targets } = await statusOf<ControlStatus>(admin);
      return targets.every(({ kind, healthy }) => kind !== 'engine' || !healthy);
    });
    const knownAt = performance.now();
    await waitForAll(entries.filter(isInRegions), 'has synced since then', async ({ admin }) => {
      const askedAt = performance.now();
      const { view_age_ms: ageMs } = await statusOf<EntryStatus>(admin);
      return ageMs < askedAt - knownAt;
    });
  },
);

When('all engines are killed', async function when(this: GatewayWorld) {
  const engines = this.fleet.layout.targets.filter(({ service }) => service === undefined);
  await Promise.all(engines.map(({ name }) => this.fleet.process(name).kill()));
});

When(
  '{word} asks each entry in the {word} and the {word} for {int} completions at once',
  async function when(
    this: GatewayWorld,
    customer: string,
    first: string,
    second: string,
    times: number,
  ) {
    const entries = this.fleet.layout.entries.filter(({ region }) =>
      [first, second].includes(region),
    );
    const calls = entries.flatMap(({ name, domain, callers }) =>
      Array.from({ length: times }, async (_, n): Promise<SentCall> => {
        const marker = `${this.marker}-${name}-${n}-end`;
        const body = this.chatRequest(marker, MAX_TOKENS);
        return { marker, domain, result: await this.caller(customer).chat(callers, body) };
      }),
    );
    sentCalls.set(this, await Promise.all(calls));
  },
);

Then(
  'every call is refused with a numbered code and was not run',
  function then(this: GatewayWorld) {
    callsOf(this).forEach(({ marker, result: { code, run, broken } }) => {
      const expected = [NO_READY_TARGET, TARGET_UNREACHABLE].includes(code);
      assert.ok(expected && run === 'not_run', `${marker}: ${code} ${run} ${broken}`);
      assert.deepEqual(this.startedRuns(marker), []);
    });
  },
);

Then('some requests crossed regions', function then(this: GatewayWorld) {
  const crossed = callsOf(this).filter(({ marker }) => crossings(this, marker) > 0);
  assert.ok(crossed.length > 0, 'no request is in the recorded bytes');
});

Then('no request crossed regions more than once', function then(this: GatewayWorld) {
  const crossed = callsOf(this)
    .map(({ marker }) => ({ marker, times: crossings(this, marker) }))
    .filter(({ times }) => times > 1);
  assert.deepEqual(crossed, []);
});

Then('no request was sent back', function then(this: GatewayWorld) {
  const back = callsOf(this).filter(({ marker, domain }) =>
    domainLinks(this).some((link) => link.to === domain && countOnLink(this, link, marker) > 0),
  );
  assert.deepEqual(
    back.map(({ marker }) => marker),
    [],
  );
});

function statusOf<Status>(admin: string): Promise<Status> {
  return requestJson<Status>('GET', `http://${admin}/status`);
}

async function waitForAll<Plan extends ProcessLocation>(
  plans: readonly Plan[],
  condition: string,
  ask: (plan: Plan) => Promise<boolean>,
): Promise<void> {
  await Promise.all(
    plans.map((plan) =>
      waitFor(`${plan.name} ${condition}`, () => ask(plan), VIEW_UPDATE_TIMEOUT_MS),
    ),
  );
}

async function setCut(world: GatewayWorld, regions: string[], cut: boolean): Promise<void> {
  const [from = '', to = ''] = world.fleet.layout.domains
    .filter(({ region }) => regions.includes(region))
    .map(({ name }) => name);
  await world.fleet.setFlow({ from, to, both: true }, { cut });
}

/** How often a request was sent from one region to another. */
function crossings(world: GatewayWorld, marker: string): number {
  return domainLinks(world).reduce((sum, link) => sum + countOnLink(world, link, marker), 0);
}

function callsOf(world: GatewayWorld): SentCall[] {
  const calls = sentCalls.get(world) ?? [];
  assert.ok(calls.length > 0, 'no call was sent');
  return calls;
}
