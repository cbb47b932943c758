/**
 * Non-blocking output of log lines. Lines are buffered up to a size limit and written with one
 * write at a time, so that a slow reader neither blocks the process nor fills its memory.
 */
import { write } from 'node:fs';

/** Limit of the buffer while a write is in progress; further lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Lines added within this time are written together. */
const FLUSH_MS = 100;
const STDOUT_FD = 1;

/** Writes bytes and then calls `done`, like `fs.write` with a file descriptor. */
export type WriteBytes = (bytes: Buffer, done: (err: Error | null) => void) => void;

export class BoundedOutput {
  private buffered: string[] = [];

  private bufferedBytes = 0;

  private writing = false;

  private droppedLines = 0;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly writeBytes: WriteBytes = (bytes, done) => write(STDOUT_FD, bytes, done),
  ) {}

  /** Number of lines dropped since the start. */
  get dropped(): number {
    return this.droppedLines;
  }

  /** Adds a line; the line break is added here. */
  add(line: string): void {
    if (this.bufferedBytes + line.length > MAX_BUFFERED_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.buffered.push(line);
    this.bufferedBytes += line.length + 1;
    this.timer ??= setTimeout(() => this.flush(), FLUSH_MS);
  }

  /** Writes the buffered lines now, or after the write in progress. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.writing || this.buffered.length === 0) return;
    const bytes = Buffer.from(`${this.buffered.join('\n')}\n`);
    this.buffered = [];
    this.bufferedBytes = 0;
    this.writing = true;
    this.writeBytes(bytes, () => {
      // A write error is ignored: the log output is the only place to report it.
      this.writing = false;
      if (this.buffered.length > 0) this.flush();
    });
  }
}
