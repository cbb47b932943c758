/**
 * Targets that rejected a request and want no other one from this gateway for a while. That holds for
 * one start of a target.
 */
import type { TargetIncarnation } from './leaving-targets.js';

/** Longer pauses are not believed; the target says so again if it still wants no requests. */
const MAX_PAUSE_MS = 60_000;
const MAX_TARGETS = 4096;

export class TargetPauses {
  /** End of the pause of each start of a target, monotonic ms, in the order in which they were told. */
  private readonly until = new Map<string, number>();

  /**
   * Notes that a target wants no requests.
   *
   * @param now monotonic ms, as in all methods
   * @returns whether it was not paused before
   * @example pauses.onPause({ id: 'i-1', address: '10.0.0.1:80', bornAt: 0 }, 4000, timers.now())
   */
  onPause(target: TargetIncarnation, pauseMs: number, now: number): boolean {
    const before = this.opensInMs(target, now);
    const key = keyOf(target);
    this.until.delete(key);
    this.until.set(key, now + Math.max(before, Math.min(pauseMs, MAX_PAUSE_MS)));
    const [oldest] = this.until.keys();
    if (this.until.size > MAX_TARGETS && oldest !== undefined) this.until.delete(oldest);
    return before === 0;
  }

  /** Time until a target takes requests again, ms; 0 if it does now. */
  opensInMs(target: TargetIncarnation, now: number): number {
    if (this.until.size === 0) return 0;
    return Math.max(0, (this.until.get(keyOf(target)) ?? now) - now);
  }

  /** Forgets pauses that are over. */
  expire(now: number): void {
    [...this.until].filter(([, until]) => until <= now).forEach(([key]) => this.until.delete(key));
  }
}

function keyOf({ id, address, bornAt }: TargetIncarnation): string {
  return `${id} ${address} ${bornAt}`;
}
