/** Which control daemon of a failure domain does what, by rendezvous hashing. */
import { rendezvousOrder } from '../rendezvous.js';

const WATCHERS_PER_DOMAIN = 2;
const PROBERS_PER_TARGET = 2;

/** Orders by list of live daemons; a daemon asks for those of all targets each second. */
const rankingsByList = new WeakMap<readonly string[], Map<string, readonly string[]>>();
/** Bounds the orders kept of one list; a failure domain has some hundred keys. */
const MAX_CACHED_KEYS = 2000;

/** The order of a key, hashed once for each list; lists are never modified. */
function rankingOf(key: string, live: readonly string[]): readonly string[] {
  const known = rankingsByList.get(live) ?? new Map<string, readonly string[]>();
  rankingsByList.set(live, known);
  const held = known.get(key);
  if (held) return held;
  if (known.size >= MAX_CACHED_KEYS) known.clear();
  const order = rendezvousOrder(key, live);
  known.set(key, order);
  return order;
}

function isAmongFirst(key: string, self: string, live: readonly string[], limit: number): boolean {
  return rankingOf(key, live).slice(0, limit).includes(self);
}

/**
 * Whether `self` holds a pending watch for its failure domain.
 *
 * @example isWatcher('north-1', 'a', ['a', 'b']) // true
 */
export function isWatcher(failureDomain: string, self: string, live: readonly string[]): boolean {
  return isAmongFirst(`watch/${failureDomain}`, self, live, WATCHERS_PER_DOMAIN);
}

/** Whether `self` publishes the summary of its failure domain. */
export function isSummaryPublisher(
  failureDomain: string,
  self: string,
  live: readonly string[],
): boolean {
  return isAmongFirst(`summary/${failureDomain}`, self, live, 1);
}

/** Rank of `self` among the probers of a target: 0, 1, or -1 for none. */
export function proberRank(vm: string, self: string, live: readonly string[]): number {
  return rankingOf(`probe/${vm}`, live).slice(0, PROBERS_PER_TARGET).indexOf(self);
}

/** The other prober of a target that `self` probes; undefined if there is none. */
export function otherProber(vm: string, self: string, live: readonly string[]): string | undefined {
  const probers = rendezvousOrder(`probe/${vm}`, live).slice(0, PROBERS_PER_TARGET);
  return probers.find((bootId) => bootId !== self);
}

/** Whether `self` sends the orders of a target. */
export function isOrderSender(vm: string, self: string, live: readonly string[]): boolean {
  return isAmongFirst(`orders/${vm}`, self, live, 1);
}
