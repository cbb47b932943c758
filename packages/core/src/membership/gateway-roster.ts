/**
 * Names of all gateways of a region, including those that have left recently. Limits that are divided
 * among the gateways hold only if all of them divide by the same roster, so a gateway that has just
 * started gets no share until its roster is complete. Gateways exchange digests of their rosters, and
 * the names when the digests differ.
 */
import { hashOf } from '../rendezvous.js';

/** A member of a roster and the time since its last sign of life. */
export interface RosterMember {
  readonly node: string;
  readonly ageMs: number;
}

/** What a gateway publishes about its roster. */
export interface RosterSummary {
  /** Equal for equal sets of names. */
  readonly digest: number;
  readonly complete: boolean;
}

/** Two rosters that agree are complete if no name was added for this time. */
const SETTLE_MS = 1500;
/** A gateway that reaches others, but none of its region, is its only member after this time. */
const UNCONFIRMED_MS = 8000;
/** Members without a sign of life are removed after this time; partitions should not last longer. */
const RETENTION_MS = 600_000;
const MAX_MEMBERS = 1000;

export class GatewayRoster {
  private readonly seenAt: Map<string, number>;

  private completed = false;

  private digest: number;

  private changedAt: number;

  private changes = 0;

  private reachesOthers = false;

  /**
   * @param self name of this gateway
   * @param now monotonic ms, as in all methods
   * @example new GatewayRoster('vm-1', timers.now())
   */
  constructor(
    private readonly self: string,
    private readonly startedAt: number,
  ) {
    this.seenAt = new Map([[self, startedAt]]);
    this.digest = digestOf([self]);
    this.changedAt = startedAt;
  }

  get size(): number {
    return this.seenAt.size;
  }

  get names(): readonly string[] {
    return [...this.seenAt.keys()];
  }

  /** Another number after each change of the names. */
  get version(): number {
    return this.changes;
  }

  /** Whether this gateway may assume that no other gateway of the region is missing. */
  isComplete(now: number): boolean {
    const reachable = this.reachesOthers && now - this.startedAt >= UNCONFIRMED_MS;
    this.completed = this.completed || reachable;
    return this.completed;
  }

  /** Notes that another gateway of any region was heard, or that no other is configured. */
  onContact(): void {
    this.reachesOthers = true;
  }

  /** Adds members, or renews their last signs of life. */
  merge(members: readonly RosterMember[], now: number): void {
    const known = this.seenAt.size;
    members
      .filter(({ node, ageMs }) => node !== this.self && ageMs < RETENTION_MS)
      .filter(({ node }) => this.seenAt.has(node) || this.seenAt.size < MAX_MEMBERS)
      .forEach(({ node, ageMs }) => {
        this.seenAt.set(node, Math.max(this.seenAt.get(node) ?? -Infinity, now - ageMs));
      });
    if (this.seenAt.size !== known) this.onChange(now);
  }

  /**
   * Handles the summary of another gateway of the region, after `merge` of its members.
   *
   * @returns whether the rosters differ, so that the sender needs the members of this one
   */
  onSummary({ digest, complete }: RosterSummary, now: number): boolean {
    if (digest !== this.digest) return true;
    if (complete || now - this.changedAt >= SETTLE_MS) this.completed = true;
    return false;
  }

  summary(now: number): RosterSummary {
    return { digest: this.digest, complete: this.isComplete(now) };
  }

  members(now: number): RosterMember[] {
    this.seenAt.set(this.self, now);
    return [...this.seenAt].map(([node, at]) => ({ node, ageMs: now - at }));
  }

  /** Removes members without a sign of life. */
  expire(now: number): void {
    const expired = [...this.seenAt].filter(
      ([node, at]) => node !== this.self && now - at >= RETENTION_MS,
    );
    expired.forEach(([node]) => this.seenAt.delete(node));
    if (expired.length > 0) this.onChange(now);
  }

  private onChange(now: number): void {
    this.changedAt = now;
    this.changes += 1;
    this.digest = digestOf([...this.seenAt.keys()]);
  }
}

function digestOf(names: readonly string[]): number {
  return hashOf([...names].sort().join('\n'));
}
