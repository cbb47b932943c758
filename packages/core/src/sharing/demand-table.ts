/**
 * What customers asked of the services of a region and what was admitted, in units of work per
 * second: the requests of this gateway's callers, and what other gateways of the region told of theirs.
 */
import { hashOf } from '../rendezvous.js';
import { DecayedSum } from './decayed-sum.js';

/** Stands for the name of a customer in messages, which have no room for names. */
export type CustomerKey = number;

/** Units per second. */
export interface DemandRates {
  readonly asked: number;
  readonly admitted: number;
}

export interface CustomerDemand extends DemandRates {
  readonly key: CustomerKey;
}

/** Customers that are summed up, since they ask for less than those that are listed. */
export interface RestDemand extends DemandRates {
  readonly customers: number;
}

/** Demand for one service at one gateway, or in a region; units per second. */
export interface ServiceDemand {
  /** Refused to its customers to protect others, or because it would have been late. */
  readonly refused: number;
  /** The part that was refused because it would have been late. */
  readonly overloaded: number;
  /** By demand, the largest first. */
  readonly customers: readonly CustomerDemand[];
  readonly rest: RestDemand;
}

export interface DemandTotals extends DemandRates {
  readonly refused: number;
  readonly overloaded: number;
}

/** Customers of a service that a message lists. */
export const MAX_TOLD_CUSTOMERS = 20;
/** What a gateway told is used for this time. */
const TOLD_LIFETIME_MS = 3000;
/** Customers and services without a request for this time are not told. */
const RECENT_MS = 3000;
/** The demand of a customer has decayed to less than 1% after this time. */
const FORGET_MS = 10_000;
/** Customers of a service that are counted one by one; the requests of others are summed up. */
const MAX_CUSTOMERS = 2048;
/** Limits of what is kept; a region has some 100 gateways, and a configuration some 10 services. */
const MAX_SERVICES = 256;
const MAX_TELLING_GATEWAYS = 512;
/** Customers of a region that are told apart when its capacity is divided. */
const MAX_REGION_CUSTOMERS = 256;

export const RefusedBy = {
  /** So that other customers get their shares. */
  Sharing: 'sharing',
  /** It could not have been served in time. */
  Overload: 'overload',
} as const;
export type RefusedBy = (typeof RefusedBy)[keyof typeof RefusedBy];

interface OwnCustomer {
  readonly asked: DecayedSum;
  readonly admitted: DecayedSum;
  lastAt: number;
}

interface OwnService {
  readonly customers: Map<CustomerKey, OwnCustomer>;
  readonly overflow: OwnCustomer;
  readonly refused: DecayedSum;
  readonly overloaded: DecayedSum;
  refusedAt: number;
}

interface ToldDemand {
  readonly demand: ServiceDemand;
  readonly byKey: ReadonlyMap<CustomerKey, CustomerDemand>;
  readonly at: number;
}

/** @example customerKey('acme') // 2871032402 */
export function customerKey(name: string): CustomerKey {
  return hashOf(name);
}

export class DemandTable {
  private readonly own = new Map<string, OwnService>();

  /** By service and gateway. */
  private readonly told = new Map<string, Map<string, ToldDemand>>();

  private gateways = 1;

  /** Services for which this gateway has seen a request or a message lately. */
  get services(): string[] {
    return [...new Set([...this.own.keys(), ...this.told.keys()])];
  }

  /** Sets the number of live gateways of the region, this one included. */
  setGateways(count: number): void {
    this.gateways = Math.max(1, count);
  }

  /** @example table.onAsked('chat', customerKey('acme'), 700, now) */
  onAsked(service: string, key: CustomerKey, units: number, now: number): void {
    this.customer(service, key, now)?.asked.add(units, now);
  }

  onAdmitted(service: string, key: CustomerKey, units: number, now: number): void {
    this.customer(service, key, now)?.admitted.add(units, now);
  }

  /** @param wasAdmitted whether it had been counted as admitted, and was refused later */
  onRefused(
    service: string,
    key: CustomerKey,
    units: number,
    by: RefusedBy,
    wasAdmitted: boolean,
    now: number,
  ): void {
    const entry = this.own.get(service);
    if (!entry) return;
    entry.refused.add(units, now);
    entry.refusedAt = now;
    if (by === RefusedBy.Overload) entry.overloaded.add(units, now);
    if (wasAdmitted) this.customer(service, key, now)?.admitted.add(-units, now);
  }

