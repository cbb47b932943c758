/** Users, load levels and faults of the policy benchmark. */
import type { RandomSource, ServiceWeights } from '@marjoramcart/core';
import { EngineTiming } from '../fakes/fake-target.js';

export interface User {
  readonly name: string;
  readonly regions: readonly string[];
  readonly mbitPerS: number;
  readonly oneWayMs: number;
  readonly weights: ServiceWeights;
}

/** The two users from section 1 of the design, with the weights of their model services. */
export const users: readonly User[] = [
  {
    name: 'telgitoo',
    regions: ['north', 'central', 'west'],
    mbitPerS: 1500,
    oneWayMs: 80,
    weights: { tail: 3, cost: 1, away: 1 },
  },
  {
    name: 'afilados',
    regions: ['biobio', 'araucania', 'los-rios'],
    mbitPerS: 100,
    oneWayMs: 80,
    weights: { tail: 1, cost: 3, away: 3 },
  },
];

export type Fault = 'half-lost' | 'cut' | 'flood';

export interface Scenario {
  readonly name: string;
  /** Share of the capacity of all regions. */
  readonly load: number;
  readonly lagMs: number;
  readonly eventLoss: number;
  readonly fault?: Fault;
}

const base = { load: 0.7, lagMs: 500, eventLoss: 0 };

export const scenarios: readonly Scenario[] = [
  { ...base, name: 'load-70' },
  { ...base, name: 'load-95', load: 0.95 },
  { ...base, name: 'load-100', load: 1 },
  { ...base, name: 'load-130', load: 1.3 },
  { ...base, name: 'half-lost', fault: 'half-lost' },
  { ...base, name: 'cut', fault: 'cut' },
  { ...base, name: 'flood', fault: 'flood' },
  { ...base, name: 'lag-2s', load: 0.95, lagMs: 2000 },
  { ...base, name: 'lag-5s', load: 0.95, lagMs: 5000 },
  { ...base, name: 'events-lost', load: 0.95, eventLoss: 0.3 },
];

/** Sizes and times of the workload. */
export const Workload = {
  EnginesPerRegion: 12,
  PlainTargetsPerRegion: 3,
  EntriesPerRegion: 2,
  /** Requests per second that one runner completes at a prefix hit rate of about 70%. */
  EngineCapacityPerS: 5.5,
  /** Share of calls that go to plain services, such as bookings and orders. */
  PlainShare: 0.1,
  RegionBoundShare: 0.17,
  /** Share of model calls that must not be retried. */
  NotRepeatableShare: 0.05,
  /** Relative amplitude of the daily load cycle; regions peak a third of a day apart. */
  PeakAmplitude: 0.3,
  DayMs: 90_000,
  WarmUpMs: 10_000,
  DrainMs: 25_000,
  FaultAtMs: 40_000,
  LinkCutMs: 20_000,
  CustomersPerRegion: 100,
  /** Exponent of the Zipf distribution of load over customers. */
  CustomerSkew: 0.8,
  PrefixTokens: 1200,
  /** Mean number of prompt tokens after the shared prefix. */
  MeanUniqueTokens: 400,
  MinOutputTokens: 40,
  MeanExtraOutputTokens: 60,
  MaxOutputTokens: 300,
  BytesPerToken: 4,
  PlainMs: 30,
  DeadlineMs: 20_000,
  /** Load of the flooding customer, as a share of one region's capacity. */
  FloodShare: 0.6,
  FirstTokenTargetMs: 1300,
  StepTargetMs: 72,
} as const;

export const FLOOD_CUSTOMER = 'flood';

/** One call of a customer. */
export interface Call {
  readonly id: string;
  readonly customer: string;
  readonly region: string;
  readonly at: number;
  readonly plain: boolean;
  readonly isRegionBound: boolean;
  readonly repeatable: boolean;
  readonly prefix?: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly bodyBytes: number;
}

const customerWeights = Array.from(
  { length: Workload.CustomersPerRegion },
  (_, index) => 1 / (index + 1) ** Workload.CustomerSkew,
);
const totalCustomerWeight = customerWeights.reduce((sum, weight) => sum + weight, 0);

/** Arrival rate of a region in calls per second at the time `now`. */
export function regionRate(scenario: Scenario, regionIndex: number, now: number): number {
  const phase = 2 * Math.PI * (now / Workload.DayMs - regionIndex / 3);
  const capacity = Workload.EnginesPerRegion * Workload.EngineCapacityPerS;
  return scenario.load * capacity * (1 + Workload.PeakAmplitude * Math.cos(phase));
}

/** Generates a random call; `customer` replaces the randomly chosen customer. */
export function drawCall(
  id: string,
  region: string,
  now: number,
  random: RandomSource,
  customer?: string,
): Call {
  const owner = customer ?? `${region}-${drawCustomer(random)}`;
  const plain = customer === undefined && random.next() < Workload.PlainShare;
  const isRegionBound = random.next() < Workload.RegionBoundShare;
  const repeatable = !plain && random.next() >= Workload.NotRepeatableShare;
  const uniqueTokens = Math.ceil(-Workload.MeanUniqueTokens * Math.log(1 - random.next()));
  const extraTokens = Math.ceil(-Workload.MeanExtraOutputTokens * Math.log(1 - random.next()));
  const promptTokens = plain ? 0 : Workload.PrefixTokens + uniqueTokens;
  return {
    id,
    customer: owner,
    region,
    at: now,
    plain,
    isRegionBound,
    repeatable,
    prefix: plain ? undefined : `prefix-${owner}`,
    promptTokens,
    outputTokens: Math.min(Workload.MaxOutputTokens, Workload.MinOutputTokens + extraTokens),
    bodyBytes: plain ? 300 : promptTokens * Workload.BytesPerToken,
  };
}

function drawCustomer(random: RandomSource): number {
  let rest = random.next() * totalCustomerWeight;
  const index = customerWeights.findIndex((weight) => {
    rest -= weight;
    return rest < 0;
  });
  return Math.max(0, index);
}

/** Prefill time of a prompt in ms, with or without its prefix in the cache. */
export function prefillMs(promptTokens: number, cached: boolean): number {
  return (promptTokens - (cached ? Workload.PrefixTokens : 0)) / EngineTiming.PrefillTokensPerMs;
}
