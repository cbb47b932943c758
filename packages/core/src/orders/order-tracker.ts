/**
 * Tracks the orders that this process has sent: at most one is in flight per target, each with a
 * fencing number and a validity period.
 */
import { fencingNumber, revisionOfFencing } from './fencing.js';
import type { ObservedEngine } from './engine-state.js';
import type { EngineOrder } from './order-step.js';

/** Time after sending within which an engine may start to execute an order. */
export const ORDER_VALIDITY_MS = 10_000;
/** A failed load is retried on one target after this time. */
export const FAILED_LOAD_RETRY_MS = 600_000;
/** No order is based on an observation older than this, as the engine may have changed since. */
const MAX_OBSERVATION_AGE_MS = 1500;

interface SentOrder {
  readonly fencing: number;
  readonly order: EngineOrder;
  readonly validUntil: number;
}

export type NextFencing =
  | { readonly kind: 'number'; readonly fencing: number }
  /** The engine has accepted an order of a newer configuration than this process has. */
  | { readonly kind: 'newer-revision'; readonly revision: number };

export class OrderTracker {
  private readonly sent = new Map<string, SentOrder>();

  private readonly highestFencing = new Map<string, number>();

  private notBeforeMs = -Infinity;

  /** Ignores observations from before this time; called after a pause of the process. */
  discardObservationsBefore(nowMs: number): void {
    this.notBeforeMs = nowMs;
  }

  /** Whether an observation is recent enough to base an order on. */
  isObservationCurrent({ observedAt }: Pick<ObservedEngine, 'observedAt'>, nowMs: number): boolean {
    return observedAt >= this.notBeforeMs && nowMs - observedAt <= MAX_OBSERVATION_AGE_MS;
  }

  /**
   * Whether an order to the target may still take effect. It is no longer in flight once the engine
   * reports the effect or the order's validity has ended.
   */
  inFlight(vm: string, engine: ObservedEngine, nowMs: number): boolean {
    const sent = this.sent.get(vm);
    if (!sent) return false;
    const ended = nowMs >= sent.validUntil || hasTakenEffect(engine, sent.order);
    if (ended) this.sent.delete(vm);
    return !ended;
  }

  /** Fencing number of the next order, above all that the engine or this process has seen so far. */
  nextFencing(vm: string, revision: number, engine: ObservedEngine): NextFencing {
    const highest = Math.max(engine.highestFencing, this.highestFencing.get(vm) ?? 0);
    const seenRevision = revisionOfFencing(highest);
    if (seenRevision > revision) return { kind: 'newer-revision', revision: seenRevision };
    const step = seenRevision === revision ? highest - fencingNumber(revision, 0) + 1 : 1;
    return { kind: 'number', fencing: fencingNumber(revision, step) };
  }

  /** Records an order that is about to be sent. */
  recordSent(vm: string, fencing: number, order: EngineOrder, nowMs: number): void {
    this.sent.set(vm, { fencing, order, validUntil: nowMs + ORDER_VALIDITY_MS });
    this.highestFencing.set(vm, Math.max(fencing, this.highestFencing.get(vm) ?? 0));
  }

  /** Records that an engine rejected an order, as it has accepted a higher fencing number. */
  recordRejected(vm: string, highestFencing: number): void {
    this.sent.delete(vm);
    this.highestFencing.set(vm, Math.max(highestFencing, this.highestFencing.get(vm) ?? 0));
  }
}

function hasTakenEffect(engine: ObservedEngine, order: EngineOrder): boolean {
  const current = engine.models.find(
    ({ model, version }) => model === order.model && version === order.version,
  );
  if (order.kind === 'set-role') return engine.role === order.role;
  if (order.kind === 'unload') return current === undefined;
  const complete = order.adapters.every((adapter) => current?.adapters.includes(adapter));
  return (
    current !== undefined &&
    (current.state === 'loading' || (current.state === 'ready' && complete))
  );
}
