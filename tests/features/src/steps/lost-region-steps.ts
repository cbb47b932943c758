/** Steps about a region that loses its engines while links between regions have low bandwidth. */
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  exampleConfig,
  exampleDomains,
  waitFor,
  type CallResult,
  type FlowState,
} from '@marjoramcart/stand-ins';
import { ONE_WAY_MS, startFleet } from '../support/fleets.js';
import { recordLinks, countCrossRegionRequests, domainLinks } from '../support/recorded-links.js';
import type { CustomerName, GatewayWorld } from '../support/world.js';

const BYTES_PER_MBIT = 125_000;
const WAIT_TIMEOUT_MS = 50_000;
/**
 * The callers in a loop keep 47 of the 64 engine slots in the north busy, more than the other
 * regions have together.
 */
const ENGINES_BY_REGION: Readonly<Record<string, number>> = { north: 8, central: 2, west: 2 };
const ENGINE_CONCURRENCY = 8;
const TOKEN_MS = 25;
const TOKENS = 16;
const MEAN_PAUSE_MS = 1000;
const P99 = 0.99;
const MAX_P99_GROWTH = 1.1;

interface Call {
  readonly marker: string;
  readonly region: string;
  readonly bound: boolean;
  readonly afterLoss: boolean;
  readonly result: CallResult;
}

interface Load {
  stopped: boolean;
  lostAt: number;
  flows: Readonly<Record<string, FlowState>>;
  readonly mbitPerS: number;
  readonly calls: Call[];
  readonly loops: Promise<void>[];
}

const loads = new WeakMap<GatewayWorld, Load>();

Given(
  'a fleet with links of {int} Mbit\\/s, {int}% of it for forwarded requests',
  async function given(this: GatewayWorld, mbitPerS: number, sharePercent: number) {
    this.ownFleet = await startFleet({
      domains: exampleDomains.map((spec) => ({
        ...spec,
        engines: ENGINES_BY_REGION[spec.region] ?? 0,
      })),
      config: { 'config/main': lowBandwidthConfig(mbitPerS, sharePercent) },
      engineArgs: ['--concurrency', String(ENGINE_CONCURRENCY), '--token-ms', String(TOKEN_MS)],
    });
    this.fleetInUse = this.ownFleet;
    const rate = { rate_bytes_per_s: mbitPerS * BYTES_PER_MBIT };
    await Promise.all(domainLinks(this).map((link) => this.fleet.setFlow(link, rate)));
    await recordLinks(this);
    loads.set(this, {
      stopped: false,
      lostAt: Infinity,
      flows: {},
      mbitPerS,
      calls: [],
      loops: [],
    });
  },
);

Given(
  '{int} callers in the {word} and {int} each in the {word} and the {word}, in a loop',
  function given(
    this: GatewayWorld,
    many: number,
    lost: string,
    few: number,
    first: string,
    second: string,
  ) {
    startLoops(this, 'tent-crew', lost, many);
    startLoops(this, 'tent-crew', first, few);
    startLoops(this, 'tent-crew', second, few);
  },
);

Given(
  '{int} callers of a customer bound to the {word}, in a loop',
  function given(this: GatewayWorld, count: number, region: string) {
    startLoops(this, 'tartu-archive', region, count);
  },
);

When(
  /^callers in the (\w+) and the (\w+) have (\d+) (?:more )?responses each$/,
  async function when(this: GatewayWorld, first: string, second: string, count: string) {
    const { calls } = loadOf(this);
    const from = calls.length;
    await waitFor(
      'the callers have their responses',
      () =>
        [first, second].every(
          (name) => calls.slice(from).filter(({ region }) => region === name).length >= +count,
        ),
      WAIT_TIMEOUT_MS,
    );
  },
);

When(
  'all engines of the {word} are killed',
  async function when(this: GatewayWorld, region: string) {
    const load = loadOf(this);
    const engines = this.fleet.layout.targets.filter(
      (target) => target.region === region && target.service === undefined,
    );
    load.flows = await this.fleet.flows();
    load.lostAt = Date.now();
    await Promise.all(engines.map(({ name }) => this.fleet.process(name).kill()));
  },
);

After(async function endLoad(this: GatewayWorld) {
  await stopLoad(this);
});

