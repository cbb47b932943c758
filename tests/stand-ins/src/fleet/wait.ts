/** Waits for a condition by asking again, with a bound. */
import { setTimeout as delay } from 'node:timers/promises';

const POLL_MS = 50;

/**
 * Asks until the answer is neither `undefined` nor `false`, and returns it.
 *
 * @throws Error that names the condition when it does not hold after `boundMs`
 * @example await waitFor('the engine is ready', () => isReady(address), 10_000)
 */
export async function waitFor<Value>(
  condition: string,
  ask: () => Promise<Value | undefined | false> | Value | undefined | false,
  boundMs: number,
): Promise<Value> {
  const endAt = performance.now() + boundMs;
  const attempt = async (): Promise<Value> => {
    const answer = await Promise.resolve()
      .then(ask)
      .catch(() => undefined);
    if (answer !== undefined && answer !== false) return answer;
    if (performance.now() > endAt) throw new Error(`after ${boundMs} ms still not: ${condition}`);
    await delay(POLL_MS);
    return attempt();
  };
  return attempt();
}
