/** Polls a condition until it holds or a timeout passes. */
import { setTimeout as delay } from 'node:timers/promises';

const POLL_MS = 50;

/**
 * Calls `check` until it returns neither `undefined` nor `false`, and returns that value. An error
 * thrown by `check` counts as `undefined`.
 *
 * @throws Error that names the condition if it does not hold after `timeoutMs`
 * @example await waitFor('the engine is ready', () => isReady(address), 10_000)
 */
export async function waitFor<Value>(
  condition: string,
  check: () => Promise<Value | undefined | false> | Value | undefined | false,
  timeoutMs: number,
): Promise<Value> {
  const endAt = performance.now() + timeoutMs;
  const attempt = async (): Promise<Value> => {
    const value = await Promise.resolve()
      .then(check)
      .catch(() => undefined);
    if (value !== undefined && value !== false) return value;
    if (performance.now() > endAt)
      throw new Error(`timed out after ${timeoutMs} ms waiting for: ${condition}`);
    await delay(POLL_MS);
    return attempt();
  };
  return attempt();
}
