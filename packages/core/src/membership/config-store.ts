/** The accepted configuration of a process, which never goes back to an older revision. */
import type { Snapshot } from '../config/snapshot.js';

/** What became of an offered snapshot. */
export type ConfigOffer = 'taken' | 'same' | 'older';

/** A configuration text that the checker refused. */
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

  /** Latest refused text, as long as no newer one is in force. */
  get rejected(): RejectedConfig | undefined {
    return this.lastRejected && this.lastRejected.revision > this.revision ? this.lastRejected : undefined;
  }

  /** Highest revision seen on any message, in force here or not. */
  get highestSeenRevision(): number {
    return Math.max(this.highestSeen, this.revision);
  }

  /** Offers of an older revision so far, for the metrics. */
  get staleOfferCount(): number {
    return this.staleOffers;
  }

  /**
   * Takes a snapshot into force if its revision is higher.
   *
   * @example store.offer(buildSnapshot(7, main, [])) // 'taken'
   */
  offer(snapshot: Snapshot): ConfigOffer {
    if (snapshot.revision < this.revision) {
      this.staleOffers += 1;
      return 'older';
    }
    if (snapshot.revision === this.revision) return 'same';
    this.snapshot = snapshot;
    return 'taken';
  }

  /** Notes a revision that another daemon has in force. */
  observeRevision(revision: number): void {
    this.highestSeen = Math.max(this.highestSeen, revision);
  }

  /** Notes a refused text; the last accepted one stays in force. */
  reject(rejected: RejectedConfig): void {
    if (rejected.revision > (this.lastRejected?.revision ?? 0)) this.lastRejected = rejected;
  }
}
