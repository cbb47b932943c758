/** Steps about replacing daemons in turn while callers follow the entry list. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  chatText,
  expectedResponseText,
  waitFor,
  type CallResult,
  type ExitStatus,
  type ListedEntry,
} from '@marjoramcart/stand-ins';
import { Bookings } from '../support/bookings.js';
import type { GatewayWorld } from '../support/world.js';

const WAIT_TIMEOUT_MS = 20_000;
/** Tokens of 10 ms each: the streams outlast the 1 s in which the entry announces its shutdown. */
const LONG_STREAM_TOKENS = 200;
const SHORT_STREAM_TOKENS = 8;
const MAX_ATTEMPTS = 5;

interface ReceivedResponse {
  readonly result: CallResult;
  readonly expectedText: string;
}

interface State {
  stopped: boolean;
  readonly responses: ReceivedResponse[];
  readonly exits: { readonly name: string; readonly exit: ExitStatus }[];
  loops: Promise<void>[];
  /** Bookings of callers who use keys. */
  bookings?: Bookings;
}

interface Follower {
  readonly name: string;
  readonly tokens: number;
  /** Addresses from the last entry list, best first. */
  addresses: string[];
  calls: number;
}

const states = new WeakMap<GatewayWorld, State>();

Given(
  '{int} callers who follow the entry list, half of them with long streams',
  async function given(this: GatewayWorld, count: number) {
    const state: State = { stopped: false, responses: [], exits: [], loops: [] };
    states.set(this, state);
    const addresses = this.fleet.layout.entries.map(({ callers }) => callers);
    state.loops = Array.from({ length: count }, (_, n) => {
      const tokens = n % 2 === 0 ? LONG_STREAM_TOKENS : SHORT_STREAM_TOKENS;
      const first = [...addresses.slice(n), ...addresses.slice(0, n)];
      return follow(this, { name: `${this.marker}-${n}`, tokens, addresses: first, calls: 0 });
    });
    await waitUntilServed(this);
  },
);

Given(
  '{int} callers who book with keys of the listed entries and send each booking to a second entry, too',
  async function given(this: GatewayWorld, count: number) {
    const bookings = new Bookings(this);
    const state: State = { stopped: false, responses: [], exits: [], loops: [], bookings };
    states.set(this, state);
    state.loops = Array.from({ length: count }, (_, n) => book(this, bookings, n));
    await waitUntilServed(this);
  },
);

After(async function endLoad(this: GatewayWorld) {
  const state = states.get(this);
  if (!state) return;
  state.stopped = true;
  await Promise.all(state.loops);
});

When(
  'each control daemon receives SIGTERM and is replaced in turn',
  async function when(this: GatewayWorld) {
    await replaceAll(this, this.fleet.layout.controls);
  },
);

When(
  'each entry of the {word} receives SIGTERM and is replaced in turn',
  async function when(this: GatewayWorld, region: string) {
    await replaceAll(
      this,
      this.fleet.layout.entries.filter((entry) => entry.region === region),
    );
  },
);

Then(
  'every replaced process exited with code {int}',
  function then(this: GatewayWorld, code: number) {
    const { exits } = stateOf(this);
    const { controls, entries } = this.fleet.layout;
    assert.equal(exits.length, controls.length + entries.length);
    assert.deepEqual(
      exits.filter(({ exit }) => exit.code !== code),
      [],
    );
  },
);

Then(
  'every call of these callers got its complete response',
  async function then(this: GatewayWorld) {
    const state = stateOf(this);
    state.stopped = true;
    await Promise.all(state.loops);
    const lost = state.responses.filter(
      ({ result, expectedText }) => !result.complete || chatText(result) !== expectedText,
    );
    const cancelled = this.fleet
      .runs()
      .filter((run) => run.event === 'cancelled' && run.marker.startsWith(this.marker));
    this.log(`${state.responses.length} calls, ${lost.length} lost, ${cancelled.length} cancelled`);
    assert.deepEqual(
      lost.map(({ result: { status, code, run, broken } }) => ({ status, code, run, broken })),
      [],
    );
    assert.deepEqual(cancelled, []);
  },
);

Then(
  'no booking ran twice, every "not_run" is true and the owner of a key answered each booking',
  async function then(this: GatewayWorld) {
    const state = stateOf(this);
    state.stopped = true;
    await Promise.all(state.loops);
    const counts = await state.bookings?.checkAgainstRunLogs();
    const first = (state.bookings?.responses ?? []).filter(({ resent }) => !resent);
    const unanswered = first.filter(({ result }) => !result.complete && !isNotRun(result));
    const refused = first.filter(({ result }) => isNotRun(result)).length;
    this.log(JSON.stringify({ ...counts, refused, unanswered: unanswered.length }));
    assert.deepEqual(
      unanswered.map(({ result: { status, code, run, broken } }) => ({
        status,
        code,
        run,
        broken,
      })),
      [],
    );
    assert.ok(first.length > refused);
  },
);

