/**
 * Estimates how the requests that wait at engines divide by priority. Reports tell only how many
 * wait. The time that requests of a priority spend waiting is proportional to their number in the
 * queue, so the times that a gateway sees for its own requests are a sample of the queues.
 */

const LOWEST_PRIORITY = 9;
const HALF_LIFE_MS = 2000;
/** Waiting time that each priority is assumed to have had before, ms. */
const PRIOR_MS = 20;

export class WaitingMix {
  private readonly waitedMs = new Array<number>(LOWEST_PRIORITY + 1).fill(0);

  private updatedAt = -Infinity;

  /** Notes the time for which a request waited for its first byte. */
  onWaited(priority: number, ms: number, now: number): void {
    this.decay(now);
    const index = Math.min(LOWEST_PRIORITY, Math.max(0, Math.round(priority)));
    this.waitedMs[index] = (this.waitedMs[index] ?? 0) + Math.max(0, ms);
  }

  /**
   * Share of the waiting requests that a request of a priority does not overtake, 0 to 1.
   *
   * @example mix.shareAhead(0, timers.now()) // 0.2
   */
  shareAhead(priority: number, now: number): number {
    this.decay(now);
    const weights = this.waitedMs.map((ms) => ms + PRIOR_MS);
    const total = weights.reduce((sum, ms) => sum + ms, 0);
    const ahead = weights.slice(0, Math.max(0, priority) + 1).reduce((sum, ms) => sum + ms, 0);
    return ahead / total;
  }

  private decay(now: number): void {
    const factor = 0.5 ** (Math.max(0, now - this.updatedAt) / HALF_LIFE_MS);
    this.waitedMs.forEach((ms, index) => {
      this.waitedMs[index] = ms * factor;
    });
    this.updatedAt = now;
  }
}
