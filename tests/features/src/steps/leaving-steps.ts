/** Steps about targets that leave under load. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  requestJson,
  waitFor,
  type CallResult,
  type EntryPlan,
  type RunRecord,
} from '@marjoramcart/stand-ins';
import type { GatewayWorld } from '../support/world.js';

const WAIT_TIMEOUT_MS = 30_000;
const VM_LIST_LAG_MS = 500;
/** Leaving targets may still start requests for this long after the list of VMs shows them. */
const LEAVING_BOUND_MS = 3000;
/** Tokens of 10 ms each: 8 s. */
const LONG_STREAM_TOKENS = 800;
const LOOPS_PER_ENTRY = 25;
/** Index from 0, within its region, of the entry whose control daemon is frozen or killed. */
const ORPHANED_ENTRY_INDEX = 1;
const MIN_CONTROL_USE_MS = 2000;

interface State {
  stopped: boolean;
  streams: Promise<CallResult>[];
  loops: Promise<void>[];
  /** When each call in a loop was sent, Unix ms, by marker. */
  readonly sentAt: Map<string, number>;
  /** VMs that leave. */
  leaving: string[];
  /** Earliest time at which the list of VMs shows them as leaving, Unix ms. */
  shownAt: number;
  /** Entry whose control daemon is frozen or killed. */
  orphanedEntry?: EntryPlan;
}

const states = new WeakMap<GatewayWorld, State>();

Given(
  '{int} streams of 8 s and callers who request completions and bookings in a loop at each entry in the {word}',
  async function given(this: GatewayWorld, streams: number, region: string) {
    const state: State = {
      stopped: false,
      streams: [],
      loops: [],
      sentAt: new Map(),
      leaving: [],
      shownAt: Infinity,
    };
    states.set(this, state);
    const entries = this.fleet.layout.entries.filter((entry) => entry.region === region);
    const callers = Array.from({ length: LOOPS_PER_ENTRY }, (_, n) => n);
    state.loops = entries.flatMap(({ callers: address }, e) =>
      callers.map((n) => callInLoop(this, address, `${this.marker}-loop-${e}-${n}`, 0)),
    );
    await waitFor(
      'calls in a loop have started',
      () => runs(this, 'started', '-loop-').length >= LOOPS_PER_ENTRY,
      WAIT_TIMEOUT_MS,
    );
    state.streams = Array.from({ length: streams }, (_, n) =>
      this.caller('tent-crew').chat(
        this.entry(region),
        this.chatRequest(`${this.marker}-stream-${n}`, LONG_STREAM_TOKENS),
      ),
    );
    const ended: CallResult[] = [];
    state.streams.forEach((stream) => {
      void stream.then((result) => ended.push(result));
    });
    await waitFor(
      'the streams have started',
      () => runs(this, 'started', '-stream-').length >= streams,
      WAIT_TIMEOUT_MS,
    ).catch((err: unknown) => {
      const codes = ended.map(({ status, code, broken, firstTokenMs }) => ({
        firstTokenMs,
        status,
        code,
        broken,
      }));
      throw new Error(`not all streams have started; those that ended: ${JSON.stringify(codes)}`, {
        cause: err,
      });
    });
  },
);

After(async function endLoad(this: GatewayWorld) {
  const state = states.get(this);
  if (!state) return;
  state.stopped = true;
  await Promise.all(state.loops);
});

When(
  'the list of VMs marks an engine and a booking target of the {word} as leaving',
  async function when(this: GatewayWorld, region: string) {
    const state = stateOf(this);
    const targets = this.fleet.layout.targets.filter((target) => target.region === region);
    const streams = runs(this, 'started', '-stream-');
    // The streams may all run in other regions; then any engine of the region leaves.
    const engine =
      targets.find(({ vm }) => streams.some((run) => run.vm === vm)) ??
      targets.find(({ service }) => service === undefined);
    const booking = targets.find(({ service }) => service !== undefined);
    state.leaving = [engine?.vm ?? '', booking?.vm ?? ''];
    await this.fleet.setPlatformSettings({ vm_lag_ms: VM_LIST_LAG_MS });
    state.shownAt = Date.now() + VM_LIST_LAG_MS;
    await Promise.all(state.leaving.map((vm) => this.fleet.changeVm(vm, { state: 'leaving' })));
  },
);

When(
  'the other targets of the {word} have started {int} requests more than 3 s after the list showed it',
  async function when(this: GatewayWorld, region: string, count: number) {
    const { leaving } = stateOf(this);
    const others = this.fleet.layout.targets
      .filter((target) => target.region === region && !leaving.includes(target.vm))
      .map(({ vm }) => vm);
    await waitFor(
      'the other targets run the load',
      () => startedAfterBound(this).filter(({ vm }) => others.includes(vm)).length >= count,
      WAIT_TIMEOUT_MS,
    );
  },
);

Then(
  'no leaving target has started a request more than 3 s after the list showed it',
  function then(this: GatewayWorld) {
    const { leaving, shownAt } = stateOf(this);
    const last = runs(this, 'started', '').filter(({ vm }) => leaving.includes(vm));
    const lastAt = Math.max(...last.map(({ at }) => at));
    const late = startedAfterBound(this).filter(({ vm }) => leaving.includes(vm));
    this.log(
      `${startedAfterBound(this).length} starts after the bound, ${late.length} of them on a ` +
        `leaving target; its last start ${lastAt - shownAt} ms after the list showed it`,
    );
    assert.deepEqual(
      late.map(({ vm, marker, at }) => ({ vm, marker, afterMs: at - shownAt })),
      [],
    );
  },
);

