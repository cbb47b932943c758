/** Passes a response on in one write for each read of its connection. */
import type { IncomingMessage } from 'node:http';
import { continueReading, holdReading } from '@marjoramcart/runtime';
import type { CallerResponse } from './caller-response.js';

/**
 * Joins the pieces that arrive in one read of a connection, since each write that waits for a slow
 * caller costs some hundred bytes, and events may have a few bytes only.
 */
export class BatchedWriter {
  private pieces: Buffer[] = [];

  private waitsForDrain = false;

  /** @example new BatchedWriter(res, response).write(chunk) */
  constructor(
    private readonly res: IncomingMessage,
    private readonly response: CallerResponse,
  ) {}

  write(piece: Buffer): void {
    this.pieces.push(piece);
    // Runs after all pieces of this read, and before the event loop goes on.
    if (this.pieces.length === 1) process.nextTick(() => this.flush());
  }

  /** Writes what has arrived, and stops reading while the caller reads slower than the target sends. */
  flush(): void {
    const [only] = this.pieces;
    if (!only) return;
    const batch = this.pieces.length === 1 ? only : Buffer.concat(this.pieces);
    this.pieces = [];
    if (this.response.write(batch) || this.waitsForDrain) return;
    this.waitsForDrain = true;
    holdReading(this.res);
    this.response.onDrain(() => {
      this.waitsForDrain = false;
      continueReading(this.res);
    });
  }
}
