/** Live gateways by region, and how many a region has while it can't be reached. */

export interface MemberRecord {
  readonly node: string;
  readonly region: string;
}

/**
 * A region has lost gateways for good if some, but not all, are missing for this time: in a partition,
 * they all disappear within the difference of the liveness timeouts.
 */
const LOWER_AFTER_MS = 15_000;

/** Gossip about a gateway that was heard directly arrives within this time. */
const HEARD_MS = 5000;

interface RegionCount {
  count: number;
  /** Since when fewer gateways live, monotonic ms. */
  lowerSince: number | undefined;
}

export class FleetMembers {
  private live: ReadonlyMap<string, readonly string[]> = new Map();

  private others: readonly MemberRecord[] = [];

  /** Gateways heard before gossip told of them, with the time. */
  private readonly heard = new Map<string, MemberRecord & { readonly at: number }>();

  private readonly changes = new Map<string, number>();

  private readonly counts = new Map<string, RegionCount>();

  /** @param regions all regions in the settings */
  constructor(
    private readonly self: MemberRecord,
    readonly regions: readonly string[],
  ) {
    this.update([], 0);
  }

  /**
   * Replaces the live gateways; the lists of regions without a change stay the same objects.
   *
   * @param others without this gateway
   * @example members.update(table.alive(now), now)
   */
  update(others: readonly MemberRecord[], now: number): void {
    this.others = others;
    [...this.heard.values()]
      .filter(({ node, at }) => now - at >= HEARD_MS || others.some((other) => other.node === node))
      .forEach(({ node }) => this.heard.delete(node));
    this.rebuild(now);
  }

  /** Adds a gateway that was heard directly, so that one that has just started counts at once. */
  onHeard({ node, region }: MemberRecord, now: number): void {
    if (this.of(region).includes(node)) return;
    this.heard.set(node, { node, region, at: now });
    this.rebuild(now);
  }

  /** Live gateways of a region, in a fixed order. */
  of(region: string): readonly string[] {
    return this.live.get(region) ?? [];
  }

  /** When the list of a region last changed, monotonic ms. */
  changedAt(region: string): number {
    return this.changes.get(region) ?? -Infinity;
  }

  /**
   * Gateways of a region, also while it can't be reached. A region of which none was ever known is
   * assumed to have as many as the own one, since it may have been cut off before this process started.
   */
  count(region: string): number {
    return this.counts.get(region)?.count ?? Math.max(1, this.of(this.self.region).length);
  }

  /** Gateways of all regions. */
  get total(): number {
    return this.regions.reduce((sum, region) => sum + this.count(region), 0);
  }

  private rebuild(now: number): void {
    const all = [this.self, ...this.others, ...this.heard.values()];
    this.live = new Map(
      this.regions.map((region) => {
        const names = all
          .filter((record) => record.region === region)
          .map(({ node }) => node)
          .sort();
        const before = this.live.get(region) ?? [];
        const isSame =
          before.length === names.length && before.every((name, index) => name === names[index]);
        if (!isSame) this.changes.set(region, now);
        return [region, isSame ? before : names];
      }),
    );
    this.regions.forEach((region) => this.updateCount(region, now));
  }

  private updateCount(region: string, now: number): void {
    const live = this.of(region).length;
    const known = this.counts.get(region);
    if (live === 0) return;
    if (!known || live >= known.count) {
      this.counts.set(region, { count: live, lowerSince: undefined });
      return;
    }
    known.lowerSince ??= now;
    if (now - known.lowerSince >= LOWER_AFTER_MS) {
      this.counts.set(region, { count: live, lowerSince: undefined });
    }
  }
}
