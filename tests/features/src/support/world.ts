/** State of one scenario: its fleet, callers and results. */
import { randomInt } from 'node:crypto';
import { setDefaultTimeout, setWorldConstructor, World } from '@cucumber/cucumber';
import { seededRandom, type RandomSource } from '@marjoramcart/core';
import {
  Caller,
  ExampleKeys,
  type CallResult,
  type ChatRequest,
  type Fleet,
  type RunRecord,
} from '@marjoramcart/stand-ins';

const STEP_TIMEOUT_MS = 60_000;
const DEFAULT_SEED = 20_261;
const NONCE_RANGE = 1_000_000_000;

export type CustomerName = keyof typeof ExampleKeys;

/** Seed of all random choices; set MARJORAMCART_SEED to repeat a run. */
export const SEED = Number(process.env.MARJORAMCART_SEED ?? DEFAULT_SEED);

/** Makes markers unique to this process; the counter tells its scenarios apart. */
const runId = randomInt(NONCE_RANGE).toString(36);
const counter = { scenarios: 0 };

export class GatewayWorld extends World {
  /** Contained in each request of the scenario, to find its runs in the targets' logs. */
  readonly marker: string;

  readonly random: RandomSource = seededRandom(SEED);

  /** Responses in the order in which the calls were sent. */
  results: CallResult[] = [];

  /** Idempotency key of the scenario. */
  key = '';

  /** Caller-facing address of the entry that owns the key. */
  ownerAddress = '';

  /** Calls that have been sent and not awaited. */
  pending: Promise<CallResult>[] = [];

  fleetInUse: Fleet | undefined;

  /** A fleet that is stopped after the scenario; undefined when the fleet is shared. */
  ownFleet: Fleet | undefined;

  /** Whether the fleet is repaired after the scenario, because faults were injected. */
  repairAfterwards = false;

  private readonly callers = new Map<string, Caller>();

  constructor(options: ConstructorParameters<typeof World>[0]) {
    super(options);
    counter.scenarios += 1;
    this.marker = `s${counter.scenarios}-${runId}`;
  }

  get fleet(): Fleet {
    if (!this.fleetInUse) throw new Error('the scenario has started no fleet');
    return this.fleetInUse;
  }

  get result(): CallResult {
    const last = this.results.at(-1);
    if (!last) throw new Error('the scenario has sent no call');
    return last;
  }

  /** Caller of an example customer, or with `customer` as its API key if there is none. */
  caller(customer: string): Caller {
    const key = customer in ExampleKeys ? ExampleKeys[customer as CustomerName] : customer;
    const caller = this.callers.get(customer) ?? new Caller(key);
    this.callers.set(customer, caller);
    return caller;
  }

  /** Caller-facing address of the nth entry of a region, counted from 1. */
  entry(region: string, n = 1): string {
    const found = this.fleet.layout.entries.filter((entry) => entry.region === region)[n - 1];
    if (!found) throw new Error(`there is no entry ${n} in the ${region}`);
    return found.callers;
  }

  chatRequest(marker = this.marker, maxTokens = 16): ChatRequest {
    const content = `How is the king pole stayed? marker:${marker}`;
    return {
      model: 'crew-answers',
      stream: true,
      max_tokens: maxTokens,
      messages: [{ role: 'user', content }],
    };
  }

  nonce(): string {
    return `nonce-${Math.floor(this.random.next() * NONCE_RANGE)}-${this.marker}`;
  }

  /** Runs of the scenario's requests that targets have started. */
  startedRuns(marker = this.marker): RunRecord[] {
    return this.fleet.runs().filter((run) => run.event === 'started' && run.marker === marker);
  }

  closeCallers(): void {
    this.callers.forEach((caller) => caller.close());
  }
}

setDefaultTimeout(STEP_TIMEOUT_MS);
setWorldConstructor(GatewayWorld);
