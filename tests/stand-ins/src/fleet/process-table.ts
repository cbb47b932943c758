/** Reads the kernel's table of processes. */
import { readFileSync } from 'node:fs';

const START_TIME_FIELD = 19;

/** Start time of a process in clock ticks since boot; undefined when there is no such process. */
export function startTimeOf(pid: number): string | undefined {
  try {
    // eslint-disable-next-line n/no-sync
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    // The second field is the name in brackets, which may hold spaces.
    return stat.slice(stat.lastIndexOf(')') + 2).split(' ')[START_TIME_FIELD];
  } catch {
    return undefined;
  }
}
