/**
 * Log of the requests that a target ran, in JSON lines. Scenarios read it to check how often a
 * request was executed.
 */
import { appendFileSync, existsSync, readFileSync } from 'node:fs';

/** One line of a run log. */
export interface RunRecord {
  readonly event: 'started' | 'finished' | 'cancelled';
  /** Unix time, ms. */
  readonly at: number;
  readonly vm: string;
  /** Marker of the request; empty when it has none. */
  readonly marker: string;
  readonly path: string;
  readonly [field: string]: unknown;
}

export class RunLog {
  constructor(
    private readonly file: string,
    private readonly vm: string,
  ) {}

  /** Appends a line synchronously, so that it is not lost when the process crashes right after. */
  write(record: Omit<RunRecord, 'at' | 'vm'> & Pick<RunRecord, 'event' | 'marker' | 'path'>): void {
    // eslint-disable-next-line n/no-sync
    appendFileSync(this.file, `${JSON.stringify({ at: Date.now(), vm: this.vm, ...record })}\n`);
  }
}

/** Reads a run log; a missing file counts as an empty log. */
export function readRunLog(file: string): RunRecord[] {
  // eslint-disable-next-line n/no-sync
  if (!existsSync(file)) return [];
  // eslint-disable-next-line n/no-sync
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as RunRecord);
}

/**
 * Marker of a request: the word after `marker:` in its text.
 *
 * @example markerOf('please book, marker:m-17') // 'm-17'
 */
export function markerOf(text: string): string {
  return /marker:([\w-]+)/.exec(text)?.[1] ?? '';
}
