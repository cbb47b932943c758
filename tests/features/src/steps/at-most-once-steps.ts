/** Steps that inject faults during bookings and compare all responses with the run logs. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { waitFor, type EntryPlan } from '@marjoramcart/stand-ins';
import { Bookings, entryStatus } from '../support/bookings.js';
import { faultInjectionFleet } from '../support/fleets.js';
import type { GatewayWorld } from '../support/world.js';

const WAIT_TIMEOUT_MS = 30_000;

interface State {
  readonly bookings: Bookings;
  customer: string;
  owner: EntryPlan;
  sender: EntryPlan;
  /** Deadline of the first sends, Unix ms; 0 when the scenario sets none. */
  firstDeadlineAt: number;
}

const states = new WeakMap<GatewayWorld, State>();

Given('the fault-injection fleet', async function given(this: GatewayWorld) {
  this.fleetInUse = await faultInjectionFleet();
  this.repairAfterwards = true;
});

When(
  '{word} starts {int} bookings at an entry in the {word}',
  async function when(this: GatewayWorld, customer: string, count: number, region: string) {
    const { bookings, owner } = createState(this, customer, region);
    const made = await bookings.create(customer, count, owner);
    this.pending.push(...made.map((booking) => bookings.send(customer, booking, owner)));
  },
);

When(
  '{word} starts {int} bookings at an entry in the {word} with a deadline of {int} ms',
  async function when(
    this: GatewayWorld,
    customer: string,
    count: number,
    region: string,
    deadlineMs: number,
  ) {
    const { bookings, owner } = createState(this, customer, region);
    const made = await bookings.create(customer, count, owner);
    stateOf(this).firstDeadlineAt = Date.now() + deadlineMs;
    this.pending.push(
      ...made.map((booking) => bookings.send(customer, booking, owner, { deadlineMs })),
    );
  },
);

When(
  '{word} starts {int} bookings with keys of the {word} at an entry in the {word} with a deadline of {int} ms',
  async function when(
    this: GatewayWorld,
    customer: string,
    count: number,
    region: string,
    senderRegion: string,
    deadlineMs: number,
  ) {
    const { bookings, owner } = createState(this, customer, region, senderRegion);
    const { sender } = stateOf(this);
    const made = await bookings.create(customer, count, owner);
    this.pending.push(
      ...made.map((booking) => bookings.send(customer, booking, sender, { deadlineMs })),
    );
  },
);

When(
  '{word} sends {int} bookings to all entries at the same time',
  async function when(this: GatewayWorld, customer: string, count: number) {
    const { bookings, owner } = createState(this, customer, 'north');
    const made = await bookings.create(customer, count, owner);
    const sent = made.flatMap((booking) =>
      this.fleet.layout.entries.map((entry) =>
        bookings.send(customer, booking, entry, { resent: entry !== owner }),
      ),
    );
    this.pending.push(...sent);
  },
);

When(
  '{word} starts {int} bookings at the same entry with a deadline of {int} ms',
  async function when(this: GatewayWorld, customer: string, count: number, deadlineMs: number) {
    const { bookings, owner } = stateOf(this);
    // The other regions listed the owner before the cut, so the keys can be used at once.
    const made = bookings.createMore(count);
    this.pending = made.map((booking) => bookings.send(customer, booking, owner, { deadlineMs }));
  },
);

When('all responses to these bookings have arrived', async function when(this: GatewayWorld) {
  await Promise.all(this.pending);
});

When('targets run some of them and the entry queues the others', function when(this: GatewayWorld) {
  const { bookings, owner } = stateOf(this);
  return waitFor(
    'targets run some bookings and the entry queues the others',
    async () => {
      const started = bookings.startedRuns().length;
      const { queued } = await entryStatus(owner);
      return started > 0 && queued > 0 && started + queued === bookings.all.length;
    },
    WAIT_TIMEOUT_MS,
  );
});

When('the deadline of the first sends has passed', function when(this: GatewayWorld) {
  const { firstDeadlineAt } = stateOf(this);
  return waitFor('the deadline has passed', () => Date.now() > firstDeadlineAt, WAIT_TIMEOUT_MS);
});

When('targets run all of them', function when(this: GatewayWorld) {
  const { bookings } = stateOf(this);
  return waitFor(
    'targets run all bookings',
    () => bookings.startedRuns().length === bookings.all.length,
    WAIT_TIMEOUT_MS,
  );
});

When('all responses have arrived', function when(this: GatewayWorld) {
  return stateOf(this).bookings.waitUntilIdle();
});

When('the entry dies', async function when(this: GatewayWorld) {
  await this.fleet.process(stateOf(this).owner.name).kill();
});

When('the entry freezes', function when(this: GatewayWorld) {
  this.fleet.process(stateOf(this).owner.name).freeze();
});

When('the entry is thawed', function when(this: GatewayWorld) {
  this.fleet.process(stateOf(this).owner.name).thaw();
});

When(
  'the entry restarts and its callers re-send without a pause until it answers',
  async function when(this: GatewayWorld) {
    const { bookings, owner, customer } = stateOf(this);
    const process = this.fleet.process(owner.name);
    await process.kill();
    process.start();
    await Promise.all(
      bookings.all.map((booking) =>
        waitFor(
          `${owner.name} answers`,
          async () =>
            (await bookings.send(customer, booking, owner, { resent: true })).run === 'unknown',
          WAIT_TIMEOUT_MS,
        ),
      ),
    );
  },
);

