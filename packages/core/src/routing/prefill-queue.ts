/**
 * Estimates the prefill queue of a target from the prompts that were sent there, corrected by the
 * first bytes that arrive. An engine prefills one prompt at a time: the running prefill delays all
 * others, whatever their priority; queued prompts are ordered by priority, then by arrival.
 */

/** A prompt that a target has to prefill. */
export interface QueuedPrompt {
  readonly id: string;
  /** Expected prefill time, ms. */
  readonly workMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic ms. */
  readonly sentAt: number;
  /** Sent by this gateway, which therefore sees its first byte. */
  readonly local: boolean;
}

/** A prompt whose prefill should be complete by now but whose first byte has not arrived. */
interface UnconfirmedPrompt {
  readonly prompt: QueuedPrompt;
  readonly prefilledAt: number;
}

/** Time from the end of the prefill to the first byte. */
const PREFILL_TO_FIRST_BYTE_MS = 45;
/** A first byte is overdue after twice that time. */
const FIRST_BYTE_OVERDUE_MS = 90;
/** A longer delay of a prompt is ignored, since it no longer indicates a delay of the queue. */
const MAX_OVERDUE_MS = 1500;

export class PrefillQueue {
  private running: QueuedPrompt | undefined;

  private runningSince = 0;

  private waiting: QueuedPrompt[] = [];

  private readonly unconfirmed = new Map<string, UnconfirmedPrompt>();

  add(prompt: QueuedPrompt): void {
    this.advance(prompt.sentAt);
    if (this.running) this.waiting.push(prompt);
    else this.startPrefill(prompt, prompt.sentAt);
  }

  /** Handles the first byte of a prompt that this gateway sent. */
  onFirstByte(id: string, now: number): void {
    this.advance(now);
    const unconfirmed = this.unconfirmed.get(id);
    if (unconfirmed) {
      this.unconfirmed.delete(id);
      this.delayRunning(now - PREFILL_TO_FIRST_BYTE_MS - unconfirmed.prefilledAt, now);
      return;
    }
    const prompt = this.running?.id === id ? this.running : this.findWaiting(id);
    if (!prompt) return;
    // Prompts of other gateways that are ahead in the queue must be complete as well.
    if (this.running?.local === false) this.running = undefined;
    this.waiting = this.waiting.filter((other) => other.local || !isBefore(other, prompt));
    this.drop(id);
    if (!this.running) this.startNext(now - PREFILL_TO_FIRST_BYTE_MS);
  }

  /** Removes a request that ended without a first byte or never reached the target. */
  remove(id: string, now: number): void {
    this.advance(now);
    this.unconfirmed.delete(id);
    this.drop(id);
    if (!this.running) this.startNext(now);
  }

  /**
   * Time until the prefill of a new prompt of this priority would start, ms.
   *
   * @param priority 0 is the most urgent; prompts of the same priority are served in order of arrival
   * @example queue.waitMs(1, now)
   */
  waitMs(priority: number, now: number): number {
    this.advance(now);
    const ahead = this.waiting.filter((prompt) => prompt.priority <= priority);
    return this.remainingMs(now) + totalWorkMs(ahead) + this.overdueMs(now);
  }

  /** Time until all prompts are prefilled, ms. */
  backlogMs(now: number): number {
    return this.waitMs(Infinity, now);
  }

  private remainingMs(now: number): number {
    return this.running ? Math.max(0, this.runningSince + this.running.workMs - now) : 0;
  }

  /** Current delay of an overdue first byte; the rest of the queue is expected to be delayed as much. */
  private overdueMs(now: number): number {
    const delays = [...this.unconfirmed.values()].map(
      ({ prefilledAt }) => now - prefilledAt - FIRST_BYTE_OVERDUE_MS,
    );
    return Math.max(0, ...delays.filter((ms) => ms < MAX_OVERDUE_MS));
  }

  /** Advances the simulated queue to the given time. */
  private advance(now: number): void {
    const { running } = this;
    if (!running) return;
    const prefilledAt = this.runningSince + running.workMs;
    if (prefilledAt > now) return;
    if (running.local) this.unconfirmed.set(running.id, { prompt: running, prefilledAt });
    this.running = undefined;
    this.startNext(prefilledAt);
    this.advance(now);
  }

  /** Postpones the running prefill because the previous one took longer than expected. */
  private delayRunning(delayMs: number, now: number): void {
    if (delayMs > 0) this.runningSince = Math.min(now, this.runningSince + delayMs);
  }

  private startNext(at: number): void {
    const [first, ...others] = this.waiting;
    if (!first) return;
    const next = others.reduce((best, other) => (isBefore(other, best) ? other : best), first);
    this.waiting = this.waiting.filter((prompt) => prompt !== next);
    this.startPrefill(next, Math.max(at, next.sentAt));
  }

  private startPrefill(prompt: QueuedPrompt, at: number): void {
    this.running = prompt;
    this.runningSince = at;
  }

  private findWaiting(id: string): QueuedPrompt | undefined {
    return this.waiting.find((prompt) => prompt.id === id);
  }

  private drop(id: string): void {
    if (this.running?.id === id) this.running = undefined;
    this.waiting = this.waiting.filter((prompt) => prompt.id !== id);
  }
}

function isBefore(a: QueuedPrompt, b: QueuedPrompt): boolean {
  return a.priority < b.priority || (a.priority === b.priority && a.sentAt < b.sentAt);
}

function totalWorkMs(prompts: readonly QueuedPrompt[]): number {
  return prompts.reduce((sum, { workMs }) => sum + workMs, 0);
}
