/**
 * Targets that are no longer listed. A platform that comes back from an older copy may list them again
 * for a moment.
 */
import type { TargetIncarnation } from './leaving-targets.js';

interface GoneTarget {
  readonly address: string;
  /** Start times of the target, Unix ms. */
  readonly starts: readonly number[];
  /** When it was dropped, contact time. */
  readonly at: number;
}

/** Longer than a copy is old. */
const RETENTION_MS = 60_000;
const MAX_TARGETS = 4096;

export class GoneTargets {
  /** By id, in the order in which they were dropped. */
  private readonly known = new Map<string, GoneTarget>();

  /**
   * Notes that a target is gone.
   *
   * @param starts its start times, Unix ms
   * @param now contact time (`ContactClock`), as in all methods
   * @example gone.add(record, [record.bornAt], clock.now)
   */
  add({ id, address }: TargetIncarnation, starts: readonly number[], now: number): void {
    this.known.delete(id);
    this.known.set(id, { address, starts, at: now });
    const [oldest] = this.known.keys();
    if (this.known.size > MAX_TARGETS && oldest !== undefined) this.known.delete(oldest);
  }

  /** Whether this start of the target was dropped before a time. */
  wasGone({ id, address, bornAt }: TargetIncarnation, before: number): boolean {
    const gone = this.known.get(id);
    return gone?.address === address && gone.at < before && gone.starts.includes(bornAt);
  }

  /** Forgets targets that were dropped long ago. */
  expire(now: number): void {
    [...this.known]
      .filter(([, { at }]) => now - at >= RETENTION_MS)
      .forEach(([id]) => this.known.delete(id));
  }
}
