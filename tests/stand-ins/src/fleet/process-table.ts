/** Reads process information from `/proc`. */
import { readFileSync } from 'node:fs';

/** Index of `starttime` among the fields that follow the process name in `/proc/<pid>/stat`. */
const START_TIME_FIELD = 19;

/** Start time of a process in clock ticks since boot; undefined when there is no such process. */
export function startTimeOf(pid: number): string | undefined {
  try {
    // eslint-disable-next-line n/no-sync
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    // The second field is the process name in parentheses, which may contain spaces.
    return stat.slice(stat.lastIndexOf(')') + 2).split(' ')[START_TIME_FIELD];
  } catch {
    return undefined;
  }
}
