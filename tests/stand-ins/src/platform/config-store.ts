/** Values of the configuration service at one global revision, with watches. */
import { EventEmitter } from 'node:events';

export interface StoredValue {
  readonly key: string;
  readonly revision: number;
  readonly value: string | null;
}

export const MAX_VALUE_BYTES = 1024 * 1024;

export class ConfigStore {
  /** All values ever published, oldest first. */
  private readonly history: StoredValue[] = [];

  private currentRevision = 0;

  private frozen: { revision: number; values: StoredValue[] } | undefined;

  private readonly changes = new EventEmitter().setMaxListeners(0);

  /** Revision that readers see. */
  get revision(): number {
    return this.frozen?.revision ?? this.currentRevision;
  }

  /** Publishes a value, or deletes it with `null`; returns its revision. */
  put(key: string, value: string | null): number {
    this.currentRevision += 1;
    this.history.push({ key, revision: this.currentRevision, value });
    if (!this.frozen) this.changes.emit('change');
    return this.currentRevision;
  }

  range(prefix: string, after: number): StoredValue[] {
    const values = this.frozen?.values ?? this.valuesAt(this.currentRevision);
    return values.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
  }

  /**
   * While stale, readers see the values of the moment it became stale, or of `behind` revisions
   * before it, as from a replica that lags.
   */
  setStale(stale: boolean, behind = 0): void {
    if (stale) {
      const revision = Math.max(0, this.currentRevision - behind);
      this.frozen ??= { revision, values: this.valuesAt(revision) };
    } else this.frozen = undefined;
    this.changes.emit('change');
  }

  onChange(fn: () => void): () => void {
    this.changes.on('change', fn);
    return () => this.changes.off('change', fn);
  }

  private valuesAt(atRevision: number): StoredValue[] {
    const known = this.history.filter(({ revision }) => revision <= atRevision);
    return [...new Map(known.map((stored) => [stored.key, stored])).values()];
  }
}
