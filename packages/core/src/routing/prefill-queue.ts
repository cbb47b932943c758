/**
 * Load pattern: prompts whose sizes have a heavy tail. An engine reads one prompt after the other. A
 * prompt that is being read holds up all others, whatever their priority; waiting prompts are read
 * by priority, then by arrival. The queue of a target is estimated from what was sent there and is
 * set right by the first bytes that arrive.
 */

/** A prompt that a target has to read. */
export interface QueuedPrompt {
  readonly id: string;
  /** Time that reading it takes, ms. */
  readonly workMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic ms. */
  readonly sentAt: number;
  /** Sent by this gateway, which sees the first byte. */
  readonly local: boolean;
}

/** A prompt that should have been read by now and has no first byte yet. */
interface UnconfirmedPrompt {
  readonly prompt: QueuedPrompt;
  readonly readAt: number;
}

/** Time from the end of the reading to the first byte. */
const FIRST_BYTE_MS = 45;
/** After twice that time a first byte is overdue. */
const FIRST_BYTE_SLACK_MS = 90;
/** Beyond this time the delay of a prompt says nothing of the queue any more. */
const MAX_OVERDUE_MS = 1500;

export class PrefillQueue {
  private reading: QueuedPrompt | undefined;

  private readingSince = 0;

  private waiting: QueuedPrompt[] = [];

  private readonly unconfirmed = new Map<string, UnconfirmedPrompt>();

  add(prompt: QueuedPrompt): void {
    this.advance(prompt.sentAt);
    if (this.reading) this.waiting.push(prompt);
    else this.startReading(prompt, prompt.sentAt);
  }

  /** The first byte of an own prompt arrived. */
  onFirstByte(id: string, now: number): void {
    this.advance(now);
    const unconfirmed = this.unconfirmed.get(id);
    if (unconfirmed) {
      this.unconfirmed.delete(id);
      this.delayReading(now - FIRST_BYTE_MS - unconfirmed.readAt, now);
      return;
    }
    const prompt = this.reading?.id === id ? this.reading : this.find(id);
    if (!prompt) return;
    // What other gateways sent before and what is read first must have been read as well.
    if (this.reading?.local === false) this.reading = undefined;
    this.waiting = this.waiting.filter((other) => other.local || !isBefore(other, prompt));
    this.drop(id);
    if (!this.reading) this.readNext(now - FIRST_BYTE_MS);
  }

  /** The request ended without a first byte, or never reached the target. */
  remove(id: string, now: number): void {
    this.advance(now);
    this.unconfirmed.delete(id);
    this.drop(id);
    if (!this.reading) this.readNext(now);
  }

  /**
   * Time until a prompt of this priority would be read, ms.
   *
   * @param priority 0 is the most urgent; prompts of the same priority are read in order
   * @example queue.waitMs(1, now)
   */
  waitMs(priority: number, now: number): number {
    this.advance(now);
    const ahead = this.waiting.filter((prompt) => prompt.priority <= priority);
    return this.remainingMs(now) + sumOf(ahead) + this.overdueMs(now);
  }

  /** Time until all prompts are read, ms. */
  backlogMs(now: number): number {
    return this.waitMs(Infinity, now);
  }

  private remainingMs(now: number): number {
    return this.reading ? Math.max(0, this.readingSince + this.reading.workMs - now) : 0;
  }

  /** How much longer than expected the target takes; as much again is expected to follow. */
  private overdueMs(now: number): number {
    const delays = [...this.unconfirmed.values()].map(
      ({ readAt }) => now - readAt - FIRST_BYTE_SLACK_MS,
    );
    return Math.max(0, ...delays.filter((ms) => ms < MAX_OVERDUE_MS));
  }

  /** Plays what the target has read until now. */
  private advance(now: number): void {
    const { reading } = this;
    if (!reading) return;
    const readAt = this.readingSince + reading.workMs;
    if (readAt > now) return;
    if (reading.local) this.unconfirmed.set(reading.id, { prompt: reading, readAt });
    this.reading = undefined;
    this.readNext(readAt);
    this.advance(now);
  }

  /** The prompt before the one that is read took longer than expected. */
  private delayReading(delayMs: number, now: number): void {
    if (delayMs > 0) this.readingSince = Math.min(now, this.readingSince + delayMs);
  }

  private readNext(at: number): void {
    const [first, ...others] = this.waiting;
    if (!first) return;
    const next = others.reduce((best, other) => (isBefore(other, best) ? other : best), first);
    this.waiting = this.waiting.filter((prompt) => prompt !== next);
    this.startReading(next, Math.max(at, next.sentAt));
  }

  private startReading(prompt: QueuedPrompt, at: number): void {
    this.reading = prompt;
    this.readingSince = at;
  }

  private find(id: string): QueuedPrompt | undefined {
    return this.waiting.find((prompt) => prompt.id === id);
  }

  private drop(id: string): void {
    if (this.reading?.id === id) this.reading = undefined;
    this.waiting = this.waiting.filter((prompt) => prompt.id !== id);
  }
}

function isBefore(a: QueuedPrompt, b: QueuedPrompt): boolean {
  return a.priority < b.priority || (a.priority === b.priority && a.sentAt < b.sentAt);
}

function sumOf(prompts: readonly QueuedPrompt[]): number {
  return prompts.reduce((sum, { workMs }) => sum + workMs, 0);
}
