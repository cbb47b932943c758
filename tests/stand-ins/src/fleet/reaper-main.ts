/**
 * Ends the processes of a fleet when the program that started them is gone. It reads
 * `<pid> <start time>` lines; the end of its input means that the program has ended. The start
 * time guards against a pid that belongs to another process by then.
 */
import { createInterface } from 'node:readline';
import { startTimeOf } from './process-table.js';

const processes = new Map<number, string>();

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
