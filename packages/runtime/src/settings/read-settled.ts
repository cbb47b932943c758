/** Reads settings whose file may be half written. */
import { setTimeout as delay } from 'node:timers/promises';

const RETRY_MS = 100;
const MAX_TRIES = 10;

/**
 * Reads settings, again for a second while they are not valid.
 *
 * @param read returns a result whose kind is `valid` when the settings can be used
 * @returns the first valid result, or else the last one
 * @example const result = await readSettled(() => readPlatformSettings(file, tuning))
 */
export async function readSettled<Result extends { readonly kind: string }>(
  read: () => Result,
  tries = MAX_TRIES,
): Promise<Result> {
  const result = read();
  if (result.kind === 'valid' || tries <= 1) return result;
  await delay(RETRY_MS);
  return readSettled(read, tries - 1);
}
