/**
 * Idempotency keys have the format `<boot id>.<expiry, Unix seconds>.<nonce>`. The boot id names the
 * one process that may send the request to a target.
 */

/** A parsed key. Only the process with this boot id sends the request to a target. */
export interface IdempotencyKey {
  readonly text: string;
  readonly bootId: string;
  readonly expiresAtWallMs: number;
  readonly nonce: string;
}

const KEY_PATTERN = /^([a-z2-7]{20}-[0-9a-z]{6,12})\.(\d{10})\.([A-Za-z0-9_-]{8,64})$/;
const MS_PER_S = 1000;

/**
 * Parses the value of an `Idempotency-Key` header.
 *
 * @example parseIdempotencyKey('not a key') // undefined
 */
export function parseIdempotencyKey(text: string): IdempotencyKey | undefined {
  const [, bootId, expiry, nonce] = KEY_PATTERN.exec(text) ?? [];
  if (bootId === undefined || expiry === undefined || nonce === undefined) return undefined;
  return { text, bootId, expiresAtWallMs: Number(expiry) * MS_PER_S, nonce };
}

/**
 * Prefix of the keys whose requests the process with this boot id sends to targets.
 *
 * @example keyPrefix('boot') // 'boot.'
 */
export function keyPrefix(bootId: string): string {
  return `${bootId}.`;
}
