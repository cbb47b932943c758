/** Boot ids, which identify a process until it restarts. */
import { randomBytes } from 'node:crypto';

const RANDOM_BYTES = 12;
const BASE32 = 'abcdefghijklmnopqrstuvwxyz234567';

/**
 * Creates a boot id: 96 random bits in base32, then the start time in base 36. A process gets a new
 * one at each start. It contains no dot, since dots separate the parts of an idempotency key.
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
