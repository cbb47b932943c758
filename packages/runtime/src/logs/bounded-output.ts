/**
 * Non-blocking output of log lines. Lines are buffered up to a size limit and written with one
 * write at a time, so that a slow reader neither blocks the process nor fills its memory.
 */
import { fstatSync, write, writeSync } from 'node:fs';
import { Socket } from 'node:net';

/** Limit of the buffer while a write is in progress; further lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Lines added within this time are written together. */
const FLUSH_MS = 100;
const STDOUT_FD = 1;

/** Writes bytes and then calls `done`, like `fs.write` with a file descriptor. */
export type WriteBytes = (bytes: Buffer, done: (err: Error | null) => void) => void;
/** Writes bytes before it returns, like `fs.writeSync` with a file descriptor. */
export type WriteBytesSync = (bytes: Buffer) => void;

export class BoundedOutput {
  private buffered: string[] = [];

  private bufferedBytes = 0;

  private writing = false;

  private droppedLines = 0;

  /** Called once when all lines are written. */
  private onWritten: (() => void) | undefined;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly writeBytes: WriteBytes = standardOutput(),
    // Asynchronous writes no longer complete once the process ends.
    // eslint-disable-next-line n/no-sync
    private readonly writeLast: WriteBytesSync = (bytes) => writeSync(STDOUT_FD, bytes),
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
    const bytes = this.take();
    if (!bytes) return;
    this.writing = true;
    this.writeBytes(bytes, () => {
      // A write error is ignored: the log output is the only place to report it.
      this.writing = false;
      if (this.buffered.length > 0) this.flush();
      else this.onWritten?.();
    });
  }

  /** Writes the buffered lines and waits until they are written, at most for a time, ms. */
  async drain(maxMs: number): Promise<void> {
    this.flush();
    if (!this.writing) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, maxMs);
      this.onWritten = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /**
   * Writes the buffered lines before the process ends, when asynchronous writes no longer complete.
   * Lines behind a stalled write are lost, as a reader that does not read would keep the process alive.
   */
  flushAtExit(): void {
    const bytes = this.take();
    if (!bytes) return;
    try {
      this.writeLast(bytes);
    } catch {
      // The log output is the only place to report it.
    }
  }

  /** Takes the buffered lines; undefined if there are none or a write is in progress. */
  private take(): Buffer | undefined {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.writing || this.buffered.length === 0) return undefined;
    const bytes = Buffer.from(`${this.buffered.join('\n')}\n`);
    this.buffered = [];
    this.bufferedBytes = 0;
    return bytes;
  }
}

/** Writes to standard output without a thread for a pipe or socket: the process can't end while a thread is in a write. */
function standardOutput(): WriteBytes {
  // A single call at the start.
  // eslint-disable-next-line n/no-sync
  const stats = fstatSync(STDOUT_FD);
  if (!stats.isFIFO() && !stats.isSocket()) {
    return (bytes, done) => write(STDOUT_FD, bytes, done);
  }
  const socket = new Socket({ fd: STDOUT_FD, readable: false, writable: true });
  // The write that fails gets the error as well.
  socket.on('error', () => undefined);
  return (bytes, done) => {
    socket.write(bytes, (err) => done(err ?? null));
  };
}
