/** The accepted configuration of a process; its revision never decreases. */
import type { Snapshot } from '../config/snapshot.js';

/** Result of offering a snapshot. */
export type ConfigOfferResult = 'taken' | 'same' | 'older';

/** A configuration that failed validation. */
export interface RejectedConfig {
  readonly revision: number;
  readonly message: string;
}

/** Holds the snapshot in force and the highest revision seen on any message. */
export class ConfigStore {
  private snapshot: Snapshot | undefined;

  private lastRejected: RejectedConfig | undefined;

  private highestSeen = 0;

  private staleOffers = 0;

  get current(): Snapshot | undefined {
    return this.snapshot;
  }

  /** Revision in force; 0 while there is none. */
  get revision(): number {
    return this.snapshot?.revision ?? 0;
  }

  /** Latest rejected configuration, unless a newer revision is in force. */
  get rejected(): RejectedConfig | undefined {
    return this.lastRejected && this.lastRejected.revision > this.revision
      ? this.lastRejected
      : undefined;
  }

  /** Highest revision seen on any message, whether or not it is in force here. */
  get highestSeenRevision(): number {
    return Math.max(this.highestSeen, this.revision);
  }

  /** Number of offers of an older revision, for the metrics. */
  get staleOfferCount(): number {
    return this.staleOffers;
  }

  /**
   * Puts a snapshot into force if its revision is higher than the current one.
   *
   * @example store.offer(buildSnapshot(7, main, [])) // 'taken'
   */
  offer(snapshot: Snapshot): ConfigOfferResult {
    if (snapshot.revision < this.revision) {
      this.staleOffers += 1;
      return 'older';
    }
    if (snapshot.revision === this.revision) return 'same';
    this.snapshot = snapshot;
    return 'taken';
  }

  /** Records a revision that another daemon has in force. */
  observeRevision(revision: number): void {
    this.highestSeen = Math.max(this.highestSeen, revision);
  }

  /** Records a rejected configuration; the last accepted one stays in force. */
  reject(rejected: RejectedConfig): void {
    if (rejected.revision > (this.lastRejected?.revision ?? 0)) this.lastRejected = rejected;
  }
}
