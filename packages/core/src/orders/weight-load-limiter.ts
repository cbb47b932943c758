/** Limits model loads of a failure domain to its fixed share of the weight store's bandwidth. */

const BITS_PER_BYTE = 8;

/**
 * Time to load the weights of a model with the bandwidth share of one failure domain, in ms.
 *
 * @example weightLoadTimeMs(16_000, 1000, 4) // 512000
 */
export function weightLoadTimeMs(
  weightsMb: number,
  storeMbitPerS: number,
  failureDomains: number,
): number {
  return ((weightsMb * BITS_PER_BYTE) / (storeMbitPerS / Math.max(1, failureDomains))) * 1000;
}

/** Tracks the loads in progress and decides when the next one may start. */
export class WeightLoadLimiter {
  private readonly seen = new Set<string>();

  private nextStartAtMs = 0;

  /** Records the loads in progress; `name` is unique for a target and model version. */
  observe(loads: readonly { name: string; durationMs: number }[], nowMs: number): void {
    loads
      .filter(({ name }) => !this.seen.has(name))
      .forEach(({ durationMs }) => {
        this.nextStartAtMs = Math.max(this.nextStartAtMs, nowMs) + durationMs;
      });
    this.seen.clear();
    loads.forEach(({ name }) => this.seen.add(name));
  }

  /** Whether the next load may start; the first one may start at once. */
  mayStart(nowMs: number): boolean {
    return nowMs >= this.nextStartAtMs;
  }
}
