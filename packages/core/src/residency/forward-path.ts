/** Rules for requests that one entry forwards to another; both sides check them. */

/** A process that a request has passed. */
export interface ForwardHop {
  readonly bootId: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** `key`: to the owner of an idempotency key; `load`: to a failure domain with capacity. */
export type ForwardReason = 'key' | 'load';

export type ForwardViolation =
  | { readonly kind: 'too-many-forwards'; readonly max: number }
  | { readonly kind: 'loop'; readonly at: string }
  | { readonly kind: 'second-region-crossing' }
  | { readonly kind: 'region-not-allowed'; readonly region: string };

export const MAX_FORWARDS = 2;

/**
 * Checks a forward to `to` of a request that has passed `visited`, the accepting entry first.
 *
 * @example checkForward([a], b, 'load', ['north']) // undefined when it is allowed
 */
export function checkForward(
  visited: readonly ForwardHop[],
  to: ForwardHop,
  reason: ForwardReason,
  allowed: readonly string[],
): ForwardViolation | undefined {
  if (visited.length > MAX_FORWARDS) return { kind: 'too-many-forwards', max: MAX_FORWARDS };
  const back = visited.some(
    (hop) =>
      hop.bootId === to.bootId || (reason === 'load' && hop.failureDomain === to.failureDomain),
  );
  if (back) return { kind: 'loop', at: to.failureDomain };
  const path = [...visited, to];
  const crossings = path.filter(
    (hop, index) => index > 0 && hop.region !== path[index - 1]?.region,
  );
  if (crossings.length > 1) return { kind: 'second-region-crossing' };
  const outside = path.find(({ region }) => !allowed.includes(region));
  return outside ? { kind: 'region-not-allowed', region: outside.region } : undefined;
}
