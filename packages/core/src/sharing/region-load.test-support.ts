/** A region of gateways that share one service, with callers that come back once after a refusal. */
import { seededRandom, sampleItems, type RandomSource } from '../random-source.js';
import { customerKey, DemandTable, RefusedBy } from './demand-table.js';
import { ShareGate } from './share-gate.js';

const STEP_MS = 10;
const TELL_INTERVAL_MS = 250;
const MS_PER_S = 1000;
/** Requests are refused while the work ahead of them takes longer. */
const MAX_WAIT_MS = 300;
const TIME_LEFT_MS = 5000;
const RETRY_SPREAD = 0.6;
const OVERLOAD_RETRY_MS = 500;

export interface CustomerLoad {
  readonly name: string;
  /** Units of work per second that it asks for at a time; none if 0. */
  readonly unitsPerS: (now: number) => number;
  /** Sizes of its requests, which are equally frequent. */
  readonly sizes: readonly number[];
  /** Gateways that its callers use; all by default. */
  readonly gateways?: readonly number[];
}

export interface RegionLoad {
  readonly gateways: number;
  readonly capacity: (now: number) => number;
  readonly customers: readonly CustomerLoad[];
  /** Whether capacity is divided between the customers. */
  readonly sharing: boolean;
  /** Gateways that exchange no messages with others. */
  readonly cutOff?: readonly number[];
  readonly loss?: number;
  readonly seed: number;
}

/** A request of a caller, over all its attempts. */
export interface Outcome {
  readonly customer: string;
  readonly gateway: number;
  readonly units: number;
  readonly at: number;
  served: boolean;
}

interface Attempt {
  readonly outcome: Outcome;
  readonly at: number;
  readonly isRetry: boolean;
}

interface SimulatedGateway {
  readonly table: DemandTable;
  readonly gate: ShareGate;
}

export class RegionSimulation {
  readonly outcomes: Outcome[] = [];

  /** How often a service became short or ceased to be, over all gateways. */
  changes = 0;

  private readonly random: RandomSource;

  private readonly members: readonly SimulatedGateway[];

  private attempts: Attempt[] = [];

  private now = 0;

  private backlog = 0;

  constructor(private readonly load: RegionLoad) {
    this.random = seededRandom(load.seed);
    this.members = Array.from({ length: load.gateways }, (_, index) => this.createMember(index));
  }

  run(untilMs: number): void {
    while (this.now < untilMs) {
      this.now += STEP_MS;
      const capacity = this.load.capacity(this.now);
      this.backlog = Math.max(0, this.backlog - (capacity * STEP_MS) / MS_PER_S);
      this.arrive();
      const due = this.attempts.filter(({ at }) => at <= this.now);
      this.attempts = this.attempts.filter(({ at }) => at > this.now);
      due.forEach((attempt) => this.handle(attempt, capacity));
      if (this.now % TELL_INTERVAL_MS === 0) this.tell();
    }
  }

  /** Share of the requests that arrived from a time on and were served, of some customers. */
  servedShare(of: (outcome: Outcome) => boolean, fromMs: number): number {
    const requests = this.outcomes.filter((outcome) => outcome.at >= fromMs && of(outcome));
    return requests.filter(({ served }) => served).length / requests.length;
  }

  /** Work per second that was served of a customer's requests from a time on. */
  servedUnitsPerS(of: (outcome: Outcome) => boolean, fromMs: number): number {
    const units = this.outcomes
      .filter((outcome) => outcome.served && outcome.at >= fromMs && of(outcome))
      .reduce((sum, outcome) => sum + outcome.units, 0);
    return (units * MS_PER_S) / (this.now - fromMs);
  }

  private createMember(index: number): SimulatedGateway {
    const table = new DemandTable();
    table.setGateways(this.isCutOff(index) ? 1 : this.load.gateways);
    const gate = new ShareGate({
      table,
      random: this.random,
      weightOf: () => 1,
      onChange: () => {
        this.changes += 1;
      },
    });
    return { table, gate };
  }

  private arrive(): void {
    this.load.customers.forEach(({ name, unitsPerS, sizes, gateways }) => {
      const meanSize = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
      const expected = ((unitsPerS(this.now) / meanSize) * STEP_MS) / MS_PER_S;
      const count = poisson(expected, this.random);
      Array.from({ length: count }).forEach(() => {
        const gateway = gateways
          ? pick(gateways, this.random)
          : Math.floor(this.random.next() * this.load.gateways);
        const units = pick(sizes, this.random);
        const outcome = { customer: name, gateway, units, at: this.now, served: false };
        this.outcomes.push(outcome);
        this.attempts.push({ outcome, at: this.now, isRetry: false });
      });
    });
  }

  private handle({ outcome, isRetry }: Attempt, capacity: number): void {
    const { now } = this;
    const { units } = outcome;
    const { table, gate } = this.members[outcome.gateway] as SimulatedGateway;
    const key = customerKey(outcome.customer);
    const decision = this.load.sharing
      ? gate.decide('chat', key, outcome.at + TIME_LEFT_MS, now)
      : ({ kind: 'pass' } as const);
    table.onAsked('chat', key, units, now);
    if (decision.kind === 'refuse') {
      table.onRefused('chat', key, units, RefusedBy.Sharing, false, now);
      this.comeBack(outcome, decision.retryAfterMs, isRetry);
    } else if ((this.backlog / capacity) * MS_PER_S <= MAX_WAIT_MS) {
      this.backlog += units;
      table.onAdmitted('chat', key, units, now);
      Object.assign(outcome, { served: true });
    } else {
      table.onRefused('chat', key, units, RefusedBy.Overload, false, now);
      this.comeBack(outcome, OVERLOAD_RETRY_MS, isRetry);
    }
  }

  private comeBack(outcome: Outcome, delayMs: number, isRetry: boolean): void {
    if (isRetry) return;
    const at = this.now + delayMs * (1 + this.random.next() * RETRY_SPREAD);
    this.attempts.push({ outcome, at, isRetry: true });
  }

  private tell(): void {
    this.members.forEach(({ table, gate }, index) => {
      gate.check(this.now);
      table.expire(this.now);
      const demand = table.ownDemand('chat', this.now);
      const others = this.members.map((_, other) => other).filter((other) => other !== index);
      const [to] = sampleItems(others, 1, this.random);
      if (!demand || to === undefined || this.isCutOff(index) || this.isCutOff(to)) return;
      if (!table.hasRefused('chat', this.now) && !gate.isShort('chat')) return;
      if (this.random.next() < (this.load.loss ?? 0)) return;
      this.members[to]?.table.onTold(String(index), 'chat', demand, this.now);
    });
  }

  private isCutOff(index: number): boolean {
    return this.load.cutOff?.includes(index) === true;
  }
}

function pick<Item>(items: readonly Item[], random: RandomSource): Item {
  return items[Math.floor(random.next() * items.length)] as Item;
}

/** Number of events of a Poisson process with this expected number. */
function poisson(expected: number, random: RandomSource): number {
  const limit = Math.exp(-expected);
  let count = -1;
  let product = 1;
  do {
    count += 1;
    product *= random.next();
  } while (product > limit);
  return count;
}
