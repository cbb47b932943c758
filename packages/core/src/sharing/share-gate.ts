/**
 * Decides whether a request of a customer may use a service that has less room than demand, so that
 * each customer gets its share of the work that the service admits.
 */
import type { RandomSource } from '../random-source.js';
import { DECAY_MS } from './decayed-sum.js';
import type {
  CustomerKey,
  DemandRates,
  DemandTable,
  DemandTotals,
  ServiceDemand,
} from './demand-table.js';
import { fairAmount, fairLevel, type WeightedDemand } from './fair-levels.js';

export type ShareDecision =
  | { readonly kind: 'pass' }
  | {
      readonly kind: 'refuse';
      readonly retryAfterMs: number;
      /** Share of the customer's requests that pass. */
      readonly passedShare: number;
      /** Demand of the customer in the region, and what it is given, units per second. */
      readonly asked: number;
      readonly given: number;
    };

/** A service that has become short, or is no longer. */
export interface ShortageChange {
  readonly service: string;
  readonly short: boolean;
  /** Share of the work that was refused lately. */
  readonly shortage: number;
  /** Estimated rates in the region, units per second. */
  readonly totals: DemandTotals;
  /** How long it was short, ms; 0 when it becomes short. */
  readonly lastedMs: number;
}

export interface ShareGateDeps {
  readonly table: DemandTable;
  readonly random: RandomSource;
  /** Weight of a customer among those that share a service. */
  readonly weightOf: (key: CustomerKey) => number;
  readonly onChange: (change: ShortageChange) => void;
}

/** A service is short from the first share of refused work on, until it is below the second. */
const SHORT_SHARE = 0.05;
const ENOUGH_SHARE = 0.02;
/**
 * No customer may be served less than a quarter as often as all together; the rest is a margin for
 * the random choice of requests.
 */
const MIN_SERVED_RATIO = 0.3;
/**
 * Part of the refused work that counts as demand, since most refused requests come back and are asked
 * for again. If all of it counted, customers below their levels would rise above them as soon as some
 * of their requests are refused, and stay there.
 */
const REFUSED_WEIGHT = 0.5;
/** More is let through than was admitted lately, since the service may have more room than before. */
const MAX_HEADROOM = 1;
/**
 * From this refused share of what was let through on, the service has no more room than known, and
 * less is let through: what is refused after the division is refused to all customers alike.
 */
const FULL_OVERLOAD_SHARE = 0.04;
/** Least headroom, as a share of what was admitted lately. */
const MIN_HEADROOM = 0.1;
/** Levels are computed anew after this time. */
const REFRESH_MS = 100;
const MIN_RETRY_AFTER_MS = 100;
/** Longest retry delay as a share of the time left, as for other refusals. */
const MAX_RETRY_AFTER_SHARE = 0.2;

interface Levels {
  /** Work per unit of weight, units per second. */
  readonly level: number;
  /** Least share of the requests of a customer that pass. */
  readonly floor: number;
}

interface ServiceShares {
  /** When the service became short, monotonic ms; undefined while it is not. */
  shortSince: number | undefined;
  shortage: number;
  levels: Levels;
  refreshedAt: number;
}

const ALL_PASS: Levels = { level: Infinity, floor: 1 };
const PASS: ShareDecision = { kind: 'pass' };

export class ShareGate {
  private readonly services = new Map<string, ServiceShares>();

  constructor(private readonly deps: ShareGateDeps) {}

  /**
   * Decides on one request. Its own size must not be in the table yet: a customer's large requests
   * would otherwise raise the demand against which they are measured and be refused more often.
   *
   * @example gate.decide('chat', customerKey('acme'), now + 2000, now) // { kind: 'pass' }
   */
  decide(service: string, key: CustomerKey, deadlineAt: number, now: number): ShareDecision {
    const { table, weightOf, random } = this.deps;
    const { shortSince, levels } = this.refresh(service, now);
    if (shortSince === undefined) return PASS;
    const rates = table.demandOf(service, key, now);
    const demand = weightedDemand(rates, levels.floor, weightOf(key));
    const given = fairAmount(demand, levels.level);
    if (given >= demand.demand || random.next() * rates.asked < given) return PASS;
    return {
      kind: 'refuse',
      retryAfterMs: retryAfterMs(given / rates.asked, deadlineAt - now),
      passedShare: given / rates.asked,
      asked: rates.asked,
      given,
    };
  }

