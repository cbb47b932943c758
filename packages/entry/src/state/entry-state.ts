/** The entry's view of the fleet: the latest snapshot and view of its control daemon. */
import {
  ResultCodes,
  allowedRegionsById,
  applyDelta,
  applyViewChanges,
  viewOfSnapshot,
  type ConfigView,
  type DomainView,
  type EntrySyncResult,
  type ParsedSnapshot,
  type ProcessRef,
  type ResultCode,
  type Snapshot,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/runtime';
import type { Call } from '../request/call.js';

const CONTROL_LOST_AFTER_MS = 3000;

/** Result of applying a sync response. */
export type SyncOutcome =
  | { readonly kind: 'applied' }
  | { readonly kind: 'older'; readonly revision: number }
  | { readonly kind: 'rejected'; readonly reason: string };

const EMPTY_VIEW: DomainView = {
  version: 0,
  targets: [],
  processes: [],
  summaries: [],
  suspects: [],
  isolated: false,
  entriesPerRegion: {},
};

export class EntryState {
  private parsed: ParsedSnapshot | undefined;

  private currentView: DomainView = EMPTY_VIEW;

  private currentViewOf: string | undefined;

  private viewReceivedAt = 0;

  private syncedAt = Number.NEGATIVE_INFINITY;

  private witnessed = 0;

  draining = false;

  constructor(
    readonly self: ProcessRef,
    private readonly timers: TimerService,
  ) {}

  get snapshot(): Snapshot | undefined {
    return this.parsed?.snapshot;
  }

  /** Configuration in force; undefined until the first sync. */
  get config(): ConfigView | undefined {
    return this.parsed?.view;
  }

  get view(): DomainView {
    return this.currentView;
  }

  /** Boot id of the control daemon that sent the current view; undefined before the first view. */
  get viewOf(): string | undefined {
    return this.currentViewOf;
  }

  /** Time since the view was received, ms; it must be added to all ages in the view. */
  get viewAgeMs(): number {
    return this.timers.now() - this.viewReceivedAt;
  }

  get revision(): number {
    return this.snapshot?.revision ?? 0;
  }

  get witnessedRevision(): number {
    return Math.max(this.witnessed, this.revision);
  }

  /** Whether the control daemon of this VM has not responded for 3 s. */
  get controlLost(): boolean {
    return this.timers.now() - this.syncedAt > CONTROL_LOST_AFTER_MS;
  }

  get ready(): boolean {
    return this.config !== undefined && !this.draining;
  }

  /** Regions that may handle a call by the configuration in force, whatever was in force at its arrival. */
  allowedRegions({ customer, service }: Pick<Call, 'customer' | 'service'>): readonly string[] {
    return allowedRegionsById(this.config, { customer: customer.id, service });
  }

  /** Why the configuration in force excludes a call here that an earlier one allowed; else undefined. */
  exclusionOf(call: Pick<Call, 'customer' | 'service'>): ResultCode | undefined {
    const customer = this.config?.customersById.get(call.customer.id);
    if (customer?.services && !customer.services.includes(call.service)) {
      return ResultCodes.ServiceNotAllowed;
    }
    const isAllowedHere = this.allowedRegions(call).includes(this.self.region);
    return isAllowedHere ? undefined : ResultCodes.RegionWithdrawn;
  }

  /** Records a revision seen in a message; returns true when it is higher than the current one. */
  witness(revision: number): boolean {
    if (!Number.isSafeInteger(revision) || revision <= this.revision) return false;
    this.witnessed = Math.max(this.witnessed, revision);
    return true;
  }

  /**
   * Applies the response of a control daemon; an older revision is ignored. `isLocal` means that
   * the response came from the control daemon of this VM.
   */
  apply(result: EntrySyncResult, isLocal = true): SyncOutcome {
    const now = this.timers.now();
    if (isLocal) this.syncedAt = now;
    // A revision sent by a caller is only a hint: if it does not exist, one sync resets it.
    this.witnessed = 0;
    this.applyView(result, now);
    const { delta } = result;
    if (!delta) return { kind: 'applied' };
    if (delta.revision <= this.revision) return { kind: 'older', revision: delta.revision };
    const applied = applyDelta(this.snapshot, delta);
    if (applied.kind === 'rejected') return { kind: 'rejected', reason: applied.error.kind };
    const { snapshot } = applied;
    this.parsed = { snapshot, view: viewOfSnapshot(snapshot, this.parsed) };
    return { kind: 'applied' };
  }

  /** Applies a whole view, or changes if they are based on the current view. */
  private applyView({ view, changes, control }: EntrySyncResult, now: number): void {
    const { currentView } = this;
    if (view) this.currentView = view;
    else if (changes?.from === currentView.version && this.viewOf === control.bootId) {
      this.currentView = applyViewChanges(currentView, changes, now - this.viewReceivedAt);
    } else return;
    this.currentViewOf = control.bootId;
    this.viewReceivedAt = now;
  }
}
