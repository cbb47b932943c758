/** What the entry knows of the fleet: the last snapshot and the last view of its control daemon. */
import {
  applyDelta,
  applyViewChanges,
  viewOfSnapshot,
  type ConfigView,
  type DomainView,
  type EntrySyncResult,
  type ParsedSnapshot,
  type ProcessRef,
  type Snapshot,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/runtime';

const CONTROL_LOST_AFTER_MS = 3000;

/** Result of taking over a sync answer. */
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

  /** Configuration in force; absent until the first sync. */
  get config(): ConfigView | undefined {
    return this.parsed?.view;
  }

  get view(): DomainView {
    return this.currentView;
  }

  /** Boot id of the control daemon whose view is held; absent while there is none. */
  get viewOf(): string | undefined {
    return this.currentViewOf;
  }

  /** Time since the view was received, ms; ages in the view grow by it. */
  get viewAgeMs(): number {
    return this.timers.now() - this.viewReceivedAt;
  }

  get revision(): number {
    return this.snapshot?.revision ?? 0;
  }

  get witnessedRevision(): number {
    return Math.max(this.witnessed, this.revision);
  }

  /** Whether the control daemon of this VM has not answered lately. */
  get controlLost(): boolean {
    return this.timers.now() - this.syncedAt > CONTROL_LOST_AFTER_MS;
  }

  get ready(): boolean {
    return this.config !== undefined && !this.draining;
  }

  /** Notes a revision seen on a message; true when it is higher than the held one. */
  witness(revision: number): boolean {
    if (!Number.isSafeInteger(revision) || revision <= this.revision) return false;
    this.witnessed = Math.max(this.witnessed, revision);
    return true;
  }

  /**
   * Takes over the answer of a control daemon; an older revision is ignored. `isLocal` tells
   * whether it came from the one on this VM.
   */
  apply(result: EntrySyncResult, isLocal = true): SyncOutcome {
    const now = this.timers.now();
    if (isLocal) this.syncedAt = now;
    // A caller's echo is only a hint: a revision that does not exist is forgotten after one sync.
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

  /** Takes a whole view, or changes to the view held if they were made for it. */
  private applyView({ view, changes, control }: EntrySyncResult, now: number): void {
    const { currentView: current } = this;
    if (view) this.currentView = view;
    else if (changes?.from === current.version && this.viewOf === control.bootId) {
      this.currentView = applyViewChanges(current, changes, now - this.viewReceivedAt);
    } else return;
    this.currentViewOf = control.bootId;
    this.viewReceivedAt = now;
  }
}
