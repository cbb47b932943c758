/** Addresses of a run: a loopback network and ports of its own. */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const HOST = 'ficu95.example';

const NET = 20 + Math.floor(Math.random() * 200);
export const BASE_PORT = 21000 + 20 * Math.floor(Math.random() * 500);

/** Address on the platform's network: part 0 has gateways, 1 runners, 2 the store. */
export const ip = (part, n) => `127.${NET}.${part}.${n}`;

export function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
