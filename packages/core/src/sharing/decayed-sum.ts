/** Rate of recent amounts; older ones count exponentially less. */

/** Time constant of the decay. */
export const DECAY_MS = 2000;
const MS_PER_S = 1000;

export class DecayedSum {
  private sum = 0;

  private updatedAt = 0;

  /** @param amount may be negative, to take back an earlier one; the rate does not fall below 0 */
  add(amount: number, now: number): void {
    this.sum = Math.max(0, this.sumAt(now) + amount);
    this.updatedAt = now;
  }

  /**
   * Amount per second.
   *
   * @example sum.add(100, 0); sum.ratePerS(0) // 50
   */
  ratePerS(now: number): number {
    return (this.sumAt(now) * MS_PER_S) / DECAY_MS;
  }

  private sumAt(now: number): number {
    return this.sum * Math.exp((this.updatedAt - now) / DECAY_MS);
  }
}
