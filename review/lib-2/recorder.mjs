/** What was sent, answered and run, with times in ms since the start. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

export class Recorder {
  startedAt = Date.now();

  lines = [];

  add(text) {
    this.lines.push(`${String(Date.now() - this.startedAt).padStart(7)} ${text}`);
  }

  write(folder) {
    return writeFile(join(folder, 'record.txt'), `${this.lines.join('\n')}\n`);
  }
}
