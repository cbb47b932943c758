/**
 * Which routes the callers of other regions use, as the gateways there told it. It is kept when they
 * have left, since that is when it is needed.
 */
import type { Route } from './fleet-config.js';
import type { HostUsageRow } from './route-usage.js';

/** Limit of the hosts that are kept, over all regions; the one told longest ago makes room for a new one. */
const MAX_HOSTS = 1000;

export class RegionUsage {
  /** By region and host. */
  private readonly rows = new Map<string, ReadonlyMap<string, number>>();

  /**
   * Replaces what was known of the hosts in some rows.
   *
   * @example usage.merge('north', [{ host: 'api.example', counts: [['/answers/', 120]] }])
   */
  merge(region: string, rows: readonly HostUsageRow[]): void {
    rows.forEach(({ host, counts }) => {
      const key = keyOf(region, host);
      this.rows.delete(key);
      const [first] = this.rows.keys();
      if (first !== undefined && this.rows.size >= MAX_HOSTS) this.rows.delete(first);
      this.rows.set(key, new Map(counts));
    });
  }

  /** @example usage.countOf('north', route) // 120 */
  countOf(region: string, { host, prefix }: Pick<Route, 'host' | 'prefix'>): number {
    return this.rows.get(keyOf(region, host))?.get(prefix) ?? 0;
  }
}

function keyOf(region: string, host: string): string {
  return `${region} ${host}`;
}
