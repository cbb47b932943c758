/** Output of log lines that never blocks the process: bounded in memory, written by one write at a time. */
import { write } from 'node:fs';

/** Held while an earlier write is under way; what does not fit is dropped and counted. */
const MAX_HELD_BYTES = 256 * 1024;
/** Lines of this time are written together. */
const FLUSH_MS = 100;
const STDOUT_FD = 1;

/** Writes bytes to a file descriptor, as `fs.write` does. */
export type WriteBytes = (bytes: Buffer, done: (err: Error | null) => void) => void;

export class BoundedOutput {
  private held: string[] = [];

  private heldBytes = 0;

  private writing = false;

  private droppedLines = 0;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly writeBytes: WriteBytes = (bytes, done) => write(STDOUT_FD, bytes, done),
  ) {}

  /** Lines dropped since the start. */
  get dropped(): number {
    return this.droppedLines;
  }

  /** Adds a line, without its end. */
  add(line: string): void {
    if (this.heldBytes + line.length > MAX_HELD_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.held.push(line);
    this.heldBytes += line.length + 1;
    this.timer ??= setTimeout(() => this.flush(), FLUSH_MS);
  }

  /** Writes what is held, unless a write is under way; then it follows that write. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.writing || this.held.length === 0) return;
    const bytes = Buffer.from(`${this.held.join('\n')}\n`);
    this.held = [];
    this.heldBytes = 0;
    this.writing = true;
    this.writeBytes(bytes, () => {
      // There is no place left to report a failure of the log output to.
      this.writing = false;
      if (this.held.length > 0) this.flush();
    });
  }
}
