/** Summarises the results of a load run. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { CallResult } from './streamed-call.js';

const MAX_LATENCY_US = 600_000_000;
const US_PER_MS = 1000;

/** Percentiles in ms. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

export interface LoadReport {
  readonly offered: number;
  readonly complete: number;
  readonly rejected: number;
  readonly aborted: number;
  readonly byStatus: Readonly<Record<string, number>>;
  readonly byRegion: Readonly<Record<string, number>>;
  readonly attemptsPerCall: number;
  readonly firstTokenMs: LatencySummary;
  readonly betweenTokensMs: LatencySummary;
  readonly totalMs: LatencySummary;
  /** Share of offered calls that completed within both latency targets. */
  readonly withinTarget: number;
}

/** Latency targets in ms. */
export interface LatencyTargets {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
}

/**
 * Summarises the results of a run.
 *
 * @example summariseLoad(results, { firstTokenMs: 1300, betweenTokensMs: 72 }).withinTarget
 */
export function summarizeLoad(results: readonly CallResult[], targets: LatencyTargets): LoadReport {
  const countOf = (end: CallResult['end']): number =>
    results.filter((result) => result.end === end).length;
  const complete = results.filter(({ end }) => end === 'complete');
  const within = complete.filter(
    ({ firstTokenMs = Infinity, gapsMs }) =>
      firstTokenMs <= targets.firstTokenMs && mean(gapsMs) <= targets.betweenTokensMs,
  );
  return {
    offered: results.length,
    complete: complete.length,
    rejected: countOf('rejected'),
    aborted: countOf('aborted'),
    byStatus: countByValue(results.map(({ status }) => String(status))),
    byRegion: countByValue(complete.map(({ region }) => region)),
    attemptsPerCall: mean(complete.map(({ attempts }) => attempts)),
    firstTokenMs: summarizeLatencies(results.flatMap(({ firstTokenMs }) => firstTokenMs ?? [])),
    betweenTokensMs: summarizeLatencies(results.flatMap(({ gapsMs }) => gapsMs)),
    totalMs: summarizeLatencies(complete.map(({ totalMs }) => totalMs)),
    withinTarget: within.length / Math.max(1, results.length),
  };
}

function summarizeLatencies(valuesMs: readonly number[]): LatencySummary {
  const histogram: Histogram = build({
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  valuesMs.forEach((ms) =>
    histogram.recordValue(Math.max(1, Math.min(MAX_LATENCY_US, Math.round(ms * US_PER_MS)))),
  );
  const percentileMs = (percentile: number): number =>
    valuesMs.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / US_PER_MS;
  return {
    count: valuesMs.length,
    p50: percentileMs(50),
    p95: percentileMs(95),
    p99: percentileMs(99),
    max: percentileMs(100),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function countByValue(values: readonly string[]): Record<string, number> {
  return values.reduce<Record<string, number>>(
    (counts, value) => ({ ...counts, [value]: (counts[value] ?? 0) + 1 }),
    {},
  );
}
