/** Orders that this process has sent: one in flight per target, fencing and validity. */
import { fencingNumber, revisionOfFencing } from './fencing.js';
import type { ObservedEngine } from './engine-state.js';
import type { EngineOrder } from './order-step.js';

/** How long an engine may take up an order after it was sent. */
export const ORDER_VALIDITY_MS = 10_000;
/** A failed load is tried again on one target after this time. */
export const FAILED_LOAD_RETRY_MS = 600_000;
/** An observation older than this says too little about the engine to order anything. */
const MAX_OBSERVATION_AGE_MS = 1500;

interface SentOrder {
  readonly fencing: number;
  readonly order: EngineOrder;
  readonly validUntil: number;
}

export type NextFencing =
  | { readonly kind: 'number'; readonly fencing: number }
  /** The engine follows a newer configuration than this process has. */
  | { readonly kind: 'newer-revision'; readonly revision: number };

export class OrderTracker {
  private readonly sent = new Map<string, SentOrder>();

  private readonly highestFencing = new Map<string, number>();

  private pausedAt = -Infinity;

  /** After a pause, only observations made since then count. */
  discardObservationsBefore(nowMs: number): void {
    this.pausedAt = nowMs;
  }

  /** Whether an observation is recent enough to order on. */
  isObservationCurrent({ observedAt }: Pick<ObservedEngine, 'observedAt'>, nowMs: number): boolean {
    return observedAt >= this.pausedAt && nowMs - observedAt <= MAX_OBSERVATION_AGE_MS;
  }

  /**
   * Whether an order to the target may still take effect. It ends when the engine shows the effect
   * or when its validity is over.
   */
  inFlight(vm: string, engine: ObservedEngine, nowMs: number): boolean {
    const sent = this.sent.get(vm);
    if (!sent) return false;
    const over = nowMs >= sent.validUntil || shows(engine, sent.order);
    if (over) this.sent.delete(vm);
    return !over;
  }

  /** Fencing number of the next order, above all that the engine or this process has seen. */
  nextFencing(vm: string, revision: number, engine: ObservedEngine): NextFencing {
    const highest = Math.max(engine.highestFencing, this.highestFencing.get(vm) ?? 0);
    const seenRevision = revisionOfFencing(highest);
    if (seenRevision > revision) return { kind: 'newer-revision', revision: seenRevision };
    const step = seenRevision === revision ? highest - fencingNumber(revision, 0) + 1 : 1;
    return { kind: 'number', fencing: fencingNumber(revision, step) };
  }

  /** Notes an order that is about to be sent. */
  recordSent(vm: string, fencing: number, order: EngineOrder, nowMs: number): void {
    this.sent.set(vm, { fencing, order, validUntil: nowMs + ORDER_VALIDITY_MS });
    this.highestFencing.set(vm, Math.max(fencing, this.highestFencing.get(vm) ?? 0));
  }

  /** Notes that an engine refused an order because it has accepted a higher number. */
  recordRefused(vm: string, highestFencing: number): void {
    this.sent.delete(vm);
    this.highestFencing.set(vm, Math.max(highestFencing, this.highestFencing.get(vm) ?? 0));
  }
}

function shows(engine: ObservedEngine, order: EngineOrder): boolean {
  const held = engine.models.find(
    ({ model, version }) => model === order.model && version === order.version,
  );
  if (order.kind === 'set-role') return engine.role === order.role;
  if (order.kind === 'unload') return held === undefined;
  const complete = order.adapters.every((adapter) => held?.adapters.includes(adapter));
  return held !== undefined && (held.state === 'loading' || (held.state === 'ready' && complete));
}