Then(
  'requests that were queued when the list showed it ran on other targets',
  function then(this: GatewayWorld) {
    const { leaving, sentAt, shownAt } = stateOf(this);
    const queued = runs(this, 'started', '-loop-').filter(
      ({ marker, at }) => at > shownAt && (sentAt.get(marker) ?? Infinity) < shownAt,
    );
    const onOthers = queued.filter(({ vm }) => !leaving.includes(vm));
    this.log(`${queued.length} were queued, ${onOthers.length} of them ran on other targets`);
    assert.ok(onOthers.length > 0, 'no request was queued');
  },
);

Then(
  'the long streams on the leaving engine completed there',
  async function then(this: GatewayWorld) {
    const { leaving, streams, shownAt } = stateOf(this);
    const results = await Promise.all(streams);
    assert.deepEqual(
      results.map(({ complete }) => complete),
      results.map(() => true),
    );
    const started = runs(this, 'started', '-stream-').filter(({ vm }) => leaving.includes(vm));
    const finished = runs(this, 'finished', '-stream-').filter(({ vm }) => leaving.includes(vm));
    assert.deepEqual(markers(finished), markers(started));
    const late = finished.filter(({ at }) => at > shownAt + LEAVING_BOUND_MS);
    this.log(`${finished.length} streams ended there, ${late.length} after the bound`);
    assert.ok(late.length > 0, 'no stream outlasted the bound');
  },
);

When(
  /^the control daemon of an entry in the (\w+) is (frozen|killed)$/,
  async function when(this: GatewayWorld, region: string, change: string) {
    const state = stateOf(this);
    const { controls, entries } = this.fleet.layout;
    state.orphanedEntry = entries.filter((entry) => entry.region === region)[ORPHANED_ENTRY_INDEX];
    const control = controls.find(({ peers }) => peers === state.orphanedEntry?.control);
    const process = this.fleet.process(control?.name ?? '');
    if (change === 'frozen') process.freeze();
    else await process.kill();
  },
);

When(
  'the control daemon answers again and the entry has used it for 2 s',
  async function when(this: GatewayWorld) {
    const { orphanedEntry } = stateOf(this);
    const control = this.fleet.layout.controls.find(
      ({ peers }) => peers === orphanedEntry?.control,
    );
    const name = control?.name ?? '';
    this.fleet.process(name).thaw();
    if (!this.fleet.process(name).running) await this.fleet.restart(name);
    const used = { since: 0 };
    await waitFor(
      'the entry uses its control daemon',
      async () => {
        const url = `http://${orphanedEntry?.admin}/status`;
        const status = await requestJson<{ control_lost: boolean }>('GET', url);
        if (status.control_lost) used.since = 0;
        else if (used.since === 0) used.since = Date.now();
        return used.since > 0 && Date.now() - used.since > MIN_CONTROL_USE_MS;
      },
      WAIT_TIMEOUT_MS,
    );
  },
);

Then('targets have started requests of that entry since then', function then(this: GatewayWorld) {
  const prefix = `${this.marker}-loop-${ORPHANED_ENTRY_INDEX}-`;
  const started = startedAfterBound(this).filter(({ marker }) => marker.startsWith(prefix));
  this.log(`${started.length} starts of the entry without a control daemon after the bound`);
  assert.ok(started.length > 0);
});

Then('the list of VMs marks the targets as live again', async function then(this: GatewayWorld) {
  const { leaving } = stateOf(this);
  await this.fleet.setPlatformSettings({ vm_lag_ms: 0 });
  await Promise.all(leaving.map((vm) => this.fleet.changeVm(vm, { state: 'live' })));
});

/** Alternates completions and bookings until the load is stopped; refused calls are not retried. */
async function callInLoop(
  world: GatewayWorld,
  address: string,
  name: string,
  done: number,
): Promise<void> {
  const state = stateOf(world);
  if (state.stopped) return;
  const marker = `${name}-${done}`;
  state.sentAt.set(marker, Date.now());
  const caller = world.caller('blade-mill');
  const path = `/svc/crane-booking/slots?marker:${marker}`;
  if (done % 2 === 0) await caller.chat(address, world.chatRequest(marker, 20));
  else await caller.call(address, { method: 'GET', path });
  await callInLoop(world, address, name, done + 1);
}

function startedAfterBound(world: GatewayWorld): RunRecord[] {
  const { shownAt } = stateOf(world);
  return runs(world, 'started', '').filter(({ at }) => at > shownAt + LEAVING_BOUND_MS);
}

/** Runs of the scenario whose marker continues with `part`. */
function runs(world: GatewayWorld, event: RunRecord['event'], part: string): RunRecord[] {
  const prefix = `${world.marker}${part}`;
  return world.fleet.runs().filter((run) => run.event === event && run.marker.startsWith(prefix));
}

function markers(records: readonly RunRecord[]): string[] {
  return records.map(({ marker }) => marker).sort();
}

function stateOf(world: GatewayWorld): State {
  const state = states.get(world);
  if (!state) throw new Error('the scenario has no load');
  return state;
}
