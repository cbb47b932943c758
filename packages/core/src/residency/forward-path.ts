/** Rules for forwarding a request from one entry to another; sender and receiver check them. */

/** A process that has handled the request. */
export interface ForwardHop {
  readonly bootId: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** `key`: to the owner of an idempotency key; `load`: to a failure domain with free capacity. */
export type ForwardReason = 'key' | 'load';

export type ForwardViolation =
  | { readonly kind: 'too-many-forwards'; readonly max: number }
  | { readonly kind: 'loop'; readonly at: string }
  | { readonly kind: 'second-region-crossing' }
  | { readonly kind: 'region-not-allowed'; readonly region: string };

export const MAX_FORWARDS = 2;

/**
 * Checks whether a request may be forwarded to `to`. `visited` lists the processes that have handled
 * it, starting with the entry that accepted it.
 *
 * @example checkForward([a], b, 'load', ['north']) // undefined if allowed
 */
export function checkForward(
  visited: readonly ForwardHop[],
  to: ForwardHop,
  reason: ForwardReason,
  allowed: readonly string[],
): ForwardViolation | undefined {
  if (visited.length > MAX_FORWARDS) return { kind: 'too-many-forwards', max: MAX_FORWARDS };
  const revisits = visited.some(
    (hop) =>
      hop.bootId === to.bootId || (reason === 'load' && hop.failureDomain === to.failureDomain),
  );
  if (revisits) return { kind: 'loop', at: to.failureDomain };
  const path = [...visited, to];
  const crossings = path.filter(
    (hop, index) => index > 0 && hop.region !== path[index - 1]?.region,
  );
  if (crossings.length > 1) return { kind: 'second-region-crossing' };
  const disallowed = path.find(({ region }) => !allowed.includes(region));
  return disallowed ? { kind: 'region-not-allowed', region: disallowed.region } : undefined;
}
