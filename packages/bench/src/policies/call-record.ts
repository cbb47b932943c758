/** Records the progress of simulated calls and computes the figures of a run from them. */
import { FLOOD_CUSTOMER, Workload, type Call } from './workloads.js';

export interface CallRecord {
  readonly call: Call;
  attempts: number;
  /** Whether the call was forwarded to a remote region. */
  forwarded: boolean;
  firstTokenMs?: number;
  /** Sum in ms and number of the times between tokens. */
  stepSumMs: number;
  steps: number;
  end?: 'answered' | 'refused' | 'failed';
}

/** Figures of one run; times in ms. */
export interface Figures {
  readonly firstP50: number;
  readonly firstP95: number;
  readonly firstP99: number;
  readonly stepP50: number;
  readonly stepP95: number;
  readonly stepP99: number;
  readonly withinTarget: number;
  /** Responses within the latency targets, per second. */
  readonly goodputPerS: number;
  readonly awayShare: number;
  readonly acceleratorSPerAnswer: number;
  readonly linkBytesPerAnswer: number;
  readonly hitRate: number;
  readonly attemptsPerRequest: number;
  readonly refusedShare: number;
  readonly failedShare: number;
  /** Jain's fairness index of the customers' shares of calls within target. */
  readonly jain: number;
  readonly worstCustomerP99: number;
  /** `firstP99`, `worstCustomerP99` and `attemptsPerRequest` of the calls that a fault can affect. */
  readonly faultFirstP99: number;
  readonly faultWorstP99: number;
  readonly faultAttempts: number;
}

export interface Totals {
  readonly acceleratorMs: number;
  readonly linkBytes: number;
  readonly prefixHits: number;
  readonly prefixLookups: number;
}

/** Customers with fewer calls are skipped because their p99 is not meaningful. */
const MIN_CALLS_FOR_P99 = 40;

/** Quantile of sorted values; `share` is between 0 and 1. */
export function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

function sortedNumbers(values: number[]): number[] {
  return Array.from(Float64Array.from(values).sort());
}

function isWithinTarget(record: CallRecord): boolean {
  const { end, firstTokenMs = Infinity, stepSumMs, steps } = record;
  return (
    end === 'answered' &&
    firstTokenMs <= Workload.FirstTokenTargetMs &&
    stepSumMs <= steps * Workload.StepTargetMs
  );
}

/**
 * Computes the figures over the calls after the warm-up. Calls of the flooding customer count only in
 * the cost. Plain calls count only in the forwarded, refused and failed shares and in the attempts.
 *
 * @param measuredMs length of the run after the warm-up
 * @param faultRegion region that the scenario's fault affects
 */
export function computeFigures(
  all: readonly CallRecord[],
  totals: Totals,
  measuredMs: number,
  faultRegion: string,
): Figures {
  const records = all.filter(
    ({ call }) => call.at >= Workload.WarmUpMs && call.customer !== FLOOD_CUSTOMER,
  );
  const model = records.filter(({ call }) => !call.plain);
  const sortedFirstTokenMs = (list: readonly CallRecord[]): number[] =>
    sortedNumbers(list.flatMap(({ firstTokenMs }) => firstTokenMs ?? []));
  const firstMs = sortedFirstTokenMs(model);
  const stepMs = sortedNumbers(
    model.filter(({ steps }) => steps > 0).map(({ stepSumMs, steps }) => stepSumMs / steps),
  );
  const within = model.filter(isWithinTarget).length;
  const answered = all.filter(({ end, call }) => end === 'answered' && !call.plain).length;
  const share = (test: (record: CallRecord) => boolean): number =>
    records.filter(test).length / Math.max(1, records.length);
  // Faults affect the first region; earlier calls and other regions would dilute their effect.
  const affected = records.filter(
    ({ call }) => call.at >= Workload.FaultAtMs && call.region === faultRegion,
  );
  const affectedModel = affected.filter(({ call }) => !call.plain);
  const byCustomer = [...groupByCustomer(model).values()];
  const customerShares = byCustomer.map((list) => list.filter(isWithinTarget).length / list.length);
  const worstP99 = (list: readonly CallRecord[]): number =>
    Math.max(
      0,
      ...[...groupByCustomer(list).values()]
        .filter(({ length }) => length >= MIN_CALLS_FOR_P99)
        .map((ofCustomer) => quantile(sortedFirstTokenMs(ofCustomer), 0.99)),
    );
  const attemptsOf = (list: readonly CallRecord[]): number =>
    list.reduce((sum, { attempts }) => sum + attempts, 0) /
    Math.max(1, list.filter(({ attempts }) => attempts > 0).length);
  return {
    firstP50: quantile(firstMs, 0.5),
    firstP95: quantile(firstMs, 0.95),
    firstP99: quantile(firstMs, 0.99),
    stepP50: quantile(stepMs, 0.5),
    stepP95: quantile(stepMs, 0.95),
    stepP99: quantile(stepMs, 0.99),
    withinTarget: within / Math.max(1, model.length),
    goodputPerS: (within / measuredMs) * 1000,
    awayShare: share(({ forwarded: away }) => away),
    acceleratorSPerAnswer: totals.acceleratorMs / 1000 / Math.max(1, answered),
    linkBytesPerAnswer: totals.linkBytes / Math.max(1, answered),
    hitRate: totals.prefixHits / Math.max(1, totals.prefixLookups),
    attemptsPerRequest: attemptsOf(records),
    refusedShare: share(({ end }) => end === 'refused'),
    failedShare: share(({ end }) => end !== 'refused' && end !== 'answered'),
    jain: jainIndex(customerShares),
    worstCustomerP99: worstP99(model),
    faultFirstP99: quantile(sortedFirstTokenMs(affectedModel), 0.99),
    faultWorstP99: worstP99(affectedModel),
    faultAttempts: attemptsOf(affected),
  };
}

function groupByCustomer(records: readonly CallRecord[]): Map<string, CallRecord[]> {
  const groups = new Map<string, CallRecord[]>();
  records.forEach((record) => {
    const group = groups.get(record.call.customer);
    if (group) group.push(record);
    else groups.set(record.call.customer, [record]);
  });
  return groups;
}

/**
 * Jain's fairness index: 1 when all n values are equal, 1/n when all but one are 0.
 *
 * @example jainIndex([1, 1]) // 1
 */
export function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}
