/** Updates about targets that a gateway sends to its region at once, without waiting for gossip. */
import type { PeerPrompt, TargetIncarnation } from '@marjoramcart/core';
import { match } from 'ts-pattern';
import type { TargetReportRow } from '../reports/report-task.js';
import type { WarmthRow } from '../warmth/warmth-check.js';
import { encodeNotification, type Notification } from './notification.js';
import {
  fromLeavingWireRow,
  fromLimitWireRow,
  fromRejectionLimitWireRow,
  toLeavingWireRow,
  toLimitWireRow,
  toRejectionLimitWireRow,
  type LeavingWireRow,
  type LimitWireRow,
  type RejectionLimitWireRow,
  type SignalRows,
} from './signal-rows.js';

const PERCENT = 100;
const TENTHS = 10;

const METHOD = 'target.news';
/** Its own method, as gateways of earlier releases take unknown content of the other for `unreachable`. */
const START_METHOD = 'target.start';
/** Its own method for the same reason. */
const REJECTED_METHOD = 'target.rejected';

const SPEEDS_METHOD = 'target.speeds';
/** Its own method for the same reason. */
const WARMTH_METHOD = 'target.warmth';

/** Speed of a target that a gateway tells others. */
export interface SpeedRow {
  readonly target: string;
  /** Start time that it belongs to, Unix ms; 0 if unknown. */
  readonly bornAt: number;
  /** Factor on times relative to the median of the service. */
  readonly factor: number;
  /** Evidence behind it, if it is what the sender saw itself; absent if it was collected. */
  readonly samples?: number;
}

export type TargetUpdate =
  /** Speeds of targets. */
  | { readonly kind: 'speeds'; readonly rows: readonly SpeedRow[] }
  /** Targets said whether they are cold. */
  | { readonly kind: 'warmth'; readonly rows: readonly WarmthRow[] }
  /** A prompt with a long prefill was sent to the target. */
  | { readonly kind: 'prompt'; readonly target: string; readonly prompt: PeerPrompt }
  /** A gateway can't reach the target. */
  | { readonly kind: 'unreachable'; readonly target: string; readonly from: string }
  /** The target told when it started. */
  | { readonly kind: 'start'; readonly target: TargetIncarnation; readonly from: string }
  /** The target, which names a rejection limit, rejected a request. */
  | { readonly kind: 'rejected'; readonly target: string; readonly from: string }
  /** Targets said something about themselves. */
  | { readonly kind: 'signals'; readonly rows: SignalRows; readonly from: string }
  /** Load reports of targets. */
  | { readonly kind: 'reports'; readonly rows: readonly TargetReportRow[] };

interface UpdateParams {
  readonly t?: string;
  /** Gateway that can't reach the target, or that sends what targets said. */
  readonly n?: string;
  /** Leaving targets. */
  readonly l?: readonly LeavingWireRow[];
  /** Rate limits of targets. */
  readonly q?: readonly LimitWireRow[];
  /** Rejection limits of services. */
  readonly j?: readonly RejectionLimitWireRow[];
  /** Reports: target, requests, KV memory in tokens, start time, relative factor on times in percent. */
  readonly r?: readonly ReportWireRow[];
  /** Id, prefill time in ms, priority, prompt segments that stay in the cache. */
  readonly p?: readonly [string, number, number, readonly (readonly [string, number])[]];
}

/**
 * The previous release ignores what follows the start time: waiting requests, the time between events
 * of streams in ms, and the learned factor on times in percent.
 */
type ReportWireRow = readonly [
  target: string,
  requests: number,
  memoryTokens?: number | null,
  bornAt?: number | null,
  waiting?: number | null,
  paceMs?: number | null,
  speedFactor?: number | null,
];

/** Target, start time, factor in percent, evidence in tenths of a sample. */
type SpeedWireRow = readonly [string, number, number, number?];

interface SpeedsParams {
  readonly s: readonly SpeedWireRow[];
}

/** Target, start time, time for which it is cold in ms. */
type WarmthWireRow = readonly [string, number, number];

interface WarmthParams {
  readonly c: readonly WarmthWireRow[];
}

interface RejectedParams {
  readonly n: string;
  readonly t: string;
}

interface StartParams {
  readonly n: string;
  readonly t: string;
  /** `ip:port`. */
  readonly a: string;
  /** Start time, Unix ms. */
  readonly b: number;
}

/** Encodes an update into a datagram. */
export function encodeTargetUpdate(update: TargetUpdate): Buffer {
  if (update.kind === 'start') {
    const { id, address, bornAt } = update.target;
    const params: StartParams = { n: update.from, t: id, a: address, b: bornAt };
    return encodeNotification(START_METHOD, params);
  }
  if (update.kind === 'rejected') {
    const params: RejectedParams = { n: update.from, t: update.target };
    return encodeNotification(REJECTED_METHOD, params);
  }
  if (update.kind === 'speeds') {
    const params: SpeedsParams = { s: update.rows.map(toSpeedRow) };
    return encodeNotification(SPEEDS_METHOD, params);
  }
  if (update.kind === 'warmth') {
    const params: WarmthParams = { c: update.rows.map(toWarmthRow) };
    return encodeNotification(WARMTH_METHOD, params);
  }
  return encodeNotification(METHOD, paramsOf(update));
}

