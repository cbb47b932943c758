/** A target in the local view of a gateway, with its load and assumed state. */
import type { TargetRecord, TargetWork } from '@marjoramcart/core';

export class TargetEntry {
  /** Time until which the target is assumed to be cold, monotonic ms. */
  coldUntil: number;

  /** Time at which a target that is no longer listed is dropped, monotonic ms. */
  dropAt: number | undefined;

  /** Whether another target responded at the address. */
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

  /** Assumes that the target is cold at least until a time. */
  extendCold(until: number): void {
    this.coldUntil = Math.max(this.coldUntil, until);
  }

  /** Applies a newer record of the target, which has not restarted since. */
  update(record: TargetRecord, now: number): void {
    if (record.coldForMs > 0) this.extendCold(now + record.coldForMs);
    this.record = record;
    this.dropAt = undefined;
  }

  /** Sets the time at which a target that is no longer listed is dropped. */
  scheduleDrop(at: number): void {
    this.dropAt = at;
  }

  markMisdirected(): void {
    this.misdirected = true;
  }
}
