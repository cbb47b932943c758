/** Steps about changes of the configuration while parts of the fleet fail. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  exampleConfig,
  keyHash,
  waitFor,
  type ControlPlan,
  type EntryPlan,
} from '@marjoramcart/stand-ins';
import {
  findRevisionRegressions,
  propagationDelay,
  type Change,
  type Outage,
} from '../support/config-propagation.js';
import { daemonStatus, RevisionObserver } from '../support/observer.js';
import type { GatewayWorld } from '../support/world.js';

const WAIT_TIMEOUT_MS = 20_000;
/** Reads and watches of one watcher for one published value: at most one of each. */
const CALLS_PER_CHANGE = 2;
/** Calls of a control daemon that starts: its first read, and one watch that finds it behind. */
const CALLS_PER_RESTART = 4;
const SERVICE_CALL_LIMIT_PER_S = 2000;
/** A replaced watcher ends its watch when it learns of its successor by gossip. */
const WATCHER_HANDOVER_MS = 2000;
const INVALID_LINK_SHARE_PERCENT = 200;

interface State {
  readonly observer: RevisionObserver;
  readonly changes: Change[];
  readonly outages: Outage[];
  readonly startedAt: number;
  readonly callsBefore: number;
  restarts: number;
  serviceUp: boolean;
  publishedCount: number;
  newestApiKey: string;
}

const states = new WeakMap<GatewayWorld, State>();

Given(
  'the revisions at every daemon and at a caller of each entry are observed',
  async function given(this: GatewayWorld) {
    const state: State = {
      observer: new RevisionObserver(this),
      changes: [],
      outages: [],
      startedAt: Date.now(),
      callsBefore: (await this.fleet.platformCalls()).total ?? 0,
      restarts: 0,
      serviceUp: true,
      publishedCount: 0,
      newestApiKey: '',
    };
    states.set(this, state);
    const before = await Promise.all(daemons(this).map(daemonStatus));
    const revision = Math.max(...before.map((status) => status.revision));
    state.changes.push({ revision, accepted: true, visibleAt: state.startedAt });
    state.observer.start();
  },
);

After(async function endObservation(this: GatewayWorld) {
  await states.get(this)?.observer.stop();
});

When('two operators publish {int} changes', async function when(this: GatewayWorld, count: number) {
  const pairs = Array.from({ length: count / 2 });
  await pairs.reduce<Promise<unknown>>(
    (before) => before.then(() => Promise.all([changeLimits(this), addCustomer(this)])),
    Promise.resolve(),
  );
});

When(
  'an operator publishes a link share of 200% in line 3 of the configuration',
  async function when(this: GatewayWorld) {
    const { format, ...rest } = exampleConfig({ oneWayMs: 20 }) as { format: number };
    const limits = { link_share_percent: INVALID_LINK_SHARE_PERCENT };
    await publish(this, 'config/main', { format, limits, ...rest }, false);
  },
);

When(
  /^(control daemon|entry) (\d) of the (\w+) is killed$/,
  async function when(this: GatewayWorld, kind: string, n: string, region: string) {
    const plan = daemonOf(this, kind, region, Number(n));
    beginOutage(this, kind, plan);
    await this.fleet.process(plan.name).kill();
  },
);

When(
  /^(control daemon|entry) (\d) of the (\w+) is started again$/,
  async function when(this: GatewayWorld, kind: string, n: string, region: string) {
    const plan = daemonOf(this, kind, region, Number(n));
    await this.fleet.restart(plan.name);
    stateOf(this).restarts += 1;
    endOutage(this, plan);
  },
);

When(
  'control daemon {int} of the {word} is frozen until its entries report it lost',
  async function when(this: GatewayWorld, n: number, region: string) {
    const plan = daemonOf(this, 'control daemon', region, n);
    beginOutage(this, 'control daemon', plan);
    this.fleet.process(plan.name).freeze();
    const entry = this.fleet.layout.entries.find(({ vm }) => vm === plan.vm);
    await waitFor(
      'the entry reports its control daemon lost',
      async () => entry && (await daemonStatus(entry)).control_lost,
      WAIT_TIMEOUT_MS,
    );
  },
);

When(
  'control daemon {int} of the {word} is thawed',
  function when(this: GatewayWorld, n: number, region: string) {
    const plan = daemonOf(this, 'control daemon', region, n);
    this.fleet.process(plan.name).thaw();
    endOutage(this, plan);
  },
);

