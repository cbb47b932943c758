/** A target in the local view of a gateway, with its load and assumed state. */
import type { TargetRecord, TargetWork } from '@marjoramcart/core';

/** Why a target is assumed to be cold. */
export const ColdReason = {
  /** Its entry says so. */
  Listed: 'listed',
  /** It was unreachable, and may have restarted. */
  Unreachable: 'unreachable',
  /** Another gateway found it unreachable. */
  Told: 'told',
  /** The evacuation of its failure domain ended. */
  Restored: 'restored',
} as const;
export type ColdReason = (typeof ColdReason)[keyof typeof ColdReason];

export class TargetEntry {
  /** Time until which the target is assumed to be cold, monotonic ms. */
  coldUntil: number;

  /** Latest reason for which the target was assumed to be cold. */
  coldReason: ColdReason | undefined;

  /** When the record was last received, monotonic ms. */
  recordReceivedAt: number;

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
    this.coldReason = record.coldForMs > 0 ? ColdReason.Listed : undefined;
    this.recordReceivedAt = now;
  }

  get id(): string {
    return this.record.id;
  }

  /**
   * Assumes that the target is cold at least until a time.
   *
   * @returns whether it was assumed to be warm before
   */
  extendCold(until: number, reason: ColdReason, now: number): boolean {
    if (until <= this.coldUntil) return false;
    const wasWarm = this.coldUntil <= now;
    this.coldUntil = until;
    this.coldReason = reason;
    return wasWarm;
  }

  /**
   * Applies a newer record of the target, which has not restarted since.
   *
   * @returns whether the target becomes cold by it
   */
  update(record: TargetRecord, now: number): boolean {
    this.record = record;
    this.recordReceivedAt = now;
    this.dropAt = undefined;
    if (record.coldForMs <= 0) return false;
    return this.extendCold(now + record.coldForMs, ColdReason.Listed, now);
  }

  /** Sets the time at which a target that is no longer listed is dropped. */
  scheduleDrop(at: number): void {
    this.dropAt = at;
  }

  markMisdirected(): void {
    this.misdirected = true;
  }
}
