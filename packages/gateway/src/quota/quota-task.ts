/** Task that keeps customers within their limits together with the other gateways. */
import {
  FleetMembers,
  QuotaNode,
  isLimited,
  type CustomerLimit,
  type FleetConfig,
  type GatewayTable,
  type QuotaMessage,
  type RandomSource,
  type TakeResult,
} from '@marjoramcart/core';
import type { Logger, Metrics, Task, TimerService, Unsubscribe } from '@marjoramcart/runtime';
import type { GatewaySettings } from '../settings.js';
import { CustomerUse, QuotaResult } from './customer-use.js';
import { QuotaLog } from './quota-log.js';

const TICK_MS = 50;
/**
 * Part of the slack of limits that bursts may use. Requests of a small customer are as large as its
 * limit in a second, so that a few at once would be refused; the rest is for gateways without an owner.
 */
const BURST_SLACK_SHARE = 0.5;
const MEMBERS_INTERVAL_MS = 200;
/** Longest time that a request waits for credit, also as a part of its latency target. */
const MAX_WAIT_MS = 600;
const WAIT_SHARE = 0.5;
/** An answer from a distant region takes two transits of 80 ms, an interval of asks and, if lost, a resend. */
const MIN_WAIT_MS = 500;
/** Addresses of senders that gossip does not know yet. */
const MAX_ADDRESSES = 256;

export interface QuotaRequest {
  /** Name of the customer. */
  readonly customer: string;
  /** See `costOf`. */
  readonly cost: number;
  readonly latencyTargetMs: number;
  /** Time until its deadline, ms. */
  readonly remainingMs: number;
}

export type QuotaDecision =
  /** The request may run; `refund` puts its cost back if it did not. */
  | { readonly kind: 'granted'; refund(): void }
  /** The request is not run; credit will be available after this time. */
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Use of a limit at this gateway since its start, for a status page. */
export interface QuotaStatusRow {
  readonly customer: string;
  readonly used: number;
  readonly ownerless: number;
  readonly refused: number;
  /** Limit of all gateways together; 0 if there is none. */
  readonly limitPerS: number;
}

export interface QuotaTaskDeps {
  readonly settings: Pick<GatewaySettings, 'node' | 'region' | 'regionOfDomain' | 'customers'>;
  readonly table: Pick<GatewayTable, 'alive' | 'ageMs' | 'get'>;
  /** The configuration in force. */
  readonly config: () => FleetConfig | undefined;
  readonly send: (message: QuotaMessage, ip: string) => void;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly log: Logger;
}

export class QuotaTask implements Task {
  readonly name = 'quota';

  private readonly members: FleetMembers;

  private readonly node: QuotaNode;

  private readonly use: CustomerUse;

  private readonly quotaLog: QuotaLog;

  private readonly addresses = new Map<string, string>();

  private active: { readonly config: FleetConfig | undefined; readonly isActive: boolean } = {
    config: undefined,
    isActive: false,
  };

  private membersAt = -Infinity;

  private unsubscribe: Unsubscribe = () => undefined;

  constructor(private readonly deps: QuotaTaskDeps) {
    const { settings, table, timers, random, metrics, log } = deps;
    const { node, region, regionOfDomain } = settings;
    const regions = [...new Set([region, ...regionOfDomain.values()])].sort();
    this.members = new FleetMembers({ node, region }, regions);
    this.quotaLog = new QuotaLog(log, timers);
    this.node = new QuotaNode({
      node,
      region,
      members: this.members,
      startedAt: timers.now(),
      // An earlier process asked for less than one row per ms.
      firstNumber: Math.round(timers.wall()),
      random,
      limitOf: (customer) => this.limitOf(customer),
      isActive: () => this.isActive(),
      heartbeatAt: (other, now) => now - table.ageMs(other, now),
      send: (to, message) => this.send(to, message),
      onRole: (customer, role) => this.quotaLog.onRole(customer, role),
    });
    this.use = new CustomerUse(metrics, () => this.node.standIns);
  }

  start(): Promise<void> {
    this.unsubscribe = this.deps.timers.every(TICK_MS, () => this.tick());
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.unsubscribe();
    return Promise.resolve();
  }

  /**
   * Charges a request of a caller. The promise is resolved at once if the amount that this gateway
   * holds covers it.
   *
   * @example const { kind } = await quota.take({ customer, cost: 800, latencyTargetMs: 500, remainingMs: 9000 })
   */
  take({ customer, cost, latencyTargetMs, remainingMs }: QuotaRequest): Promise<QuotaDecision> {
    const now = this.deps.timers.now();
    const usualMs = Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, latencyTargetMs * WAIT_SHARE));
    const maxWaitMs = Math.max(0, Math.min(usualMs, remainingMs));
    this.updateMembers(now);
    return new Promise((resolve) => {
      const settle = (result: TakeResult): void => resolve(this.decisionOf(customer, cost, result));
      const result = this.node.take({ customer, cost, maxWaitMs }, now, settle);
      if (result) settle(result);
    });
  }

  /** Handles a message of another gateway. */
  onMessage(message: QuotaMessage, ip: string): void {
    const now = this.deps.timers.now();
    if (!this.isActive()) return;
    if (!this.deps.table.get(message.from)) {
      if (this.addresses.size >= MAX_ADDRESSES) this.addresses.clear();
      this.addresses.set(message.from, ip);
    }
    this.updateMembers(now);
    this.node.onMessage(message, now);
  }

  /** The customers that used the most here, and the rest as `other`. */
  status(): readonly QuotaStatusRow[] {
    return this.use.largest().map(({ customer, granted, ownerless, refused }) => ({
      customer,
      used: granted + ownerless,
      ownerless,
      refused,
      limitPerS: this.limitOf(customer)?.perS ?? 0,
    }));
  }

  private tick(): void {
    const now = this.deps.timers.now();
    this.quotaLog.flush();
    if (this.isActive()) this.updateMembers(now);
    this.node.tick(now);
  }

  private decisionOf(customer: string, cost: number, result: TakeResult): QuotaDecision {
    const perS = this.limitOf(customer)?.perS ?? 0;
    if (result.kind === 'refused') {
      this.use.add(customer, QuotaResult.Refused, cost);
      this.quotaLog.onRefused(customer, result.retryAfterMs, perS);
      return { kind: 'refused', retryAfterMs: result.retryAfterMs };
    }
    if (cost > 0) {
      const kind = result.ownerless ? QuotaResult.Ownerless : QuotaResult.Granted;
      this.use.add(customer, kind, cost);
    }
    return { kind: 'granted', refund: () => result.charge.refund(this.deps.timers.now()) };
  }

  private updateMembers(now: number): void {
    if (now - this.membersAt < MEMBERS_INTERVAL_MS) return;
    this.membersAt = now;
    this.members.update(this.deps.table.alive(now), now);
  }

  private limitOf(customer: string): CustomerLimit | undefined {
    const limit = this.deps.config()?.customers?.get(customer)?.limit;
    const slack = this.deps.settings.customers.limitSlack * BURST_SLACK_SHARE;
    return limit && { ...limit, burst: limit.burst + slack };
  }

  private isActive(): boolean {
    const config = this.deps.config();
    if (config !== this.active.config) {
      const customers = [...(config?.customers?.values() ?? [])];
      this.active = { config, isActive: customers.some(({ limit }) => isLimited(limit)) };
    }
    return this.active.isActive;
  }

  private send(to: string, message: QuotaMessage): void {
    const ip = this.deps.table.get(to)?.ip ?? this.addresses.get(to);
    if (ip !== undefined) this.deps.send(message, ip);
  }
}
