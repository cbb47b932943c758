/** What was sent to other regions lately, which their summaries don't show yet. */

interface Sent {
  readonly at: number;
  readonly readMs: number;
}

const KEEP_MS = 5000;
const MAX_SHARED_PARTS = 4096;

export class RecentForwards {
  private readonly sent = new Map<string, Sent[]>();

  /** Shared parts that were sent to a place before. */
  private readonly shared = new Set<string>();

  onSend(place: string, readMs: number, sharedPart: string | undefined, now: number): void {
    const recent = (this.sent.get(place) ?? []).filter(({ at }) => now - at < KEEP_MS);
    this.sent.set(place, [...recent, { at: now, readMs }]);
    if (sharedPart === undefined) return;
    if (this.shared.size >= MAX_SHARED_PARTS) this.shared.clear();
    this.shared.add(`${place} ${sharedPart}`);
  }

  /** Requests and their reading, ms, that were sent to a place since a time. */
  since(place: string, time: number): { requests: number; prefillMs: number } {
    const recent = (this.sent.get(place) ?? []).filter(({ at }) => at >= time);
    return {
      requests: recent.length,
      prefillMs: recent.reduce((sum, { readMs }) => sum + readMs, 0),
    };
  }

  hasSharedPrefix(place: string, sharedPart: string): boolean {
    return this.shared.has(`${place} ${sharedPart}`);
  }
}
