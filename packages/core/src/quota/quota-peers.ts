/** Which gateways and regions answer this one directly; gossip alone may bring news of others. */

/** Pings without an answer after which a gateway counts as unreachable, and the time they take. */
const PINGS = 5;
const PING_TIME_MS = 1000;
const PING_INTERVAL_MS = 200;
/** Interval of the pings to a gateway that has not answered for long. */
const LATE_PING_INTERVAL_MS = 500;
/** A gateway that nobody asks about for this time is not pinged any more. */
const INTEREST_MS = 1500;
/** Asks without an answer after which another gateway is asked, and the time an answer may take. */
const ASKS = 2;
const ASK_TIME_MS = 400;
/** Heartbeats count as a sign of life if they are this much newer than the first ping, ms. */
const HEARTBEAT_SLACK_MS = 300;
const RETENTION_MS = 60_000;
/** A live gateway that has never sent a message and leaves pings of this time without an answer knows none. */
const MUTE_TIME_MS = 3000;
const MAX_SPOKEN = 2000;

interface Probe {
  readonly startedAt: number;
  sentAt: number;
  sent: number;
  wantedAt: number;
}

export class QuotaPeers {
  private readonly regionHeardAt = new Map<string, number>();

  private readonly probes = new Map<string, Probe>();

  /** Gateways that have sent any of these messages; those of the previous release send none. */
  private readonly spoken = new Set<string>();

  private readonly unanswered = new Map<string, { since: number; asks: number }>();

  /** Gateways and regions of which something is remembered. */
  get size(): number {
    return this.regionHeardAt.size + this.probes.size + this.unanswered.size;
  }

  /** Notes a message that arrived directly from a gateway. `now` is monotonic ms, as in all methods. */
  onHeard(node: string, region: string, now: number): void {
    this.regionHeardAt.set(region, now);
    if (this.spoken.size >= MAX_SPOKEN) this.spoken.clear();
    this.spoken.add(node);
    this.probes.delete(node);
    this.unanswered.delete(node);
  }

  /** When a gateway of the region was last heard, monotonic ms; -Infinity if never. */
  regionHeard(region: string): number {
    return this.regionHeardAt.get(region) ?? -Infinity;
  }

  onAsked(node: string, now: number): void {
    const before = this.unanswered.get(node);
    if (before) before.asks += 1;
    else this.unanswered.set(node, { since: now, asks: 1 });
  }

  /** Notes that another gateway grants in place of this one. */
  onReplaced(node: string, now: number): void {
    this.unanswered.set(node, { since: now - ASK_TIME_MS, asks: ASKS });
  }

  /** Whether a gateway has left asks without an answer since it was last heard. */
  isSilent(node: string, now: number): boolean {
    const { since = now, asks = 0 } = this.unanswered.get(node) ?? {};
    return asks >= ASKS && now - since >= ASK_TIME_MS;
  }

  /** Pings a gateway for as long as this is called. */
  probe(node: string, now: number): void {
    const known = this.probes.get(node);
    if (known && now - known.wantedAt < INTEREST_MS) known.wantedAt = now;
    else this.probes.set(node, { startedAt: now, sentAt: -Infinity, sent: 0, wantedAt: now });
  }

  /**
   * Whether a gateway that is probed does not live, can't be reached, or does not know these messages.
   *
   * @param heartbeatAt when it sent the last heartbeat that is known by gossip, monotonic ms
   */
  isDead(node: string, heartbeatAt: number, now: number): boolean {
    const probe = this.probes.get(node);
    if (!probe || probe.sent < PINGS || now - probe.startedAt < PING_TIME_MS) return false;
    if (!this.spoken.has(node) && now - probe.startedAt >= MUTE_TIME_MS) return true;
    return heartbeatAt < probe.startedAt + HEARTBEAT_SLACK_MS;
  }

  /** Gateways to ping now. */
  due(now: number): string[] {
    const due = [...this.probes].filter(([, { sent, sentAt, wantedAt }]) => {
      const intervalMs = sent < PINGS ? PING_INTERVAL_MS : LATE_PING_INTERVAL_MS;
      return now - wantedAt < INTEREST_MS && now - sentAt >= intervalMs;
    });
    due.forEach(([, probe]) => Object.assign(probe, { sent: probe.sent + 1, sentAt: now }));
    return due.map(([node]) => node);
  }

  expire(now: number): void {
    [...this.probes]
      .filter(([, { wantedAt }]) => now - wantedAt >= INTEREST_MS)
      .forEach(([node]) => this.probes.delete(node));
    [...this.unanswered]
      .filter(([, { since }]) => now - since >= RETENTION_MS)
      .forEach(([node]) => this.unanswered.delete(node));
  }
}
