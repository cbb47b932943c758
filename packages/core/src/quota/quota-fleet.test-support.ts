/** Simulated fleet for tests of the limits of customers: gateways, lossy links and requests. */
import type { CustomerLimit } from '../fleet/fleet-config.js';
import { seededRandom, type RandomSource } from '../random-source.js';
import { FleetMembers, type MemberRecord } from './fleet-members.js';
import type { QuotaMessage } from './quota-messages.js';
import type { TakeResult } from './quota-lessee.js';
import { QuotaNode } from './quota-node.js';

const STEP_MS = 10;
const TICK_MS = 50;
const REMOTE_MS = 80;
/** How long gossip takes for news of a start, and until a silent gateway counts as lost. */
const NEWS_MS = 500;
const LOST_MS = 6000;
const WAIT_MS = 300;

export interface Request {
  readonly customer: string;
  readonly cost: number;
  readonly node: string;
}

export type Outcome = Request & { readonly at: number; readonly result: TakeResult };

interface Process extends MemberRecord {
  readonly quota: QuotaNode;
  readonly members: FleetMembers;
  readonly startedAt: number;
}

export class QuotaFleet {
  now = 100_000;

  loss = 0;

  limits = new Map<string, CustomerLimit>();

  readonly outcomes: Outcome[] = [];

  /** Datagrams that were sent, and asks among them. */
  sent = { all: 0, asks: 0 };

  readonly processes = new Map<string, Process>();

  /** Pairs of regions between which nothing passes, as `a b`. */
  readonly cuts = new Set<string>();

  private readonly random: RandomSource;

  private readonly inFlight = new Map<number, (() => void)[]>();

  /** When gossip last had news of a gateway in each region. */
  private readonly seenAt = new Map<string, number>();

  constructor(
    seed: number,
    gateways: number,
    readonly regions: readonly string[],
  ) {
    this.random = seededRandom(seed);
    Array.from({ length: gateways }, (_, index) => this.start(`vm-${index}`));
  }

  limitAll(customers: readonly string[], limit: CustomerLimit): void {
    this.limits = new Map(customers.map((customer) => [customer, limit]));
  }

  regionOf(node: string): string {
    return this.regions[Number(node.slice(3)) % this.regions.length] ?? '';
  }

  nodesOf(region: string): string[] {
    return [...this.processes.keys()].filter((node) => this.regionOf(node) === region);
  }

  start(node: string): void {
    const region = this.regionOf(node);
    const members = new FleetMembers({ node, region }, this.regions);
    const quota = new QuotaNode({
      node,
      region,
      members,
      startedAt: this.now,
      firstNumber: this.now * 1000,
      random: this.random,
      limitOf: (customer) => this.limits.get(customer),
      isActive: () => this.limits.size > 0,
      heartbeatAt: (other) => this.seenAt.get(`${region} ${other}`) ?? -Infinity,
      send: (to, message) => this.send(region, to, message),
    });
    this.processes.set(node, { node, region, members, quota, startedAt: this.now });
  }

  kill(node: string): void {
    this.processes.delete(node);
  }

  cut(a: string, b: string): void {
    this.cuts.add(`${a} ${b}`).add(`${b} ${a}`);
  }

  isolate(region: string): void {
    this.regions.filter((other) => other !== region).forEach((other) => this.cut(region, other));
  }

  request(request: Request): void {
    const process = this.processes.get(request.node);
    const record = (result: TakeResult): void => {
      if (this.processes.get(request.node) !== process) return;
      this.outcomes.push({ ...request, at: this.now, result });
    };
    const result = process?.quota.take({ ...request, maxWaitMs: WAIT_MS }, this.now, record);
    if (result) record(result);
  }

  /** Runs for a time; `load` makes the requests of each step. */
  run(durationMs: number, load: () => readonly Request[] = () => []): void {
    const endAt = this.now + durationMs;
    while (this.now < endAt) {
      this.now += STEP_MS;
      this.inFlight.get(this.now)?.forEach((deliver) => deliver());
      this.inFlight.delete(this.now);
      if (this.now % 200 === 0) this.gossip();
      load().forEach((request) => this.request(request));
      const due = [...this.processes.values()].filter(
        (_, index) => (this.now / STEP_MS + index) % (TICK_MS / STEP_MS) === 0,
      );
      due.forEach(({ quota }) => quota.tick(this.now));
    }
  }

  private send(from: string, to: string, message: QuotaMessage): void {
    this.sent.all += 1;
    if (message.kind === 'ask') this.sent.asks += 1;
    const region = this.regionOf(to);
    if (this.cuts.has(`${from} ${region}`) || this.random.next() < this.loss) return;
    const at = this.now + (region === from ? STEP_MS : REMOTE_MS);
    const deliver = (): void => this.processes.get(to)?.quota.onMessage(message, this.now);
    this.inFlight.set(at, [...(this.inFlight.get(at) ?? []), deliver]);
  }

  /** News of a gateway also pass through a third region. */
  private gossip(): void {
    const isCut = (a: string, b: string): boolean => this.cuts.has(`${a} ${b}`);
    this.regions.forEach((region) => {
      const reached = this.regions.filter((other) => !isCut(region, other));
      const known = this.regions.filter(
        (other) => reached.includes(other) || reached.some((via) => !isCut(via, other)),
      );
      [...this.processes.values()]
        .filter((other) => known.includes(other.region) && this.now - other.startedAt >= NEWS_MS)
        .forEach(({ node }) => this.seenAt.set(`${region} ${node}`, this.now));
    });
    const lists = new Map(
      this.regions.map((region) => [
        region,
        [...this.seenAt]
          .filter(([key, at]) => key.startsWith(`${region} `) && this.now - at < LOST_MS)
          .map(([key]) => key.slice(region.length + 1))
          .map((node) => ({ node, region: this.regionOf(node) })),
      ]),
    );
    this.processes.forEach(({ node, region, members }) =>
      members.update(
        (lists.get(region) ?? []).filter((other) => other.node !== node),
        this.now,
      ),
    );
  }
}