Then(
  'callers in the {word} and the {word} lost no call',
  async function then(this: GatewayWorld, first: string, second: string) {
    const { lostAt } = loadOf(this);
    const lostForMs = Date.now() - lostAt;
    await logLinkUsage(this, lostForMs);
    await stopLoad(this);
    const lost = callsOf(this, [first, second]).filter(({ result }) => !result.complete);
    assert.deepEqual(
      lost.map(({ marker, result: { code, broken } }) => ({ marker, code, broken })),
      [],
    );
  },
);

Then(
  'their first-token p99 grew by at most 10%, or is below {int} ms before and after',
  function then(this: GatewayWorld, thresholdMs: number) {
    const figures = ['central', 'west'].map((region) => {
      const calls = callsOf(this, [region]);
      const before = p99(calls.filter(({ afterLoss }) => !afterLoss));
      const after = p99(calls.filter(({ afterLoss }) => afterLoss));
      this.log(`${region}: ${calls.length} calls, first-token p99 ${before} ms, then ${after} ms`);
      return { region, before, after };
    });
    const worse = figures.filter(
      ({ before, after }) =>
        after > before * MAX_P99_GROWTH && (before >= thresholdMs || after >= thresholdMs),
    );
    assert.deepEqual(worse, []);
  },
);

Then(
  'no call of the bound customer left the {word}',
  function then(this: GatewayWorld, region: string) {
    const bound = loadOf(this).calls.filter((call) => call.bound);
    const markers = new Set(bound.map(({ marker }) => marker));
    const outside = this.fleet
      .runs()
      .filter(({ marker, vm }) => markers.has(marker) && regionOfVm(this, vm) !== region);
    const crossed = [...countCrossRegionRequests(this).keys()].filter((m) => markers.has(m));
    const wronglyNotRun = bound.filter(
      ({ marker, result }) => result.run === 'not_run' && this.startedRuns(marker).length > 0,
    );
    this.log(`${bound.length} calls of the bound customer, ${crossed.length} crossed regions`);
    assert.ok(bound.some(({ afterLoss }) => afterLoss));
    assert.deepEqual(
      { outside, crossed, wronglyNotRun },
      { outside: [], crossed: [], wronglyNotRun: [] },
    );
  },
);

Then(
  'some calls of the {word} ran in other regions',
  function then(this: GatewayWorld, region: string) {
    const calls = callsOf(this, [region]).filter(({ afterLoss }) => afterLoss);
    const started = new Map(
      this.fleet
        .runs()
        .filter(({ event, vm }) => event === 'started' && regionOfVm(this, vm) !== region)
        .map(({ marker }) => [marker, true]),
    );
    const remote = calls.filter(({ marker }) => started.has(marker));
    const complete = remote.filter(({ result }) => result.complete).length;
    const codes = Object.entries(countBy(calls, ({ result }) => String(result.code)));
    this.log(
      `${calls.length} calls of the ${region} since the loss, ${remote.length} ` +
        `(${formatPercent(remote.length, calls.length)}) ran in other regions, ${complete} of them complete; ` +
        `codes ${JSON.stringify(codes)}`,
    );
    assert.ok(remote.length > 0);
  },
);

Then(
  'links and targets saw on average at most {float} attempts per call',
  function then(this: GatewayWorld, limit: number) {
    const { calls } = loadOf(this);
    const markers = new Set(calls.filter((call) => call.afterLoss).map(({ marker }) => marker));
    const started = startsOf(this);
    const forwarded = countCrossRegionRequests(this);
    // A forwarded request that no target in the other region started counts as an attempt, too.
    const attempts = [...markers].reduce(
      (sum, marker) => sum + Math.max(started.get(marker) ?? 0, forwarded.get(marker) ?? 0),
      0,
    );
    const tried = [...markers].filter((m) => started.has(m) || forwarded.has(m)).length;
    this.log(
      `${attempts} attempts for ${markers.size} calls since the loss, of which ${tried} were ` +
        `tried: ${(attempts / tried).toFixed(3)}`,
    );
    assert.ok(tried > 0 && attempts / tried <= limit);
  },
);