  /** Replaces what another gateway of the region told of a service. */
  onTold(node: string, service: string, demand: ServiceDemand, now: number): void {
    if (!this.told.has(service) && this.told.size >= MAX_SERVICES) return;
    const rows = this.told.get(service) ?? new Map<string, ToldDemand>();
    if (!rows.has(node) && rows.size >= MAX_TELLING_GATEWAYS) return;
    const byKey = new Map(demand.customers.map((row) => [row.key, row]));
    rows.set(node, { demand, byKey, at: now });
    this.told.set(service, rows);
  }

  /** Whether a request of this gateway's callers was refused in the last seconds. */
  hasRefused(service: string, now: number): boolean {
    const entry = this.own.get(service);
    return entry !== undefined && now - entry.refusedAt < RECENT_MS;
  }

  /** The demand of this gateway's callers, as it is told to others. */
  ownDemand(service: string, now: number): ServiceDemand | undefined {
    const entry = this.own.get(service);
    if (!entry) return undefined;
    return {
      refused: entry.refused.ratePerS(now),
      overloaded: entry.overloaded.ratePerS(now),
      ...largestOf(this.ownRows(entry, now, RECENT_MS), MAX_TOLD_CUSTOMERS, {
        customers: now - entry.overflow.lastAt < RECENT_MS ? 1 : 0,
        asked: entry.overflow.asked.ratePerS(now),
        admitted: entry.overflow.admitted.ratePerS(now),
      }),
    };
  }

  /** Estimated demand of the whole region. */
  regionDemand(service: string, now: number): ServiceDemand {
    const own = this.own.get(service);
    const rows = this.recentlyTold(service, now);
    const scale = this.scaleOf(rows.length);
    const ownRows = own ? this.ownRows(own, now, FORGET_MS) : [];
    const byKey = new Map(ownRows.map((row) => [row.key, row]));
    rows
      .flatMap(({ demand }) => demand.customers)
      .forEach(({ key, asked, admitted }) => {
        const before = byKey.get(key) ?? { asked: 0, admitted: 0 };
        byKey.set(key, {
          key,
          asked: before.asked + scale * asked,
          admitted: before.admitted + scale * admitted,
        });
      });
    const rests = rows.map(({ demand }) => demand.rest);
    const sumOfRests = (of: (rest: RestDemand) => number): number => scale * sumBy(rests, of);
    const totals = this.totals(service, now);
    return {
      refused: totals.refused,
      overloaded: totals.overloaded,
      ...largestOf([...byKey.values()], MAX_REGION_CUSTOMERS, {
        // Gateways sum up mostly the same customers, which can't be told apart.
        customers: Math.max(0, ...rests.map(({ customers }) => customers)),
        asked: sumOfRests(({ asked }) => asked) + (own?.overflow.asked.ratePerS(now) ?? 0),
        admitted:
          sumOfRests(({ admitted }) => admitted) + (own?.overflow.admitted.ratePerS(now) ?? 0),
      }),
    };
  }

  /** Sums over all customers of the region. */
  totals(service: string, now: number): DemandTotals {
    const own = this.own.get(service);
    const rows = this.recentlyTold(service, now);
    const scale = this.scaleOf(rows.length);
    const ownRows = own ? [...own.customers.values(), own.overflow] : [];
    const toldSum = (of: (demand: ServiceDemand) => number): number =>
      scale * sumBy(rows, ({ demand }) => of(demand));
    return {
      asked:
        sumBy(ownRows, ({ asked }) => asked.ratePerS(now)) +
        toldSum(({ customers, rest }) => sumBy(customers, ({ asked }) => asked) + rest.asked),
      admitted:
        sumBy(ownRows, ({ admitted }) => admitted.ratePerS(now)) +
        toldSum(
          ({ customers, rest }) => sumBy(customers, ({ admitted }) => admitted) + rest.admitted,
        ),
      refused: (own?.refused.ratePerS(now) ?? 0) + toldSum(({ refused }) => refused),
      overloaded: (own?.overloaded.ratePerS(now) ?? 0) + toldSum(({ overloaded }) => overloaded),
    };
  }