  /** Whether capacity of the service is being divided. */
  isShort(service: string): boolean {
    return this.services.get(service)?.shortSince !== undefined;
  }

  /** Share of the work that was refused lately. */
  shortageOf(service: string): number {
    return this.services.get(service)?.shortage ?? 0;
  }

  /** Looks for services that have become short or no longer are, also without a request. */
  check(now: number): void {
    const { table } = this.deps;
    new Set([...table.services, ...this.services.keys()]).forEach((service) =>
      this.refresh(service, now),
    );
    const known = new Set(table.services);
    this.services.forEach(({ shortSince }, service) => {
      if (shortSince === undefined && !known.has(service)) this.services.delete(service);
    });
  }

  private refresh(service: string, now: number): ServiceShares {
    const shares = this.services.get(service) ?? {
      shortSince: undefined,
      shortage: 0,
      levels: ALL_PASS,
      refreshedAt: -Infinity,
    };
    this.services.set(service, shares);
    if (now - shares.refreshedAt < REFRESH_MS) return shares;
    shares.refreshedAt = now;
    const totals = this.deps.table.totals(service, now);
    shares.shortage = totals.asked > 0 ? Math.min(1, totals.refused / totals.asked) : 0;
    this.updateState(service, shares, totals, now);
    shares.levels =
      shares.shortSince === undefined ? ALL_PASS : this.levelsOf(service, totals, now);
    return shares;
  }

  private updateState(
    service: string,
    shares: ServiceShares,
    totals: DemandTotals,
    now: number,
  ): void {
    const { shortage, shortSince } = shares;
    const wasShort = shortSince !== undefined;
    const short = shortage > (wasShort ? ENOUGH_SHARE : SHORT_SHARE);
    if (short === wasShort) return;
    Object.assign(shares, { shortSince: short ? now : undefined });
    const lastedMs = shortSince === undefined ? 0 : now - shortSince;
    this.deps.onChange({ service, short, shortage, totals, lastedMs });
  }

  private levelsOf(service: string, totals: DemandTotals, now: number): Levels {
    const { weightOf, table } = this.deps;
    const { customers, rest }: ServiceDemand = table.regionDemand(service, now);
    // A customer alone would only take from itself.
    if (customers.length + rest.customers < 2) return ALL_PASS;
    const capacity = capacityOf(totals);
    const floor = Math.min(MIN_SERVED_RATIO, (MIN_SERVED_RATIO * capacity) / totals.asked);
    const demands = [
      ...customers.map((customer) => weightedDemand(customer, floor, weightOf(customer.key))),
      weightedDemand(rest, floor, Math.max(1, rest.customers)),
    ];
    return { level: fairLevel(demands, capacity), floor };
  }
}

function weightedDemand(
  { asked, admitted }: DemandRates,
  floor: number,
  weight: number,
): WeightedDemand {
  const served = Math.min(asked, admitted);
  return { demand: served + REFUSED_WEIGHT * (asked - served), least: floor * asked, weight };
}

/**
 * What the service is expected to admit. Without headroom the amount admitted lately would limit
 * itself, and the service would stay short when it has more room again. Some headroom is left also while
 * admission refuses requests, since it refuses early and would otherwise be starved of work.
 */
function capacityOf({ admitted, overloaded }: DemandTotals): number {
  const overloadShare = overloaded > 0 ? overloaded / (admitted + overloaded) : 0;
  const headroom = MAX_HEADROOM * (1 - overloadShare / FULL_OVERLOAD_SHARE);
  return admitted * (1 + Math.max(MIN_HEADROOM, headroom));
}

/** Time in which the demand decays to what is given, if the customer sends nothing more. */
function retryAfterMs(passedShare: number, remainingMs: number): number {
  const decayedMs = DECAY_MS * Math.log(1 / passedShare);
  return Math.max(MIN_RETRY_AFTER_MS, Math.min(decayedMs, remainingMs * MAX_RETRY_AFTER_SHARE));
}
