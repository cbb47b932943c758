/** Rows about what targets said of themselves, in gossip and in updates about targets. */
import type { LeavingRow, LimitRow, RejectionLimitRow } from '@marjoramcart/core';

/** Id, address and start time of a target, and the time since it said that it is leaving, ms. */
export type LeavingWireRow = readonly [string, string, number, number];

/** The same with the rate that a target named, requests per second; null if it named none. */
export type LimitWireRow = readonly [string, string, number, number, number | null];

/** Service, time since a target said so, ms, and rejections per second; null if it named no limit. */
export type RejectionLimitWireRow = readonly [string, number, number | null];

/** What the gateways of a region tell each other about its targets. */
export interface SignalRows {
  /** Targets that are leaving. */
  readonly leaving: readonly LeavingRow[];
  /** Targets that named a rate limit, or that no longer do. */
  readonly limits: readonly LimitRow[];
  /** Rejection limits that targets of services named, or that they no longer do. */
  readonly rejectionLimits: readonly RejectionLimitRow[];
}

export const NO_SIGNALS: SignalRows = { leaving: [], limits: [], rejectionLimits: [] };

export function toLeavingWireRow({ id, address, bornAt, ageMs }: LeavingRow): LeavingWireRow {
  return [id, address, bornAt, Math.round(ageMs)];
}

export function fromLeavingWireRow([id, address, bornAt, ageMs]: LeavingWireRow): LeavingRow {
  return { id, address, bornAt, ageMs };
}

export function toLimitWireRow(row: LimitRow): LimitWireRow {
  const { id, address, bornAt, ageMs, requestsPerS } = row;
  return [id, address, bornAt, Math.round(ageMs), requestsPerS ?? null];
}

export function fromLimitWireRow(row: LimitWireRow): LimitRow {
  const [id, address, bornAt, ageMs, requestsPerS] = row;
  return { id, address, bornAt, ageMs, requestsPerS: requestsPerS ?? undefined };
}

export function toRejectionLimitWireRow(row: RejectionLimitRow): RejectionLimitWireRow {
  return [row.service, Math.round(row.ageMs), row.rejectionsPerS ?? null];
}

export function fromRejectionLimitWireRow(row: RejectionLimitWireRow): RejectionLimitRow {
  const [service, ageMs, rejectionsPerS] = row;
  return { service, ageMs, rejectionsPerS: rejectionsPerS ?? undefined };
}
