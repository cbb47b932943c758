/** Key-value store of the configuration service, with one revision counter and change events. */
import { EventEmitter } from 'node:events';

export interface StoredValue {
  readonly key: string;
  readonly revision: number;
  readonly value: string | null;
}

export const MAX_VALUE_BYTES = 1024 * 1024;

export class ConfigStore {
  /** All values since the start, oldest first. */
  private readonly history: StoredValue[] = [];

  private currentRevision = 0;

  private staleSnapshot: { revision: number; values: StoredValue[] } | undefined;

  private readonly changes = new EventEmitter().setMaxListeners(0);

  /** Revision that clients read. */
  get revision(): number {
    return this.staleSnapshot?.revision ?? this.currentRevision;
  }

  /** Stores a value, or deletes it if `null`, and returns the new revision. */
  put(key: string, value: string | null): number {
    this.currentRevision += 1;
    this.history.push({ key, revision: this.currentRevision, value });
    if (!this.staleSnapshot) this.changes.emit('change');
    return this.currentRevision;
  }

  range(prefix: string, after: number): StoredValue[] {
    const values = this.staleSnapshot?.values ?? this.valuesAt(this.currentRevision);
    return values.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
  }

  /**
   * Makes the store stale or current. A stale store returns the values of `behind` revisions before
   * the time at which it became stale, like a lagging replica.
   */
  setStale(stale: boolean, behind = 0): void {
    if (stale) {
      const revision = Math.max(0, this.currentRevision - behind);
      this.staleSnapshot ??= { revision, values: this.valuesAt(revision) };
    } else this.staleSnapshot = undefined;
    this.changes.emit('change');
  }

  onChange(fn: () => void): () => void {
    this.changes.on('change', fn);
    return () => this.changes.off('change', fn);
  }

  private valuesAt(atRevision: number): StoredValue[] {
    const published = this.history.filter(({ revision }) => revision <= atRevision);
    return [...new Map(published.map((stored) => [stored.key, stored])).values()];
  }
}