  /** Estimated demand of a customer in the region. */
  demandOf(service: string, key: CustomerKey, now: number): DemandRates {
    const rows = this.recentlyTold(service, now);
    const scale = this.scaleOf(rows.length);
    const own = this.own.get(service)?.customers.get(key);
    const rate = (of: keyof DemandRates): number =>
      (own?.[of].ratePerS(now) ?? 0) +
      scale * sumBy(rows, ({ byKey }) => byKey.get(key)?.[of] ?? 0);
    return { asked: rate('asked'), admitted: rate('admitted') };
  }

  /** Number of other gateways whose demand for a service is known. */
  tellingGateways(service: string, now: number): number {
    return this.recentlyTold(service, now).length;
  }

  /** Removes what no longer counts. */
  expire(now: number): void {
    this.own.forEach((entry, service) => {
      dropForgotten(entry, now);
      if (entry.customers.size === 0 && now - entry.overflow.lastAt >= FORGET_MS) {
        this.own.delete(service);
      }
    });
    this.told.forEach((rows, service) => {
      rows.forEach(({ at }, node) => {
        if (now - at >= TOLD_LIFETIME_MS) rows.delete(node);
      });
      if (rows.size === 0) this.told.delete(service);
    });
  }

  /**
   * Factor from the sum over the gateways that told to the sum over all others: callers choose their
   * gateways at random, so those that told are a sample of them.
   */
  private scaleOf(telling: number): number {
    return telling === 0 ? 0 : Math.max(1, (this.gateways - 1) / telling);
  }

  private recentlyTold(service: string, now: number): ToldDemand[] {
    const rows = [...(this.told.get(service)?.values() ?? [])];
    return rows.filter(({ at }) => now - at < TOLD_LIFETIME_MS);
  }

  private ownRows({ customers }: OwnService, now: number, maxAgeMs: number): CustomerDemand[] {
    return [...customers]
      .filter(([, { lastAt }]) => now - lastAt < maxAgeMs)
      .map(([key, { asked, admitted }]) => ({
        key,
        asked: asked.ratePerS(now),
        admitted: admitted.ratePerS(now),
      }));
  }

  private customer(service: string, key: CustomerKey, now: number): OwnCustomer | undefined {
    const entry = this.own.get(service) ?? this.addService(service);
    if (!entry) return undefined;
    const known = entry.customers.get(key) ?? addCustomer(entry, key, now);
    known.lastAt = now;
    return known;
  }

  private addService(service: string): OwnService | undefined {
    if (this.own.size >= MAX_SERVICES) return undefined;
    const entry: OwnService = {
      customers: new Map(),
      overflow: newCustomer(-Infinity),
      refused: new DecayedSum(),
      overloaded: new DecayedSum(),
      refusedAt: -Infinity,
    };
    this.own.set(service, entry);
    return entry;
  }
}

function addCustomer(entry: OwnService, key: CustomerKey, now: number): OwnCustomer {
  if (entry.customers.size >= MAX_CUSTOMERS) return entry.overflow;
  const customer = newCustomer(now);
  entry.customers.set(key, customer);
  return customer;
}

function newCustomer(lastAt: number): OwnCustomer {
  return { asked: new DecayedSum(), admitted: new DecayedSum(), lastAt };
}

function dropForgotten({ customers }: OwnService, now: number): void {
  customers.forEach(({ lastAt }, key) => {
    if (now - lastAt >= FORGET_MS) customers.delete(key);
  });
}

/** Lists the customers with the largest demand, and adds the others to the rest. */
function largestOf(
  rows: readonly CustomerDemand[],
  max: number,
  rest: RestDemand,
): Pick<ServiceDemand, 'customers' | 'rest'> {
  const sorted = [...rows].sort((a, b) => b.asked - a.asked || a.key - b.key);
  const others = sorted.slice(max);
  return {
    customers: sorted.slice(0, max),
    rest: {
      customers: rest.customers + others.length,
      asked: rest.asked + sumBy(others, ({ asked }) => asked),
      admitted: rest.admitted + sumBy(others, ({ admitted }) => admitted),
    },
  };
}

function sumBy<Item>(items: readonly Item[], amount: (item: Item) => number): number {
  return items.reduce((sum, item) => sum + amount(item), 0);
}
