/** Rows about leaving targets, in gossip and in updates about targets. */
import type { LeavingRow } from '@marjoramcart/core';

/** Id, address and start time of a target, and the time since it said that it is leaving, ms. */
export type LeavingWireRow = readonly [string, string, number, number];

export function toLeavingWireRow({ id, address, bornAt, ageMs }: LeavingRow): LeavingWireRow {
  return [id, address, bornAt, Math.round(ageMs)];
}

export function fromLeavingWireRow([id, address, bornAt, ageMs]: LeavingWireRow): LeavingRow {
  return { id, address, bornAt, ageMs };
}
