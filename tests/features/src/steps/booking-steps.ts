/** Steps about bookings, which must not run twice. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { makeKey, waitFor, type CallResult } from '@marjoramcart/stand-ins';
import type { GatewayWorld } from '../support/world.js';

const START_TIMEOUT_MS = 10_000;

When(
  '{word} books a slot with a new key at an entry in the {word}',
  async function when(this: GatewayWorld, customer: string, region: string) {
    await createKey(this, customer, region);
    this.results.push(await book(this, customer, this.ownerAddress));
  },
);

When(
  '{word} starts to book a slot with a new key at an entry in the {word}',
  async function when(this: GatewayWorld, customer: string, region: string) {
    await createKey(this, customer, region);
    this.pending.push(book(this, customer, this.ownerAddress));
  },
);

When('a target has started the booking', async function when(this: GatewayWorld) {
  await waitFor('a target started it', () => this.startedRuns().length > 0, START_TIMEOUT_MS);
});

When('{word} sends the booking again', async function when(this: GatewayWorld, customer: string) {
  this.results.push(await book(this, customer, this.ownerAddress));
});

When(
  '{word} sends the booking again to an entry in the {word}',
  async function when(this: GatewayWorld, customer: string, region: string) {
    this.results.push(await book(this, customer, otherEntry(this, region)));
  },
);

When(
  '{word} sends another booking with the same key',
  async function when(this: GatewayWorld, customer: string) {
    this.results.push(await book(this, customer, this.ownerAddress, 'another slot'));
  },
);

Then('both responses name the same booking', async function then(this: GatewayWorld) {
  const responses = [...this.results, ...(await Promise.all(this.pending))];
  assert.equal(responses.length, 2);
  assert.deepEqual(
    responses.map(({ complete }) => complete),
    [true, true],
  );
  assert.deepEqual(bookingOf(responses[0]), bookingOf(responses[1]));
});

Then('the booking is the one that the target ran', function then(this: GatewayWorld) {
  assert.equal(bookingOf(this.result), this.startedRuns()[0]?.run);
});

/** Creates a key and stores it with the address of the entry that owns it. */
async function createKey(world: GatewayWorld, customer: string, region: string): Promise<void> {
  const listed = await world.caller(customer).entries(world.entry(region));
  const owner = listed.find((entry) => entry.region === region);
  if (!owner) throw new Error(`no entry in the ${region} is listed`);
  Object.assign(world, {
    ownerAddress: owner.address,
    key: makeKey(owner.key_prefix, world.nonce()),
  });
}

function book(
  world: GatewayWorld,
  customer: string,
  address: string,
  note = 'a slot',
): Promise<CallResult> {
  return world.caller(customer).call(address, {
    method: 'POST',
    path: '/svc/crane-booking/slots',
    body: { note: `${note} marker:${world.marker}` },
    headers: { 'idempotency-key': world.key },
  });
}

/** An entry of the region that does not own the key. */
function otherEntry(world: GatewayWorld, region: string): string {
  const found = world.fleet.layout.entries.find(
    (entry) => entry.region === region && entry.callers !== world.ownerAddress,
  );
  if (!found) throw new Error(`the ${region} has no other entry`);
  return found.callers;
}

function bookingOf(result: CallResult | undefined): unknown {
  return result && (JSON.parse(result.text) as { booking: unknown }).booking;
}
