/**
 * Whether a target counts as warm while its entry may be out of date. It then counts as cold unless it has
 * said lately that it is warm.
 */

/** Time for which a target counts as warm after it said so. */
const CONFIRMED_FOR_MS = 1000;
/** Time for which one that is in doubt counts as cold at any moment. */
const DOUBTED_COLD_MS = 1000;

export class TargetWarmth {
  /** Time from which the target is in doubt, monotonic ms; Infinity while its entry is up to date. */
  private doubtedFrom = Infinity;

  private isUnheard = false;

  /** Whether the target may become cold without any gateway that this one hears noticing in time. */
  get mayTurnCold(): boolean {
    return this.isUnheard;
  }

  /**
   * Notes that the entry of the target may be out of date.
   *
   * @param now monotonic ms, as in all methods
   * @param isAlone whether this gateway hears no other one
   * @example warmth.doubt(timers.now(), true)
   */
  doubt(now: number, isAlone: boolean): void {
    this.isUnheard = isAlone;
    this.doubtedFrom = Math.min(this.doubtedFrom, now + CONFIRMED_FOR_MS);
  }

  /**
   * Notes that the target said that it is warm.
   *
   * @param askedAt when it was asked, monotonic ms
   */
  confirm(askedAt: number): void {
    if (this.doubtedFrom === Infinity) return;
    this.doubtedFrom = Math.max(this.doubtedFrom, askedAt + CONFIRMED_FOR_MS);
  }

  /** Notes that the entry of the target is up to date. */
  trust(): void {
    this.isUnheard = false;
    this.doubtedFrom = Infinity;
  }

  /** How much longer the target counts as cold for want of its word, ms; 0 if it does not. */
  coldForMs(now: number): number {
    return now >= this.doubtedFrom ? DOUBTED_COLD_MS : 0;
  }
}
