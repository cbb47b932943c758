/**
 * Requests that were recently forwarded to remote regions, whose load summaries may not include them
 * yet. A key stands for a region and a service.
 */

interface SentRequest {
  readonly at: number;
  readonly prefillMs: number;
}

const RETENTION_MS = 5000;
const MAX_SHARED_PREFIXES = 4096;

export class RecentForwards {
  private readonly sent = new Map<string, SentRequest[]>();

  /** Shared prefixes that were sent before, each with its key. */
  private readonly sharedPrefixes = new Set<string>();

  onSend(key: string, prefillMs: number, sharedPrefix: string | undefined, now: number): void {
    const recent = (this.sent.get(key) ?? []).filter(({ at }) => now - at < RETENTION_MS);
    this.sent.set(key, [...recent, { at: now, prefillMs }]);
    if (sharedPrefix === undefined) return;
    if (this.sharedPrefixes.size >= MAX_SHARED_PREFIXES) this.sharedPrefixes.clear();
    this.sharedPrefixes.add(`${key} ${sharedPrefix}`);
  }

  /** Number and total prefill time of the requests that were sent since `time`, monotonic ms. */
  since(key: string, time: number): { requests: number; prefillMs: number } {
    const recent = (this.sent.get(key) ?? []).filter(({ at }) => at >= time);
    return {
      requests: recent.length,
      prefillMs: recent.reduce((sum, { prefillMs }) => sum + prefillMs, 0),
    };
  }

  hasSharedPrefix(key: string, sharedPrefix: string): boolean {
    return this.sharedPrefixes.has(`${key} ${sharedPrefix}`);
  }
}