When(
  'the configuration service answers with values {int} revisions old',
  async function when(this: GatewayWorld, behind: number) {
    await this.fleet.setPlatformSettings({ stale_behind: behind });
    stateOf(this).serviceUp = false;
    await this.fleet.setPlatform({ config: 'stale' });
  },
);

When('the configuration service is down', async function when(this: GatewayWorld) {
  stateOf(this).serviceUp = false;
  await this.fleet.setPlatform({ config: 'down' });
});

When('the configuration service is up', async function when(this: GatewayWorld) {
  const state = stateOf(this);
  const now = Date.now();
  await this.fleet.setPlatform({ config: 'up' });
  state.serviceUp = true;
  state.changes
    .filter(({ visibleAt }) => visibleAt === Infinity)
    .forEach((change) => Object.assign(change, { visibleAt: now }));
});

Then('the changes are in force on every reachable daemon', async function then(this: GatewayWorld) {
  const last = lastAccepted(this);
  const reachable = daemons(this).filter(
    ({ vm }) => !stateOf(this).outages.some((outage) => outage.vm === vm && outage.to === Infinity),
  );
  await Promise.all(
    reachable.map((plan) =>
      waitFor(
        `revision ${last} is in force on ${plan.name}`,
        async () => (await daemonStatus(plan)).revision >= last,
        WAIT_TIMEOUT_MS,
      ),
    ),
  );
});

Then(
  'every control daemon reports a validation error in line {int}, column {int}, and no daemon changes its revision',
  async function then(this: GatewayWorld, line: number, column: number) {
    const { revision } = stateOf(this).changes.at(-1) ?? { revision: 0 };
    await Promise.all(
      this.fleet.layout.controls.map((plan) =>
        waitFor(
          `${plan.name} reports the validation error`,
          async () => {
            const { rejected } = await daemonStatus(plan);
            return (
              rejected?.revision === revision &&
              rejected.message.startsWith(`config/main:${line}:${column}: `)
            );
          },
          WAIT_TIMEOUT_MS,
        ),
      ),
    );
    const after = await Promise.all(daemons(this).map(daemonStatus));
    assert.deepEqual(
      new Set(after.map((status) => status.revision)),
      new Set([lastAccepted(this)]),
    );
  },
);

Then(
  'each change was in force on every reachable daemon within {int} s',
  async function then(this: GatewayWorld, boundS: number) {
    const { observer, changes, outages } = stateOf(this);
    await observer.stop();
    const waits = changes
      .filter(({ accepted }) => accepted)
      .flatMap((change) =>
        daemons(this).map((plan) => propagationDelay(observer.samples, outages, change, plan)),
      );
    const worst = waits.reduce((a, b) => (a.waitMs >= b.waitMs ? a : b));
    this.log(`${waits.length} waits, worst ${JSON.stringify(worst)}`);
    assert.deepEqual(
      waits.filter(({ waitMs }) => waitMs > boundS * 1000),
      [],
    );
  },
);

Then('no revision decreased in a process or after a restart', function then(this: GatewayWorld) {
  const { samples } = stateOf(this).observer;
  const sources = [...new Set(samples.map(({ source }) => source))];
  const regressions = sources.flatMap((source) =>
    findRevisionRegressions(samples.filter((s) => s.source === source)),
  );
  this.log(
    `${samples.length} samples of ${sources.length} sources, ${regressions.length} decreases`,
  );
  assert.deepEqual(regressions, []);
});

Then('only accepted revisions were observed', function then(this: GatewayWorld) {
  const { observer, changes } = stateOf(this);
  const accepted = changes.filter((change) => change.accepted).map(({ revision }) => revision);
  const seen = observer.samples.filter(({ ready }) => ready).map(({ revision }) => revision);
  const others = [...new Set(seen)].filter((revision) => !accepted.includes(revision));
  assert.deepEqual(others, []);
});

Then(
  'the customer that the last change added can book at every entry',
  async function then(this: GatewayWorld) {
    const { entries } = this.fleet.layout;
    const path = `/svc/crane-booking/slots?marker:${this.marker}`;
    const caller = this.caller(stateOf(this).newestApiKey);
    const results = await Promise.all(
      entries.map(({ callers }) => caller.call(callers, { method: 'GET', path })),
    );
    assert.deepEqual(
      results.map(({ complete, status }) => ({ complete, status })),
      results.map(() => ({ complete: true, status: 200 })),
    );
    assert.equal(this.startedRuns().length, entries.length);
  },
);

