/** A target that the gateway may use, with what it knows of it. */
import type { TargetRecord, TargetWork } from '@marjoramcart/core';

export interface TargetEntry {
  record: TargetRecord;
  readonly work: TargetWork;
  /** Until when the target is taken to be cold, monotonic ms. */
  coldUntil: number;
  /** The record is gone from the list; the target is kept until this time, monotonic ms. */
  goneAt: number | undefined;
  /** Another target has the address. */
  misdirected: boolean;
}
