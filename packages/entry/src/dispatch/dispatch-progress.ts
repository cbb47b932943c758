/** State of one dispatch across its attempts. */
import type { AdmissionSlot } from '../admission/admission-slot.js';
import type { CallerResponse } from '../relay/caller-response.js';
import type { Call } from '../request/call.js';

/** Records whether a call's idempotency key was sent; does nothing for calls without a key. */
export interface KeySendTracker {
  /** Marks the key as sent; false forbids the write. */
  markSent(): boolean;
  /** Removes the mark after a failure that certainly occurred before the first byte was sent. */
  markUnsent(): void;
}

export class DispatchProgress {
  /** Targets and failure domains that failed this call. */
  readonly excluded = new Set<string>();

  private attemptCount = 0;

  private maybeRan = false;

  private keyMarkedSent = false;

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
    if (!this.keyMarkedSent) this.keyMarkedSent = this.key.markSent();
    return this.keyMarkedSent;
  }

  /** Removes the mark unless an earlier attempt may have run. */
  markUnsent(): void {
    if (!this.keyMarkedSent || this.maybeRan) return;
    this.keyMarkedSent = false;
    this.key.markUnsent();
  }
}
