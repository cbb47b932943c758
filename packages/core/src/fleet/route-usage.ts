/** Counts recent requests of callers by route, to tell which routes of a host they use. */
import type { Route } from './fleet-config.js';

type RouteKey = Pick<Route, 'host' | 'prefix'>;

/** Recent requests on the routes of a host, as one gateway counted them. */
export interface HostUsageRow {
  readonly host: string;
  readonly counts: readonly (readonly [prefix: string, count: number])[];
}

/** When a host reaches this count, the counts of its routes are halved, so that older requests count less. */
const MAX_REQUESTS_PER_HOST = 1000;
/** Limit of the hosts that are counted; the first one counted makes room for a new one. */
const MAX_HOSTS = 1000;

interface HostUsage {
  readonly total: number;
  /** By prefix. */
  readonly counts: Map<string, number>;
}

export class RouteUsage {
  private readonly hosts = new Map<string, HostUsage>();

  /** @example usage.onRequest(route) */
  onRequest({ host, prefix }: RouteKey): void {
    const { total, counts } = this.hosts.get(host) ?? this.makeRoom();
    counts.set(prefix, (counts.get(prefix) ?? 0) + 1);
    const usage = { total: total + 1, counts };
    this.hosts.set(host, usage.total < MAX_REQUESTS_PER_HOST ? usage : halved(usage));
  }

  /** @example usage.countOf(route) // 120 */
  countOf({ host, prefix }: RouteKey): number {
    return this.hosts.get(host)?.counts.get(prefix) ?? 0;
  }

  /**
   * Counts of hosts with at least `minRequests`, as they are told to other gateways.
   *
   * @example usage.rows(40) // [{ host: 'api.example', counts: [['/answers/', 120]] }]
   */
  rows(minRequests: number): HostUsageRow[] {
    return [...this.hosts]
      .filter(([, { total }]) => total >= minRequests)
      .map(([host, { counts }]) => ({ host, counts: [...counts] }));
  }

  private makeRoom(): HostUsage {
    const [first] = this.hosts.keys();
    if (first !== undefined && this.hosts.size >= MAX_HOSTS) this.hosts.delete(first);
    return { total: 0, counts: new Map() };
  }
}

function halved({ counts }: HostUsage): HostUsage {
  const halves = [...counts]
    .map(([prefix, count]) => [prefix, Math.floor(count / 2)] as const)
    .filter(([, count]) => count > 0);
  const total = halves.reduce((sum, [, count]) => sum + count, 0);
  return { total, counts: new Map(halves) };
}