Then(
  'the configuration service received no more calls than two watchers in each failure domain make',
  async function then(this: GatewayWorld) {
    const { observer, changes, callsBefore, startedAt, outages, restarts } = stateOf(this);
    const watchers = 2 * this.fleet.layout.domains.length;
    // While a watcher is replaced, its own watch and its successor's may both be pending.
    const excessWatches = observer.watches.filter(
      ({ at, count }) =>
        count > watchers &&
        !outages.some(({ from, to }) => from <= at && at <= to + WATCHER_HANDOVER_MS),
    );
    const most = Math.max(...observer.watches.map(({ count }) => count));
    const { total = 0, refused = 0 } = await this.fleet.platformCalls();
    const calls = total - callsBefore;
    const seconds = (Date.now() - startedAt) / 1000;
    const replaced = (outages.length + restarts) * CALLS_PER_RESTART;
    // A daemon with a newer revision than a stale service retries each second.
    const retries = Math.ceil(seconds);
    const bound = watchers * CALLS_PER_CHANGE * changes.length + replaced + retries;
    this.log(
      `${calls} calls in ${seconds.toFixed(1)} s, ${(calls / seconds).toFixed(1)} per second of the permitted ` +
        `${SERVICE_CALL_LIMIT_PER_S}; at most ${most} watches; bound ${bound}`,
    );
    assert.deepEqual(excessWatches, []);
    assert.equal(refused, 0);
    assert.ok(calls <= bound, `${calls} calls, expected at most ${bound}`);
  },
);

function stateOf(world: GatewayWorld): State {
  const state = states.get(world);
  if (!state) throw new Error('the scenario observes no revisions');
  return state;
}

function daemons(world: GatewayWorld): (ControlPlan | EntryPlan)[] {
  return [...world.fleet.layout.controls, ...world.fleet.layout.entries];
}

function daemonOf(
  { fleet }: GatewayWorld,
  kind: string,
  region: string,
  n: number,
): ControlPlan | EntryPlan {
  const { controls, entries } = fleet.layout;
  const plans: readonly (ControlPlan | EntryPlan)[] = kind === 'entry' ? entries : controls;
  const plan = plans.filter((candidate) => candidate.region === region)[n - 1];
  if (!plan) throw new Error(`the ${region} has no ${kind} ${n}`);
  return plan;
}

/**
 * Records that a daemon cannot receive changes from now on. An outage of a control daemon includes
 * the entry on its VM, which receives its configuration from that daemon.
 */
function beginOutage(
  world: GatewayWorld,
  kind: string,
  { vm, name }: ControlPlan | EntryPlan,
): void {
  const daemon = kind === 'entry' ? name : undefined;
  stateOf(world).outages.push({ vm, daemon, from: Date.now(), to: Infinity });
}

function endOutage(world: GatewayWorld, { vm }: ControlPlan | EntryPlan): void {
  stateOf(world)
    .outages.filter((outage) => outage.vm === vm && outage.to === Infinity)
    .forEach((outage) => Object.assign(outage, { to: Date.now() }));
}

async function changeLimits(world: GatewayWorld): Promise<void> {
  const state = stateOf(world);
  state.publishedCount += 1;
  const limits = { link_share_percent: 50 + (state.publishedCount % 40) };
  await publish(world, 'config/main', { ...exampleConfig({ oneWayMs: 20 }), limits });
}

async function addCustomer(world: GatewayWorld): Promise<void> {
  const state = stateOf(world);
  state.publishedCount += 1;
  const id = `crew-${state.publishedCount}`;
  const key = `key-${id}`;
  const customers = [{ id, key: keyHash(key), class: 'crews' }];
  await publish(world, 'config/customers-crews', { format: 1, customers });
  state.newestApiKey = key;
}

async function publish(
  world: GatewayWorld,
  key: string,
  value: object | string,
  accepted = true,
): Promise<void> {
  const { changes, serviceUp } = stateOf(world);
  const publishedAt = Date.now();
  const revision = await world.fleet.publish(key, value);
  changes.push({ revision, accepted, visibleAt: serviceUp ? publishedAt : Infinity });
}

function lastAccepted(world: GatewayWorld): number {
  const { changes, serviceUp } = stateOf(world);
  const visible = changes.filter(
    ({ accepted, visibleAt }) => accepted && (serviceUp || visibleAt !== Infinity),
  );
  return Math.max(...visible.map(({ revision }) => revision));
}
