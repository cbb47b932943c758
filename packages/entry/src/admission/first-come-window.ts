/** Window of running requests with a first-come-first-served queue before it. */
import type {
  AdmissionController,
  AdmissionDecision,
  AdmissionOutcome,
  AdmissionRequest,
} from '@marjoramcart/core';

const MAX_QUEUED = 2000;
const MAX_QUEUED_PER_CUSTOMER = 64;
const SMOOTHING = 0.1;

export class FirstComeWindow implements AdmissionController {
  private readonly waiting: AdmissionRequest[] = [];

  private readonly active = new Map<string, { readonly startedAt: number }>();

  /** Smoothed time that a request holds its place, ms. */
  private holdMs = 0;

  constructor(private window: number) {}

  get running(): number {
    return this.active.size;
  }

  get queuedCount(): number {
    return this.waiting.length;
  }

  offer(req: AdmissionRequest, now: number): AdmissionDecision {
    if (req.deadlineAt <= now) return { kind: 'refused', reason: 'expired' };
    if (this.active.size < this.window && this.waiting.length === 0) {
      this.active.set(req.id, { startedAt: now });
      return { kind: 'admitted' };
    }
    const own = this.waiting.filter(({ customer }) => customer === req.customer).length;
    if (own >= MAX_QUEUED_PER_CUSTOMER || this.waiting.length >= MAX_QUEUED) {
      return { kind: 'refused', reason: 'queue-full' };
    }
    if (now + this.expectedWait(this.waiting.length) > req.deadlineAt) {
      return { kind: 'refused', reason: 'deadline-unreachable' };
    }
    this.waiting.push(req);
    return { kind: 'queued' };
  }

  release(id: string, _outcome: AdmissionOutcome, now: number): readonly AdmissionRequest[] {
    const held = this.active.get(id);
    if (held) {
      const heldMs = now - held.startedAt;
      this.holdMs += (heldMs - this.holdMs) * SMOOTHING;
      this.active.delete(id);
    }
    return this.admit(now);
  }

  cancel(id: string): void {
    const index = this.waiting.findIndex((req) => req.id === id);
    if (index !== -1) this.waiting.splice(index, 1);
  }

  resize(window: number, now: number): readonly AdmissionRequest[] {
    this.window = window;
    return this.admit(now);
  }

  expire(now: number): readonly AdmissionRequest[] {
    const late = this.waiting.filter(({ deadlineAt }) => deadlineAt <= now);
    late.forEach(({ id }) => this.cancel(id));
    return late;
  }

  private admit(now: number): AdmissionRequest[] {
    const room = Math.max(0, this.window - this.active.size);
    const admitted = this.waiting.splice(0, room);
    admitted.forEach(({ id }) => this.active.set(id, { startedAt: now }));
    return admitted;
  }

  private expectedWait(ahead: number): number {
    return ((ahead + 1) / Math.max(1, this.window)) * this.holdMs;
  }
}
