/**
 * Divides a service that is short of capacity between the customers of the region: records what the
 * callers of this gateway ask for, exchanges it with other gateways, and decides which requests pass.
 */
import {
  customerKey,
  DemandTable,
  RefusedBy,
  ShareGate,
  workUnitsOf,
  type FleetConfig,
  type RandomSource,
  type ShareDecision,
  type ShortageChange,
} from '@marjoramcart/core';
import type { Logger, Metrics, TimerService } from '@marjoramcart/runtime';
import type { Call } from '../exchange/call.js';
import type { DemandRow } from './packed-demand.js';
import { SharingMetrics } from './sharing-metrics.js';

export interface CapacitySharingDeps {
  readonly config: () => FleetConfig | undefined;
  /** Number of live gateways of the region, this one included. */
  readonly gateways: () => number;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly log: Logger;
}

export type SharingRefusal = Extract<ShareDecision, { kind: 'refuse' }>;

/** A request of a customer, which is counted once over all its attempts. */
export interface SharedRequest {
  /** Set when the request is refused so that other customers get their shares. */
  readonly refusal: SharingRefusal | undefined;
  /** Handles an attempt at a destination. */
  onAttempt(): void;
  /** Handles its refusal because it could not be served in time. */
  onOverload(): void;
}

type SharedCall = Pick<Call, 'customer' | 'forwardedBy' | 'service' | 'facts'> & {
  readonly head: Pick<Call['head'], 'prompt' | 'resumeAfter'>;
};

/** Time between choices of the customers that have labels of their own in the metrics. */
const LABELS_INTERVAL_MS = 60_000;

export class CapacitySharing {
  private readonly table = new DemandTable();

  private readonly gate: ShareGate;

  private readonly metrics: SharingMetrics;

  private labelsAt: number;

  /** Number of rows told so far; with several short services, messages tell of them in turn. */
  private told = 0;

  constructor(private readonly deps: CapacitySharingDeps) {
    const { table } = this;
    this.gate = new ShareGate({
      table,
      random: deps.random,
      // All customers count alike until the configuration has weights.
      weightOf: () => 1,
      onChange: (change) => this.logChange(change),
    });
    this.metrics = new SharingMetrics(deps.metrics, () => this.shortages());
    this.labelsAt = deps.timers.now();
  }

  /**
   * Decides on a request before its first attempt and counts it. Undefined for requests that are
   * not divided: without a customer, forwarded by a gateway, which has decided on it, or going on
   * with a stream, whose first part the customer has already been given.
   */
  start(call: SharedCall): SharedRequest | undefined {
    const { customer, service, head, facts } = call;
    const isNew = call.forwardedBy === undefined && head.resumeAfter === undefined;
    if (!customer || !isNew || !this.isActive) return undefined;
    const key = customerKey(customer.name);
    const units = workUnitsOf(head.prompt);
    const now = this.deps.timers.now();
    // Decided first: the demand must not contain the size of the request itself.
    const decision = this.gate.decide(service, key, facts.deadlineAt, now);
    this.table.onAsked(service, key, units, now);
    this.metrics.count(customer.name, 'asked', units);
    if (decision.kind === 'refuse') {
      this.table.onRefused(service, key, units, RefusedBy.Sharing, false, now);
      this.metrics.count(customer.name, 'refused', units);
    }
    let admitted = false;
    return {
      refusal: decision.kind === 'refuse' ? decision : undefined,
      onAttempt: () => {
        if (admitted) return;
        admitted = true;
        this.table.onAdmitted(service, key, units, this.deps.timers.now());
        this.metrics.count(customer.name, 'admitted', units);
      },
      onOverload: () => {
        const at = this.deps.timers.now();
        this.table.onRefused(service, key, units, RefusedBy.Overload, admitted, at);
      },
    };
  }

  /** Demand for one service, told to a gateway of the region; empty while there is enough. */
  rows(): readonly DemandRow[] {
    if (!this.isActive) return [];
    const now = this.deps.timers.now();
    const services = this.table.services.filter(
      (service) => this.table.hasRefused(service, now) || this.gate.isShort(service),
    );
    const service = services[this.told % Math.max(1, services.length)];
    const demand = service === undefined ? undefined : this.table.ownDemand(service, now);
    this.told += 1;
    return service === undefined || !demand ? [] : [{ service, demand }];
  }

  /** Notes what another gateway of the region told. */
  onRows(node: string, rows: readonly DemandRow[]): void {
    if (!this.isActive) return;
    const services = this.deps.config()?.services;
    const now = this.deps.timers.now();
    rows
      .filter(({ service }) => services?.has(service) === true)
      .forEach(({ service, demand }) => this.table.onTold(node, service, demand, now));
  }

  /** Drops what no longer counts and looks for services that became short; called several times a second. */
  check(): void {
    const now = this.deps.timers.now();
    this.table.setGateways(this.deps.gateways());
    this.table.expire(now);
    this.gate.check(now);
    if (now - this.labelsAt < LABELS_INTERVAL_MS) return;
    this.labelsAt = now;
    this.metrics.refresh();
  }

  /** Whether the configuration in force has customers. */
  private get isActive(): boolean {
    return (this.deps.config()?.customers?.size ?? 0) > 0;
  }

  private shortages(): Map<string, number> {
    return new Map(
      this.table.services.map((service) => [service, this.gate.shortageOf(service)] as const),
    );
  }

  private logChange({ service, short, shortage, totals, lastedMs }: ShortageChange): void {
    const message = short
      ? 'service is short, its capacity is divided'
      : 'service has enough again';
    this.deps.log.info(message, {
      service,
      shortage: Number(shortage.toFixed(3)),
      asked_per_s: Math.round(totals.asked),
      admitted_per_s: Math.round(totals.admitted),
      overloaded_per_s: Math.round(totals.overloaded),
      gateways: this.deps.gateways(),
      told_by: this.table.tellingGateways(service, this.deps.timers.now()),
      lasted_ms: short ? undefined : Math.round(lastedMs),
    });
  }
}
