/** Keeps the loads of a failure domain within its static share of the weight store. */

const BITS_PER_BYTE = 8;

/**
 * Time that the weights of a model need at the share of one failure domain, in ms.
 *
 * @example loadTimeMs(16_000, 1000, 4) // 512000
 */
export function weightLoadTimeMs(weightsMb: number, storeMbitPerS: number, domains: number): number {
  return ((weightsMb * BITS_PER_BYTE) / (storeMbitPerS / Math.max(1, domains))) * 1000;
}

/** Notes the loads that were seen and tells when the share is free for the next one. */
export class WeightLoadLimiter {
  private readonly seen = new Set<string>();

  private nextStartAtMs = 0;

  /** Notes loads under way; `name` is unique for a target and model version. */
  observe(loads: readonly { name: string; durationMs: number }[], nowMs: number): void {
    loads
      .filter(({ name }) => !this.seen.has(name))
      .forEach(({ durationMs }) => {
        this.nextStartAtMs = Math.max(this.nextStartAtMs, nowMs) + durationMs;
      });
    this.seen.clear();
    loads.forEach(({ name }) => this.seen.add(name));
  }

  /** Whether a load may start; the very first starts at once. */
  mayStart(nowMs: number): boolean {
    return nowMs >= this.nextStartAtMs;
  }
}