/** Replaces the daemons one by one, each after the one before is ready and callers are served. */
function replaceAll(world: GatewayWorld, plans: readonly { name: string }[]): Promise<void> {
  return plans.reduce<Promise<void>>(async (before, { name }) => {
    await before;
    const exit = await world.fleet.process(name).terminate();
    stateOf(world).exits.push({ name, exit });
    await world.fleet.restart(name);
    await waitUntilServed(world);
  }, Promise.resolve());
}

/** Waits until targets have started another call of the callers. */
async function waitUntilServed(world: GatewayWorld): Promise<void> {
  const count = (): number =>
    world.fleet.runs().filter((run) => run.marker.startsWith(`${world.marker}-`)).length;
  const before = count();
  await waitFor('the callers are served', () => count() > before, WAIT_TIMEOUT_MS);
}

/** Calls the first listed entry; fetches a new list when an entry announces its shutdown. */
async function follow(world: GatewayWorld, follower: Follower): Promise<void> {
  const state = stateOf(world);
  if (state.stopped) return;
  const next = { ...follower, calls: follower.calls + 1 };
  const chat = world.chatRequest(`${follower.name}-${next.calls}`, follower.tokens);
  const result = await call(world, next, chat, 1);
  state.responses.push({ result, expectedText: expectedResponseText(chat) });
  await follow(world, next);
}

/** Sends a call to the first listed entry, and to the next one if it was certainly not run. */
async function call(
  world: GatewayWorld,
  follower: Follower,
  chat: ReturnType<GatewayWorld['chatRequest']>,
  attempt: number,
): Promise<CallResult> {
  const [address = '', ...others] = follower.addresses;
  const result = await world.caller('tent-crew').chat(address, chat);
  const notRun = isNotRun(result);
  if (notRun || result.headers.connection === 'close') {
    Object.assign(follower, { addresses: await fetchOtherAddresses(world, [...others, address]) });
  }
  if (result.complete || !notRun || attempt >= MAX_ATTEMPTS) return result;
  return call(world, follower, chat, attempt + 1);
}

/** Books in turn at all listed entries; a second entry gets each booking at the same time. */
async function book(world: GatewayWorld, bookings: Bookings, n: number): Promise<void> {
  if (stateOf(world).stopped) return;
  const addresses = world.fleet.layout.entries.map(({ callers }) => callers);
  const first = n % addresses.length;
  const list = await fetchEntryList(world, [
    ...addresses.slice(first),
    ...addresses.slice(0, first),
  ]);
  const [owner, second] = [list[n % list.length], list[(n + 1) % list.length]];
  if (owner && second) {
    const made = bookings.createMore(1, owner.key_prefix);
    await Promise.all(
      made.flatMap((booking) => [
        bookings.send('tent-crew', booking, { callers: owner.address }),
        bookings.send('tent-crew', booking, { callers: second.address }, { resent: true }),
      ]),
    );
  }
  await book(world, bookings, n + 1);
}

function isNotRun({ run, broken }: CallResult): boolean {
  return run === 'not_run' || (broken ?? '').includes('ECONNREFUSED');
}

/**
 * Addresses that the first answering entry lists, without the last of `addresses`; `addresses`
 * itself if no other is listed.
 */
async function fetchOtherAddresses(
  world: GatewayWorld,
  addresses: readonly string[],
): Promise<string[]> {
  const excluded = addresses.at(-1);
  const list = (await fetchEntryList(world, addresses)).map(({ address }) => address);
  const others = list.filter((address) => address !== excluded);
  return others.length > 0 ? others : [...addresses];
}

/** The entry list of the first of these entries that answers. */
function fetchEntryList(world: GatewayWorld, addresses: readonly string[]): Promise<ListedEntry[]> {
  const caller = world.caller('tent-crew');
  return addresses.reduce<Promise<ListedEntry[]>>(async (before, address) => {
    const found = await before;
    return found.length > 0 ? found : caller.entries(address).catch(() => []);
  }, Promise.resolve([]));
}

function stateOf(world: GatewayWorld): State {
  const state = states.get(world);
  if (!state) throw new Error('the scenario has no callers');
  return state;
}
