/** Requests that were recently forwarded to remote regions and are not in their summaries yet. */

interface SentRequest {
  readonly at: number;
  readonly prefillMs: number;
}

const RETENTION_MS = 5000;
const MAX_SHARED_PREFIXES = 4096;

export class RecentForwards {
  private readonly sent = new Map<string, SentRequest[]>();

  /** Shared prefixes that were sent to a region and service before. */
  private readonly sharedPrefixes = new Set<string>();

  onSend(key: string, prefillMs: number, sharedPrefix: string | undefined, now: number): void {
    const recent = (this.sent.get(key) ?? []).filter(({ at }) => now - at < RETENTION_MS);
    this.sent.set(key, [...recent, { at: now, prefillMs }]);
    if (sharedPrefix === undefined) return;
    if (this.sharedPrefixes.size >= MAX_SHARED_PREFIXES) this.sharedPrefixes.clear();
    this.sharedPrefixes.add(`${key} ${sharedPrefix}`);
  }

  /** Requests, and their prefill time in ms, that were sent to a region and service since a time. */
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
