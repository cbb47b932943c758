/** Binds an address that may not be available yet. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Logger } from '../logs/logger.js';

const RETRY_MS = 100;
/** A process that is asked to stop may hold its addresses for its whole grace period. */
const GIVE_UP_MS = 10_000;
/** Another socket has the port, or the machine does not have the address yet. */
const TRANSIENT_CODES: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/**
 * Calls `bind` until it succeeds or the address stays unavailable for ten seconds.
 *
 * @param address `ip:port`, for the log
 * @param isNeeded whether the address is still to be bound
 * @throws Error of the last try, or of the first one that another try would not mend
 * @example await bindWithRetry('10.0.0.7:7300', () => listenOn(server, 7300, '10.0.0.7'), log)
 */
export async function bindWithRetry(
  address: string,
  bind: () => Promise<void>,
  log?: Logger,
  isNeeded: () => boolean = () => true,
): Promise<void> {
  const startedAt = performance.now();
  const waitedMs = (): number => Math.round(performance.now() - startedAt);
  const tryAgain = async (tries: number): Promise<void> => {
    try {
      await bind();
      if (tries > 0) log?.info('address became available', { address, waited_ms: waitedMs() });
    } catch (err) {
      const { code } = err as NodeJS.ErrnoException;
      if (!TRANSIENT_CODES.has(code) || waitedMs() >= GIVE_UP_MS) throw err;
      if (tries === 0) log?.warn('address is not available yet', { address, err });
      await delay(RETRY_MS);
      if (isNeeded()) await tryAgain(tries + 1);
    }
  };
  await tryAgain(0);
}
