/**
 * The copy from which the platform came back. It lists entries that had changed or expired since; what
 * was written after it came back has a higher revision than its first list.
 */
import type { StateRevision } from './state-revision.js';
import type { TargetRecord } from './target-record.js';

/** Entries of targets that were gone expire within this time. */
const EXPIRY_MS = 6000;

export class OlderCopy {
  private startedAt = -Infinity;

  /** Of the first state that was read since the platform came back. */
  private first: StateRevision = { era: 0, revision: Infinity };

  /** When the platform came back, contact time (`ContactClock`). */
  get restoredAt(): number {
    return this.startedAt;
  }

  /** When the entries have expired that the copy lists although their targets were gone, contact time. */
  get expiresAt(): number {
    return this.startedAt + EXPIRY_MS;
  }

  /**
   * Notes that the platform came back.
   *
   * @param first the first state that was read since
   * @param now contact time
   */
  onRestored({ era, revision }: StateRevision, now: number): void {
    this.startedAt = now;
    this.first = { era, revision };
  }

  /** Whether the copy lacks a target that was listed last in an earlier era. */
  lacks(listedEra: number): boolean {
    return listedEra < this.first.era;
  }

  /**
   * Whether a record may tell of the time before the platform came back.
   *
   * @example if (copy.mayHave(record, clock.now)) keepOut(record)
   */
  mayHave(record: Pick<TargetRecord, 'revision'>, now: number): boolean {
    return now < this.expiresAt && !this.isNews(record);
  }

  /** Whether an entry was written after the platform came back. */
  isNews({ revision }: Pick<TargetRecord, 'revision'>): boolean {
    return revision !== undefined && revision > this.first.revision;
  }
}
