/** What the entry knows of the fleet: the last snapshot and the last view of its control daemon. */
import {
  applyDelta,
  viewOfSnapshot,
  type ConfigView,
  type DomainView,
  type EntrySyncResult,
  type ProcessRef,
  type Snapshot,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/platform';

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
  private snapshotHeld: Snapshot | undefined;

  private configHeld: ConfigView | undefined;

  private viewHeld: DomainView = EMPTY_VIEW;

  private viewAt = 0;

  private syncedAt = Number.NEGATIVE_INFINITY;

  private witnessed = 0;

  draining = false;

  constructor(
    readonly self: ProcessRef,
    private readonly timers: TimerService,
  ) {}

  get snapshot(): Snapshot | undefined {
    return this.snapshotHeld;
  }

  /** Configuration in force; absent until the first sync. */
  get config(): ConfigView | undefined {
    return this.configHeld;
  }

  get view(): DomainView {
    return this.viewHeld;
  }

  /** Time since the view was received, ms; ages in the view grow by it. */
  get viewAgeMs(): number {
    return this.timers.now() - this.viewAt;
  }

  get revision(): number {
    return this.snapshotHeld?.revision ?? 0;
  }

  get witnessedRevision(): number {
    return Math.max(this.witnessed, this.revision);
  }

  /** Whether the control daemon of this VM has not answered lately. */
  get controlLost(): boolean {
    return this.timers.now() - this.syncedAt > CONTROL_LOST_AFTER_MS;
  }

  get ready(): boolean {
    return this.configHeld !== undefined && !this.draining;
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
    if (result.view) {
      this.viewHeld = result.view;
      this.viewAt = now;
    }
    const { delta } = result;
    if (!delta) return { kind: 'applied' };
    if (delta.revision <= this.revision) return { kind: 'older', revision: delta.revision };
    const applied = applyDelta(this.snapshotHeld, delta);
    if (applied.kind === 'rejected') return { kind: 'rejected', reason: applied.error.kind };
    this.snapshotHeld = applied.snapshot;
    this.configHeld = viewOfSnapshot(applied.snapshot);
    return { kind: 'applied' };
  }
}
