/** Estimates how long a request waited before the gateway read it. */
import type { Call } from '../exchange/call.js';

/** A request that is read within this time of the accept arrived with its connection. */
const FIRST_REQUEST_MS = 500;
/** Share of the longest possible wait that counts, as the wait itself is not known. */
const USUAL_SHARE = 0.5;
/** Largest share of its time-out that a request may lose by the estimate. */
const MAX_SHARE_OF_TIMEOUT = 0.25;

/**
 * Time that a request has used up of its time-out when it is read, ms.
 *
 * @param waitMs its time-out
 * @example usedBeforeReadMs({ connectionAgeMs: 40, acceptWaitMs: 600 }, 1500) // 300
 */
export function usedBeforeReadMs(
  { connectionAgeMs, acceptWaitMs }: Pick<Call, 'connectionAgeMs' | 'acceptWaitMs'>,
  waitMs: number,
): number {
  if (connectionAgeMs >= FIRST_REQUEST_MS) return 0;
  return Math.min(acceptWaitMs * USUAL_SHARE, waitMs * MAX_SHARE_OF_TIMEOUT);
}
