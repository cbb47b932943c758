/**
 * Makes callers wait until the process has polled its sockets, and lets them pass in order.
 *
 * Node.js reads the end of a connection in the iteration of its event loop after the one in which it reads
 * what came before. A request that is handled as soon as it is read may have been abandoned long ago.
 */

/** Time after which those that are left wait for another poll. */
const SLICE_MS = 100;
/** Longest time for which turns wait while connections are accepted. */
const ACCEPT_MS = 50;

export interface TurnQueueOptions {
  /** Whether connections have waited for so long to be accepted that they go first. */
  readonly isBacklogLate?: () => boolean;
  /** Called when they were accepted for `ACCEPT_MS` and more are left. */
  readonly onBacklogLeft?: () => void;
}

export class TurnQueue {
  /** Callers since the latest poll. */
  private arrived: (() => void)[] = [];

  /** Callers for whom the process has polled. */
  private ready: (() => void)[] = [];

  private scheduled = false;

  constructor(private readonly options: TurnQueueOptions = {}) {}

  /**
   * Resolves when it is the turn of the caller. Of all connections whose end had arrived by the time of the
   * call, the end has been read then, and no longer ago than a slice and the events of one poll take.
   *
   * @example
   * await turns.next();
   * if (req.socket.readableEnded) return;
   */
  next(): Promise<void> {
    return new Promise((resolve) => {
      this.arrived.push(resolve);
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    // Immediates run after the events of a poll.
    setImmediate(() => this.startSlice(performance.now() + ACCEPT_MS));
  }

  /** Lets connections that have waited for long be accepted: without turns the polls follow each other at once. */
  private startSlice(acceptUntil: number): void {
    const now = performance.now();
    const isLate = this.options.isBacklogLate?.() === true;
    if (isLate && now < acceptUntil) {
      setImmediate(() => this.startSlice(acceptUntil));
      return;
    }
    if (isLate) this.options.onBacklogLeft?.();
    this.takeTurns(now + SLICE_MS);
  }

  private takeTurns(endAt: number): void {
    const isOver = this.ready.length === 0 || performance.now() >= endAt;
    if (isOver) {
      this.endSlice();
      return;
    }
    this.ready.shift()?.();
    // What this turn does, and what it schedules for the next tick, comes before the next turn.
    queueMicrotask(() => process.nextTick(() => this.takeTurns(endAt)));
  }

  private endSlice(): void {
    this.ready = [...this.ready, ...this.arrived];
    this.arrived = [];
    this.scheduled = false;
    if (this.ready.length > 0) this.schedule();
  }
}
