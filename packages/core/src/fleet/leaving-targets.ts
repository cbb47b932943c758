/**
 * Targets that said in a response that they are leaving. The list of targets may show them as serving
 * for longer, so this is kept apart from the list, for each start of a target.
 */

/** One start of a target. Another target may use its address later, or another start its id. */
export interface TargetIncarnation {
  readonly id: string;
  /** `ip:port`. */
  readonly address: string;
  /** Start time, Unix ms; 0 if unknown. */
  readonly bornAt: number;
}

/** A leaving target, as gateways tell each other. */
export interface LeavingRow extends TargetIncarnation {
  /** Time since a response said so, ms. */
  readonly ageMs: number;
}

interface LeavingTarget {
  readonly target: TargetIncarnation;
  /** When this gateway first knew of it, monotonic ms. */
  readonly knownAt: number;
  /** Time of the latest response that said so, monotonic ms. */
  readonly toldAt: number;
}

/** Targets are gone some time after they say that they leave. */
const RETENTION_MS = 600_000;
const MAX_TARGETS = 4096;

export class LeavingTargets {
  /** In the order in which they became known. */
  private readonly known = new Map<string, LeavingTarget>();

  get size(): number {
    return this.known.size;
  }

  /**
   * Notes that a target said that it is leaving.
   *
   * @param now monotonic ms, as in all methods
   * @returns whether this was not known before
   * @example leaving.onLeaving({ id: 'i-1', address: '10.0.0.1:80', bornAt: 0 }, timers.now())
   */
  onLeaving(target: TargetIncarnation, now: number, ageMs = 0): boolean {
    if (ageMs >= RETENTION_MS) return false;
    const key = incarnationKey(target);
    const before = this.known.get(key);
    this.known.set(key, {
      target: { id: target.id, address: target.address, bornAt: target.bornAt },
      knownAt: before?.knownAt ?? now,
      toldAt: Math.max(before?.toldAt ?? -Infinity, now - ageMs),
    });
    if (this.known.size > MAX_TARGETS) this.dropOldest();
    return before === undefined;
  }

  isLeaving(target: TargetIncarnation): boolean {
    return this.known.has(incarnationKey(target));
  }

  /**
   * The latest targets to become known, at most `max`.
   *
   * @param maxKnownMs leaves out those that have been known for longer, ms
   */
  rows(max: number, now: number, maxKnownMs = Infinity): LeavingRow[] {
    return [...this.known.values()]
      .slice(-max)
      .filter(({ knownAt }) => now - knownAt < maxKnownMs)
      .map(({ target, toldAt }) => ({ ...target, ageMs: now - toldAt }));
  }

  /** Forgets targets that have not said so for a long time. */
  expire(now: number): void {
    [...this.known]
      .filter(([, { toldAt }]) => now - toldAt >= RETENTION_MS)
      .forEach(([key]) => this.known.delete(key));
  }

  private dropOldest(): void {
    const [oldest] = this.known.keys();
    if (oldest !== undefined) this.known.delete(oldest);
  }
}

/** Keys of records, which are looked up for each request. */
const keys = new WeakMap<TargetIncarnation, string>();

/** Key of one start of a target. */
export function incarnationKey(target: TargetIncarnation): string {
  const known = keys.get(target);
  if (known !== undefined) return known;
  const key = `${target.id} ${target.address} ${target.bornAt}`;
  keys.set(target, key);
  return key;
}
