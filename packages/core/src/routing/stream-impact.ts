/**
 * Cost of a request to the streams at its target, and of those to the request. A target prefills one
 * prompt at a time, and its running streams get no events meanwhile: a prefill that is longer than
 * their gap target makes all of them late.
 */

/** Gap targets that a request and the streams beside it have to keep. */
export interface GapTargets {
  /** Gap target of the request itself, ms; absent if its route has none. */
  readonly ownMs?: number;
  /** Shortest gap target of the routes of its service, ms; absent if none has one. */
  readonly othersMs?: number;
}

/** What a request would meet at a target. */
export interface StreamLoad {
  /** Streams that run there. */
  readonly streams: number;
  /** Prefill time of the request at the speed of the target, ms. */
  readonly prefillMs: number;
  /** Prefill time of the prompts that are served after the request, ms. */
  readonly laterPrefillMs: number;
  /** Gap between two events there without a prefill, ms. */
  readonly eventGapMs: number;
}

/** A prefill up to this share of the gap target delays no stream noticeably. */
const HARMLESS_SHARE = 0.3;
/** Cost of a stream that becomes late by a gap, ms; a higher one makes more first events late than it saves streams. */
const LATE_STREAM_COST_MS = 60;
/** Streams that are late several times count once, so that longer prefills cost little more. */
const MAX_LATENESS = 1.5;
/** Cost of streams as slow as the gap target, in latency targets of the request. */
const PACE_RISK_WEIGHT = 2;
/** Cost of gaps of the request itself, relative to the time by which they are too long. */
const OWN_GAP_WEIGHT = 2;

/**
 * Cost of the delays between a request and the streams at a target, ms; 0 where no route of the
 * service has a gap target.
 *
 * @example
 * streamImpactCostMs({ streams: 20, prefillMs: 800, laterPrefillMs: 0, eventGapMs: 30 }, { othersMs: 400 })
 */
export function streamImpactCostMs(
  { streams, prefillMs, laterPrefillMs, eventGapMs }: StreamLoad,
  { ownMs, othersMs }: GapTargets,
): number {
  const others =
    othersMs === undefined ? 0 : streams * lateness(prefillMs, othersMs) * LATE_STREAM_COST_MS;
  if (ownMs === undefined) return others;
  const excessMs = Math.max(0, eventGapMs + laterPrefillMs - ownMs);
  return others + Math.min(ownMs, excessMs) * OWN_GAP_WEIGHT;
}

/**
 * Cost of the risk that a stream becomes late by a gap at a target whose streams have this time between
 * events, ms. Their mean grows with each prompt that is prefilled beside them and with the slowness of
 * the target, and single gaps are several times longer.
 *
 * @param paceMs mean time between two events of the target's streams; undefined if not known
 * @example paceRiskCostMs(80, { ownMs: 400 }, 800) // 320
 */
export function paceRiskCostMs(
  paceMs: number | undefined,
  { ownMs }: GapTargets,
  latencyTargetMs: number,
): number {
  if (paceMs === undefined || ownMs === undefined) return 0;
  return Math.min(1, paceMs / ownMs) * latencyTargetMs * PACE_RISK_WEIGHT;
}

/** 0 for a prefill that delays nobody, 1 for one that is as long as the gap target. */
function lateness(prefillMs: number, gapTargetMs: number): number {
  const harmlessMs = gapTargetMs * HARMLESS_SHARE;
  return Math.min(
    MAX_LATENESS,
    Math.max(0, prefillMs - harmlessMs) / Math.max(1, gapTargetMs - harmlessMs),
  );
}
