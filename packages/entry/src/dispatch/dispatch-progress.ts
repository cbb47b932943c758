/** State of one dispatch over its attempts. */
import type { AdmissionSlot } from '../admission/home-place.js';
import type { CallerResponse } from '../relay/answer.js';
import type { Call } from '../request/call.js';

/** Checks of the call's idempotency key; calls without a key have none. */
export interface KeySendTracker {
  /** Marks the key as sent; false forbids the write. */
  markSent(): boolean;
  /** Takes the mark back after a failure that is certain to lie before the first byte. */
  markUnsent(): void;
}

export class DispatchProgress {
  /** Targets and failure domains that failed this call. */
  readonly excluded = new Set<string>();

  private attemptCount = 0;

  private maybeRan = false;

  private marked = false;

  constructor(
    readonly call: Call,
    readonly response: CallerResponse,
    private readonly key: KeySendTracker,
    readonly admissionSlot: AdmissionSlot,
    readonly signal: AbortSignal,
    readonly onEvents: (events: number) => void,
  ) {}

  get attempts(): number {
    return this.attemptCount;
  }

  /** Whether an attempt may have reached a target. */
  get sent(): boolean {
    return this.maybeRan;
  }

  onAttempt(): void {
    this.attemptCount += 1;
  }

  onSent(): void {
    this.maybeRan = true;
  }

  /** Marks the key before the first write; later attempts of a repeatable call keep the mark. */
  markSent(): boolean {
    if (!this.marked) this.marked = this.key.markSent();
    return this.marked;
  }

  /** Takes the mark back, unless an earlier attempt may have run. */
  markUnsent(): void {
    if (!this.marked || this.maybeRan) return;
    this.marked = false;
    this.key.markUnsent();
  }
}
