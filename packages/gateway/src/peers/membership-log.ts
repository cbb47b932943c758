/** Logs changes among the other gateways: one line per check, with a limited number of names. */
import type { GatewayRecord } from '@marjoramcart/core';
import type { Logger } from '@marjoramcart/runtime';

const MAX_NAMES = 8;

/** What a line says about a gateway. */
type Seen = Pick<GatewayRecord, 'bootAt' | 'phase'>;

export class MembershipLog {
  private seen: ReadonlyMap<string, Seen> = new Map();

  constructor(private readonly log: Logger) {}

  /**
   * Logs which gateways appeared, were lost, restarted or changed their phase since the last check.
   *
   * @param silentMs time since the last heartbeat of a gateway
   */
  check(alive: readonly GatewayRecord[], silentMs: (node: string) => number): void {
    const before = this.seen;
    const isSame = ({ node, bootAt, phase }: GatewayRecord): boolean => {
      const known = before.get(node);
      return known?.phase === phase && known.bootAt === bootAt;
    };
    if (alive.length === before.size && alive.every(isSame)) return;
    this.seen = new Map(alive.map(({ node, bootAt, phase }) => [node, { bootAt, phase }]));
    const discovered = alive.filter(({ node }) => !before.has(node)).map(({ node }) => node);
    const changed = alive
      .filter((record) => before.has(record.node) && !isSame(record))
      .map(({ node, phase }) => `${node} ${phase}`);
    const lost = [...before.keys()].filter((node) => !this.seen.has(node));
    if (discovered.length + changed.length > 0) {
      this.log.info('gateways changed', {
        ...named('discovered', discovered),
        ...named('changed', changed),
        alive: alive.length,
      });
    }
    if (lost.length > 0) {
      const silent = lost.map((node) => `${node} ${Math.round(silentMs(node))}`);
      this.log.warn('gateways lost', { ...named('lost', silent), alive: alive.length });
    }
  }
}

/** Number and first names of some gateways. */
function named(key: string, nodes: readonly string[]): Record<string, unknown> {
  if (nodes.length === 0) return {};
  return { [key]: nodes.length, [`${key}_first`]: nodes.slice(0, MAX_NAMES).join(', ') };
}