/**
 * Decodes a notification.
 *
 * @returns undefined when it is of another kind
 * @throws TypeError when its parameters are malformed
 */
export function decodeTargetUpdate({ method, params }: Notification): TargetUpdate | undefined {
  if (method === START_METHOD) return startOf(params as StartParams);
  if (method === REJECTED_METHOD) {
    const { n, t } = params as RejectedParams;
    return { kind: 'rejected', target: t, from: n };
  }
  if (method === SPEEDS_METHOD) {
    return { kind: 'speeds', rows: (params as SpeedsParams).s.map(fromSpeedRow) };
  }
  if (method === WARMTH_METHOD) {
    const rows = (params as WarmthParams).c.map(fromWarmthRow);
    return { kind: 'warmth', rows };
  }
  if (method !== METHOD) return undefined;
  const { t: target = '', n: from = '', p, r, l, q, j = [] } = params as UpdateParams;
  if (l && q) {
    const rows = {
      leaving: l.map(fromLeavingWireRow),
      limits: q.map(fromLimitWireRow),
      rejectionLimits: j.map(fromRejectionLimitWireRow),
    };
    return { kind: 'signals', rows, from };
  }
  if (r) return { kind: 'reports', rows: r.map(fromReportRow) };
  if (!p) return { kind: 'unreachable', target, from };
  const [id, workMs, priority, rows] = p;
  const segments = rows.map(([segment, tokens]) => ({ id: segment, tokens }));
  return { kind: 'prompt', target, prompt: { id, workMs, priority, segments } };
}

function startOf({ n, t, a, b }: StartParams): TargetUpdate {
  return { kind: 'start', target: { id: t, address: a, bornAt: b }, from: n };
}

function toPromptRow({
  id,
  workMs,
  priority,
  segments,
}: PeerPrompt): NonNullable<UpdateParams['p']> {
  return [
    id,
    Math.round(workMs),
    priority,
    segments.map((segment) => [segment.id, segment.tokens]),
  ];
}

function paramsOf(
  update: Exclude<TargetUpdate, { kind: 'start' | 'rejected' | 'speeds' | 'warmth' }>,
): UpdateParams {
  return match(update)
    .with({ kind: 'prompt' }, ({ target, prompt }) => ({ t: target, p: toPromptRow(prompt) }))
    .with({ kind: 'unreachable' }, ({ target, from }) => ({ t: target, n: from }))
    .with({ kind: 'signals' }, ({ rows, from }) => ({
      n: from,
      l: rows.leaving.map(toLeavingWireRow),
      q: rows.limits.map(toLimitWireRow),
      ...(rows.rejectionLimits.length > 0
        ? { j: rows.rejectionLimits.map(toRejectionLimitWireRow) }
        : {}),
    }))
    .with({ kind: 'reports' }, ({ rows }) => ({
      r: rows.map(toReportRow),
    }))
    .exhaustive();
}

function toSpeedRow({ target, bornAt, factor, samples }: SpeedRow): SpeedWireRow {
  const row = [target, bornAt, Math.round(factor * PERCENT)] as const;
  return samples === undefined ? row : [...row, Math.round(samples * TENTHS)];
}

function fromSpeedRow([target, bornAt, factor, samples]: SpeedWireRow): SpeedRow {
  return {
    target,
    bornAt,
    factor: factor / PERCENT,
    ...(samples === undefined ? {} : { samples: samples / TENTHS }),
  };
}

function toWarmthRow({ target, bornAt, coldForMs }: WarmthRow): WarmthWireRow {
  return [target, bornAt, Math.round(coldForMs)];
}

function fromWarmthRow([target, bornAt, coldForMs]: WarmthWireRow): WarmthRow {
  return { target, bornAt, coldForMs };
}

function toReportRow({ target, report }: TargetReportRow): ReportWireRow {
  const { requests, memoryTokens, bornAt, waiting, paceMs, speedFactor } = report;
  // The previous release takes a start time of null for one at the epoch, so it must not get null.
  if (bornAt !== undefined) {
    const pace = paceMs === undefined ? null : Math.round(paceMs);
    // A factor belongs to one start of the target, so that it is left out without a start time.
    const row = [target, requests, memoryTokens ?? null, bornAt, waiting ?? null, pace] as const;
    return speedFactor === undefined ? row : [...row, Math.round(speedFactor * PERCENT)];
  }
  return memoryTokens === undefined ? [target, requests] : [target, requests, memoryTokens];
}

function fromReportRow(row: ReportWireRow): TargetReportRow {
  const [target, requests, memoryTokens, bornAt, waiting, paceMs, factor] = row;
  return {
    target,
    report: {
      requests,
      ...(typeof memoryTokens === 'number' ? { memoryTokens } : {}),
      ...(typeof bornAt === 'number' ? { bornAt } : {}),
      ...(typeof waiting === 'number' ? { waiting } : {}),
      ...(typeof paceMs === 'number' ? { paceMs } : {}),
      ...(typeof factor === 'number' ? { speedFactor: factor / PERCENT } : {}),
    },
  };
}
