/**
 * Which era of the platform's store to believe. An era that is too high would hide all later states, so
 * what others believe counts only if it agrees with the gateways that are in contact with the platform,
 * and an era that these contradict for long is given up.
 */

/** Longer than late answers of an earlier era come after the first one of a later era. */
const CONTRADICTED_MS = 6000;

export class EraTrust {
  private believed = 0;

  /** When the believed era was read last, or was taken from others, monotonic ms. */
  private confirmedAt = -Infinity;

  /** When a lower era was read first since, monotonic ms. */
  private contradictedAt: number | undefined;

  /** What was read last, here or by a gateway that told this one. */
  private latest: { readonly era: number; readonly at: number } | undefined;

  /** @param freshMs for how long after an answer of the platform its era stands against another one */
  constructor(private readonly freshMs = 0) {}

  /**
   * Notes that an era is believed from now on.
   *
   * @param now monotonic ms, as in all methods
   */
  believe(era: number, now: number): void {
    this.believed = era;
    this.confirmedAt = now;
    this.contradictedAt = undefined;
  }

  /**
   * Notes the era of an answer of the platform.
   *
   * @param at when the answer came
   * @returns whether the believed era has been contradicted for too long
   * @example if (trust.onRead(page.era, timers.now())) trust.believe(page.era, timers.now())
   */
  onRead(era: number, at: number): boolean {
    if (!this.latest || at >= this.latest.at) this.latest = { era, at };
    if (era >= this.believed) {
      this.confirmedAt = Math.max(this.confirmedAt, at);
      this.contradictedAt = undefined;
      return false;
    }
    if (at <= this.confirmedAt) return false;
    this.contradictedAt ??= at;
    return at - this.contradictedAt >= CONTRADICTED_MS;
  }

  /** Whether to believe an era that another gateway believes. */
  mayBelieve(era: number, now: number): boolean {
    if (era <= this.believed || !this.latest) return true;
    return era <= this.latest.era || now - this.latest.at > this.freshMs;
  }
}
