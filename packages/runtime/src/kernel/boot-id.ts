/** Identity of a process. */
import { randomBytes } from 'node:crypto';

const RANDOM_BYTES = 12;
const BASE32 = 'abcdefghijklmnopqrstuvwxyz234567';

/**
 * Makes a boot id: 96 random bits in base32 and the start time in base 36. A restarted process has
 * another one. It holds no dot, since a dot separates the parts of an idempotency key.
 *
 * @example makeBootId(1_800_000_000_000)
 */
export function makeBootId(wallMs: number): string {
  return `${base32(randomBytes(RANDOM_BYTES))}-${Math.round(wallMs).toString(36)}`;
}

function base32(bytes: Buffer): string {
  const bits = [...bytes].map((byte) => byte.toString(2).padStart(8, '0')).join('');
  return (bits.match(/.{1,5}/g) ?? [])
    .map((group) => BASE32[Number.parseInt(group.padEnd(5, '0'), 2)])
    .join('');
}