function lowBandwidthConfig(mbitPerS: number, sharePercent: number): object {
  const config = exampleConfig({ oneWayMs: ONE_WAY_MS }) as {
    regions: Record<string, { links?: Record<string, { mbit_per_s: number }> }>;
    services: Record<string, object>;
  };
  const link = { one_way: `${ONE_WAY_MS}ms`, mbit_per_s: mbitPerS };
  const regions = Object.entries(config.regions).map(([name, region]) => {
    const links = Object.keys(region.links ?? {}).map((other) => [other, link]);
    return [name, { ...region, links: Object.fromEntries(links) as object }];
  });
  const service = {
    concurrency: ENGINE_CONCURRENCY,
    targets: { min: 1, max: ENGINES_BY_REGION.north },
  };
  return {
    ...config,
    regions: Object.fromEntries(regions) as object,
    services: {
      ...config.services,
      'crew-answers': { ...config.services['crew-answers'], ...service },
    },
    limits: { link_share_percent: sharePercent },
  };
}

function startLoops(
  world: GatewayWorld,
  customer: CustomerName,
  region: string,
  count: number,
): void {
  const entries = world.fleet.layout.entries.filter((entry) => entry.region === region);
  const loops = Array.from({ length: count }, (_, n) => {
    const name = `${world.marker}-${customer}-${region}-${n}`;
    return callInLoop(world, customer, region, entries[n % entries.length]?.callers ?? '', name, 0);
  });
  loadOf(world).loops.push(...loops);
}

async function callInLoop(
  world: GatewayWorld,
  customer: CustomerName,
  region: string,
  address: string,
  name: string,
  done: number,
): Promise<void> {
  const load = loadOf(world);
  await delay(MEAN_PAUSE_MS * 2 * world.random.next());
  if (load.stopped) return;
  const marker = `${name}-${done}-end`;
  const sentAt = Date.now();
  const result = await world.caller(customer).chat(address, world.chatRequest(marker, TOKENS));
  // A call that was open when the engines were killed counts as sent after the loss.
  const afterLoss = Date.now() > load.lostAt || sentAt > load.lostAt;
  load.calls.push({ marker, region, bound: customer === 'tartu-archive', afterLoss, result });
  await callInLoop(world, customer, region, address, name, done + 1);
}

async function stopLoad(world: GatewayWorld): Promise<void> {
  const load = loads.get(world);
  if (!load) return;
  load.stopped = true;
  await Promise.all(load.loops);
}

async function logLinkUsage(world: GatewayWorld, lostForMs: number): Promise<void> {
  const { flows, mbitPerS } = loadOf(world);
  const now = await world.fleet.flows();
  domainLinks(world).forEach(({ from, to }) => {
    const name = `${from}>${to}`;
    const bytes = (now[name]?.bytes ?? 0) - (flows[name]?.bytes ?? 0);
    const perS = Math.round((bytes / lostForMs) * 1000);
    const share = formatPercent(perS, mbitPerS * BYTES_PER_MBIT);
    world.log(`${name}: ${bytes} bytes in ${lostForMs} ms since the loss, ${share} of its rate`);
  });
}

/** How often targets started the request with each marker. */
function startsOf(world: GatewayWorld): Map<string, number> {
  const counts = new Map<string, number>();
  world.fleet
    .runs()
    .filter(({ event }) => event === 'started')
    .forEach(({ marker }) => counts.set(marker, (counts.get(marker) ?? 0) + 1));
  return counts;
}

/** Calls sent in `regions` by customers that are not bound to a region. */
function callsOf(world: GatewayWorld, regions: readonly string[]): Call[] {
  return loadOf(world).calls.filter(({ region, bound }) => !bound && regions.includes(region));
}

function regionOfVm(world: GatewayWorld, vm: string): string | undefined {
  return world.fleet.layout.targets.find((target) => target.vm === vm)?.region;
}

function p99(calls: readonly Call[]): number {
  const sorted = calls.map(({ result }) => result.firstTokenMs).sort((a, b) => a - b);
  return Math.round(sorted[Math.ceil(sorted.length * P99) - 1] ?? Infinity);
}

function countBy<Item>(items: readonly Item[], key: (item: Item) => string) {
  return items.reduce<Record<string, number>>(
    (counts, item) => ({ ...counts, [key(item)]: (counts[key(item)] ?? 0) + 1 }),
    {},
  );
}

function formatPercent(part: number, whole: number): string {
  return `${((100 * part) / whole).toFixed(1)}%`;
}

function loadOf(world: GatewayWorld): Load {
  const load = loads.get(world);
  if (!load) throw new Error('the scenario has no load');
  return load;
}