When('the targets have ended the runs that they had started', function when(this: GatewayWorld) {
  const { bookings } = stateOf(this);
  return waitFor(
    'the started bookings are finished',
    () => {
      const started = bookings.startedRuns().map(({ run }) => run);
      const finished = this.fleet.runs().filter(({ event }) => event === 'finished');
      const ended = new Set(finished.map(({ run }) => run));
      return started.length > 0 && started.every((run) => ended.has(run));
    },
    WAIT_TIMEOUT_MS,
  );
});

When(
  'the bookings are sent again to {string} with a deadline of {int} ms',
  async function when(this: GatewayWorld, destination: string, deadlineMs: number) {
    const { bookings, customer, owner } = stateOf(this);
    const all = this.fleet.layout.entries;
    const entries = destination === 'all other entries' ? all.filter((e) => e !== owner) : all;
    await Promise.all(
      bookings.all.flatMap((booking) =>
        entries.map((entry) =>
          bookings.send(customer, booking, entry, { resent: true, deadlineMs }),
        ),
      ),
    );
  },
);

When(
  'the bookings are sent again to {string} during the cut with a deadline of {int} ms',
  function when(this: GatewayWorld, destination: string, deadlineMs: number) {
    const { bookings, customer } = stateOf(this);
    const entries = this.fleet.layout.entries.filter(
      ({ region }) => destination === 'all entries' || region === destination,
    );
    const sent = bookings.all.flatMap((booking) =>
      entries.map((entry) => bookings.send(customer, booking, entry, { resent: true, deadlineMs })),
    );
    this.pending.push(...sent);
  },
);

When(
  'the {word} is cut off from the other regions',
  function when(this: GatewayWorld, region: string) {
    return this.fleet.isolate(domainOf(this, region), true);
  },
);

When('the links of the {word} are restored', function when(this: GatewayWorld, region: string) {
  return this.fleet.isolate(domainOf(this, region), false);
});

Given(
  'the booking targets of the {word} are leaving',
  async function given(this: GatewayWorld, region: string) {
    const targets = this.fleet.layout.targets.filter(
      (target) => target.region === region && target.service !== undefined,
    );
    await Promise.all(targets.map(({ name }) => this.fleet.setTarget(name, { state: 'leaving' })));
  },
);

Given(
  'booking targets have {string} set to {string}',
  async function given(this: GatewayWorld, setting: string, value: string) {
    const targets = this.fleet.layout.targets.filter(({ service }) => service !== undefined);
    await Promise.all(
      targets.map(({ name }) => this.fleet.setTarget(name, { [setting]: value === 'true' })),
    );
  },
);

Given(
  'the entries in the {word} hold used connections to the booking targets',
  async function given(this: GatewayWorld, region: string) {
    const entries = this.fleet.layout.entries.filter((entry) => entry.region === region);
    const call = { method: 'GET', path: '/svc/crane-booking/slots' };
    const calls = entries.flatMap(({ callers }) =>
      Array.from({ length: 8 }, () => this.caller('tent-crew').call(callers, call)),
    );
    const results = await Promise.all(calls);
    assert.ok(results.every(({ complete }) => complete));
  },
);

Then('no booking ran twice and every "not_run" is true', async function then(this: GatewayWorld) {
  const counts = await stateOf(this).bookings.checkAgainstRunLogs();
  const responseCount = counts.answers ?? 0;
  const share = responseCount === 0 ? 0 : (counts.unknown ?? 0) / responseCount;
  this.attach(JSON.stringify({ ...counts, unknown_share: Number(share.toFixed(3)) }));
});

Then('every booking ran', function then(this: GatewayWorld) {
  const { bookings } = stateOf(this);
  assert.equal(bookings.startedRuns().length, bookings.all.length);
});

Then('no queued booking ran', function then(this: GatewayWorld) {
  const { bookings } = stateOf(this);
  assert.ok(bookings.startedRuns().length < bookings.all.length);
});

Then(
  /^every (response|answered re-send|first send) reports "([a-z_]+)"$/,
  function then(this: GatewayWorld, which: string, run: string) {
    const { responses } = stateOf(this).bookings;
    const chosen = responses.filter(
      ({ resent, result }) =>
        which === 'response' || (which === 'first send' ? !resent : resent && result.status !== 0),
    );
    const reported = chosen.map(({ result }) => `${result.run} ${result.code}`);
    assert.ok(reported.length > 0, 'there is no such response');
    assert.deepEqual(
      reported.filter((text) => text.split(' ')[0] !== run),
      [],
    );
  },
);

function createState(
  world: GatewayWorld,
  customer: string,
  region: string,
  senderRegion = region,
): State {
  const entryIn = (wanted: string): EntryPlan => {
    const found = world.fleet.layout.entries.find((entry) => entry.region === wanted);
    if (!found) throw new Error(`there is no entry in the ${wanted}`);
    return found;
  };
  const state = {
    bookings: new Bookings(world),
    customer,
    owner: entryIn(region),
    sender: entryIn(senderRegion),
    firstDeadlineAt: 0,
  };
  states.set(world, state);
  return state;
}

function stateOf(world: GatewayWorld): State {
  const state = states.get(world);
  if (!state) throw new Error('the scenario has started no booking');
  return state;
}

function domainOf(world: GatewayWorld, region: string): string {
  const domain = world.fleet.layout.domains.find((spec) => spec.region === region);
  if (!domain) throw new Error(`there is no failure domain in the ${region}`);
  return domain.name;
}
