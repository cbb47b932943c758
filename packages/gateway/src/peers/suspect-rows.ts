/** Rows about prompt segments and requests that may crash targets, in gossip and in messages of their own. */
import type { SuspectRow } from '@marjoramcart/core';
import { encodeNotification, type Notification } from './notification.js';

const METHOD = 'segments.suspects';
/** Limit of rows in one datagram. */
const MAX_ROWS = 32;

/** Target, request, age, time at the target (-1 if unknown) and time of writing; times in ms. */
type WireDeath = readonly [number, number, number, number?, number?];

/** Key, deaths, and the time since it was cleared, ms. */
export type SuspectWireRow = readonly [string, readonly WireDeath[], number?];

const UNKNOWN_MS = -1;

export function toSuspectWireRow({ key, deaths, clearedAgeMs }: SuspectRow): SuspectWireRow {
  const rows = deaths.map(({ target, request, ageMs, ranMs, wroteMs }): WireDeath => {
    const age = Math.round(ageMs);
    if (wroteMs !== undefined) {
      return [target, request, age, Math.round(ranMs ?? UNKNOWN_MS), Math.round(wroteMs)];
    }
    return ranMs === undefined ? [target, request, age] : [target, request, age, Math.round(ranMs)];
  });
  return clearedAgeMs === undefined
    ? [key, rows]
    : [key, rows, Math.round(Math.max(0, clearedAgeMs))];
}

export function fromSuspectWireRow([key, rows, clearedAgeMs]: SuspectWireRow): SuspectRow {
  return {
    key,
    deaths: rows.map(([target, request, ageMs, ranMs = UNKNOWN_MS, wroteMs]) => ({
      target,
      request,
      ageMs,
      ...(ranMs === UNKNOWN_MS ? {} : { ranMs }),
      ...(wroteMs === undefined ? {} : { wroteMs }),
    })),
    ...(clearedAgeMs === undefined ? {} : { clearedAgeMs }),
  };
}

/** Encodes rows into datagrams. */
export function encodeSuspects(rows: readonly SuspectRow[]): Buffer[] {
  return Array.from({ length: Math.ceil(rows.length / MAX_ROWS) }, (_, index) =>
    encodeNotification(METHOD, {
      s: rows.slice(index * MAX_ROWS, (index + 1) * MAX_ROWS).map(toSuspectWireRow),
    }),
  );
}

/**
 * Decodes a notification.
 *
 * @returns undefined when it is of another kind
 * @throws TypeError when its parameters are malformed
 */
export function decodeSuspects({ method, params }: Notification): SuspectRow[] | undefined {
  if (method !== METHOD) return undefined;
  return (params as { s: readonly SuspectWireRow[] }).s.map(fromSuspectWireRow);
}
