/** Requests that were recently forwarded to remote regions and are not in their summaries yet. */

interface SentRequest {
  readonly at: number;
  readonly prefillMs: number;
}

const KEEP_MS = 5000;
const MAX_SHARED_PREFIXES = 4096;

export class RecentForwards {
  private readonly sent = new Map<string, SentRequest[]>();

  /** Shared prefixes that were sent to a region and service before. */
  private readonly shared = new Set<string>();

  onSend(
    destination: string,
    prefillMs: number,
    sharedPrefix: string | undefined,
    now: number,
  ): void {
    const recent = (this.sent.get(destination) ?? []).filter(({ at }) => now - at < KEEP_MS);
    this.sent.set(destination, [...recent, { at: now, prefillMs }]);
    if (sharedPrefix === undefined) return;
    if (this.shared.size >= MAX_SHARED_PREFIXES) this.shared.clear();
    this.shared.add(`${destination} ${sharedPrefix}`);
  }

  /** Requests, and their prefill time in ms, that were sent to a region and service since a time. */
  since(destination: string, time: number): { requests: number; prefillMs: number } {
    const recent = (this.sent.get(destination) ?? []).filter(({ at }) => at >= time);
    return {
      requests: recent.length,
      prefillMs: recent.reduce((sum, { prefillMs }) => sum + prefillMs, 0),
    };
  }

  hasSharedPrefix(destination: string, sharedPrefix: string): boolean {
    return this.shared.has(`${destination} ${sharedPrefix}`);
  }
}
