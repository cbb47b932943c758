/** Bounds the time that bodies in tiny chunks take up in one turn of the event loop. */
import type { IncomingMessage } from 'node:http';
import { continueReading, holdReading } from './hold-reading.js';

export const PacerLimits = {
  /** A body is paced once it has had more pieces than this with a mean size below `TinyBytes`. */
  FreePieces: 512,
  TinyBytes: 64,
  /**
   * Paced bodies that may be read at the same time. A read has up to 64 KiB, some 11,000 one-byte
   * chunks.
   */
  MaxReading: 1,
  /** Pause of a body after a turn in which nothing could be read, ms; doubled after each further one. */
  FirstPauseMs: 10,
  /** Bodies that stall cost the process at most one turn in this time each, ms. */
  MaxPauseMs: 640,
} as const;

interface Wait {
  /** Time for which a body waited for turns in which there was something to read, ms. */
  readonly totalMs: number;
  /** Since when it waits for a turn, ms. */
  readonly since?: number;
  /** How long it waited for the turn that it has, ms. */
  readonly turnMs?: number;
}

/**
 * Reads paced bodies one after the other, one read of the connection each. A turn ends with the next poll
 * of the connections, also when nothing was read.
 */
export class BodyPacer {
  private readonly waiting = new Set<IncomingMessage>();

  /** Bodies that may be read, with what ends their turns. */
  private readonly reading = new Map<IncomingMessage, NodeJS.Immediate>();

  /** Bodies whose last turn was in vain, with the timers after which they wait for the next one. */
  private readonly pausing = new Map<IncomingMessage, NodeJS.Timeout>();

  /** Last pause of each body that has received nothing since, ms. */
  private readonly pauses = new WeakMap<IncomingMessage, number>();

  private readonly waits = new WeakMap<IncomingMessage, Wait>();

  private scheduled = false;

  /** Number of paced bodies. */
  get size(): number {
    return this.waiting.size + this.reading.size + this.pausing.size;
  }

  /**
   * Called for each piece of a body.
   *
   * @param pieces number of pieces so far
   * @param bytes size of all pieces so far
   * @example pacer.onPiece(req, pieces, size)
   */
  onPiece(msg: IncomingMessage, pieces: number, bytes: number): void {
    if (this.waiting.has(msg) || this.pausing.has(msg)) return;
    const isReading = this.reading.has(msg);
    if (!isReading && (pieces <= PacerLimits.FreePieces || bytes >= pieces * PacerLimits.TinyBytes))
      return;
    this.pauses.delete(msg);
    this.endTurn(msg);
    holdReading(msg);
    this.queue(msg);
  }

  /** Time for which a body was not read although its client may have sent more, ms. */
  waitedMs(msg: IncomingMessage): number {
    const { totalMs, since, turnMs = 0 } = this.waits.get(msg) ?? { totalMs: 0 };
    return totalMs + (since === undefined ? turnMs : performance.now() - since);
  }

  /** Forgets a body that is not read any more. */
  remove(msg: IncomingMessage): void {
    this.waiting.delete(msg);
    clearTimeout(this.pausing.get(msg));
    this.pausing.delete(msg);
    this.endTurn(msg);
    if (this.waiting.size > 0) this.schedule();
  }

  private endTurn(msg: IncomingMessage): void {
    clearImmediate(this.reading.get(msg));
    this.reading.delete(msg);
  }

  /** Starts the next turns after the other events of this turn of the event loop. */
  private schedule(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    setImmediate(() => {
      this.scheduled = false;
      this.startTurns();
    });
  }

  private startTurns(): void {
    const free = Math.max(0, PacerLimits.MaxReading - this.reading.size);
    [...this.waiting].slice(0, free).forEach((msg) => {
      this.waiting.delete(msg);
      const totalMs = this.waits.get(msg)?.totalMs ?? 0;
      this.waits.set(msg, { totalMs, turnMs: this.waitedMs(msg) - totalMs });
      // Runs after the next poll, in which a body that has something to read receives it.
      this.reading.set(
        msg,
        setImmediate(() => this.pause(msg)),
      );
      continueReading(msg);
    });
  }

  private queue(msg: IncomingMessage): void {
    this.waiting.add(msg);
    this.waits.set(msg, { totalMs: this.waitedMs(msg), since: performance.now() });
    this.schedule();
  }

  /** Ends a turn in which nothing was read: the client had sent nothing while the body waited for it. */
  private pause(msg: IncomingMessage): void {
    this.endTurn(msg);
    holdReading(msg);
    this.waits.set(msg, { totalMs: this.waits.get(msg)?.totalMs ?? 0 });
    const before = this.pauses.get(msg);
    const pauseMs = before
      ? Math.min(2 * before, PacerLimits.MaxPauseMs)
      : PacerLimits.FirstPauseMs;
    this.pauses.set(msg, pauseMs);
    const timer = setTimeout(() => {
      this.pausing.delete(msg);
      this.queue(msg);
    }, pauseMs);
    this.pausing.set(msg, timer);
    if (this.waiting.size > 0) this.schedule();
  }
}

/** Shared by all bodies of the process, as they share its event loop. */
export const bodyPacer = new BodyPacer();
