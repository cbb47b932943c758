/** A target that the gateway may use, with what it knows of it. */
import type { TargetRecord, TargetWork } from '@marjoramcart/core';

export class TargetEntry {
  /** Until when the target is taken to be cold, monotonic ms. */
  coldUntil: number;

  /** The record is gone from the list; the target is kept until this time, monotonic ms. */
  dropAt: number | undefined;

  /** Another target has the address. */
  misdirected = false;

  constructor(
    public record: TargetRecord,
    readonly work: TargetWork,
    now: number,
  ) {
    this.coldUntil = now + record.coldForMs;
  }

  get id(): string {
    return this.record.id;
  }

  /** Takes the target for cold at least until a time. */
  extendCold(until: number): void {
    this.coldUntil = Math.max(this.coldUntil, until);
  }

  /** Takes a newer record of the same start of the target. */
  update(record: TargetRecord, now: number): void {
    if (record.coldForMs > 0) this.extendCold(now + record.coldForMs);
    this.record = record;
    this.dropAt = undefined;
  }

  /** The target is no longer listed and is dropped at a time. */
  scheduleDrop(at: number): void {
    this.dropAt = at;
  }

  /** Another target answered at the address. */
  markMisdirected(): void {
    this.misdirected = true;
  }
}
