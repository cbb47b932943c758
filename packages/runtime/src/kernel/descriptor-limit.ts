/** Reads how many descriptors the process may open. */
import { readFileSync } from 'node:fs';

const LIMITS_FILE = '/proc/self/limits';
/** The soft limit, which Node.js raises to the hard limit when it starts. */
const OPEN_FILES = /^Max open files\s+(\d+)/m;

/**
 * Limit of the open descriptors of the process; undefined if the operating system tells none. Never throws.
 *
 * @example readDescriptorLimit() // 1024
 */
export function readDescriptorLimit(file = LIMITS_FILE): number | undefined {
  try {
    // Blocking is acceptable: the file is in memory and is read at the start.
    // eslint-disable-next-line n/no-sync
    const limit = OPEN_FILES.exec(readFileSync(file, 'utf8'))?.[1];
    return limit === undefined ? undefined : Number(limit);
  } catch {
    return undefined;
  }
}
