/** Steps that start fleets and change their processes. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { operationsFleet, sharedFleet, startFleet } from '../support/fleets.js';
import type { GatewayWorld } from '../support/world.js';

Given('the example fleet', async function given(this: GatewayWorld) {
  this.fleetInUse = await sharedFleet();
});

Given('the operations fleet', async function given(this: GatewayWorld) {
  this.fleetInUse = await operationsFleet();
});

Given('an example fleet of its own', async function given(this: GatewayWorld) {
  this.ownFleet = await startFleet();
  this.fleetInUse = this.ownFleet;
});

Given('every booking takes {int} ms', async function given(this: GatewayWorld, delayMs: number) {
  const bookings = this.fleet.layout.targets.filter(({ service }) => service !== undefined);
  await Promise.all(bookings.map(({ name }) => this.fleet.setTarget(name, { delay_ms: delayMs })));
});

Given(
  'all bytes that leave the {word} are recorded',
  async function given(this: GatewayWorld, region: string) {
    const domain = this.fleet.layout.domains.find((spec) => spec.region === region);
    const record = `${this.fleet.folder}/bytes-${this.marker}`;
    await this.fleet.setFaults({ from: domain?.name ?? '', to: '*' }, { record });
    await this.fleet.setFaults({ from: '*', to: domain?.name ?? '' }, { record });
  },
);

When('the owner of the key is killed', async function when(this: GatewayWorld) {
  const owner = this.fleet.layout.entries.find(({ callers }) => callers === this.ownerAddress);
  await this.fleet.process(owner?.name ?? '').kill();
});

Then('no target started the request', function then(this: GatewayWorld) {
  assert.deepEqual(this.startedRuns(), []);
});

Then('targets started the request once', function then(this: GatewayWorld) {
  assert.equal(this.startedRuns().length, 1);
});

Then(
  'only targets in the {word} started the request',
  function then(this: GatewayWorld, region: string) {
    assert.deepEqual(regionsOfRuns(this), [region]);
  },
);

Then(
  'only targets outside the {word} started the request',
  function then(this: GatewayWorld, region: string) {
    const regions = regionsOfRuns(this);
    assert.ok(regions.length > 0, 'no target started it');
    assert.ok(!regions.includes(region), `targets in ${String(regions)} started it`);
  },
);

/** Regions of the targets that started the scenario's request, each once. */
function regionsOfRuns(world: GatewayWorld): (string | undefined)[] {
  const regions = world
    .startedRuns()
    .map(({ vm }) => world.fleet.layout.targets.find((target) => target.vm === vm)?.region);
  return [...new Set(regions)];
}
