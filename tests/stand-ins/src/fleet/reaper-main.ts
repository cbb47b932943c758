/**
 * Kills the processes of a fleet when the program that started them has ended. It reads lines of
 * `<pid> <start time>` from standard input, which closes when the program ends. The start time
 * detects a pid that has been reused by another process.
 */
import { createInterface } from 'node:readline';
import { startTimeOf } from './process-table.js';

const processes = new Map<number, string>();

// An interrupt must not end the reaper before it has killed the processes.
process.on('SIGINT', () => {});
createInterface({ input: process.stdin })
  .on('line', (line) => {
    const [pid = '', startTime = ''] = line.split(' ');
    processes.set(Number(pid), startTime);
  })
  .on('close', () => {
    processes.forEach((startTime, pid) => {
      if (startTimeOf(pid) === startTime) process.kill(pid, 'SIGKILL');
    });
  });
