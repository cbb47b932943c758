/** The parts of the operators' configuration, as read from the configuration service. */

/** Response of `GET /v1/range`. */
export interface ConfigRange {
  readonly revision: number;
  readonly values: readonly { readonly key: string; readonly value: string | null }[];
}

/** Stores the parts and ignores responses of an older revision. */
export class ConfigPartStore {
  private readonly parts = new Map<string, string>();

  private completeRevision = 0;

  private staleResponses = 0;

  /** Revision up to which all changes are applied. */
  get revision(): number {
    return this.completeRevision;
  }

  /** Number of responses that were older than the stored parts. */
  get staleResponseCount(): number {
    return this.staleResponses;
  }

  /** Counts a response with an older revision than the stored parts. */
  countStaleResponse(): void {
    this.staleResponses += 1;
  }

  /**
   * Applies a range of changes; returns false if it is older than the stored parts.
   *
   * @example parts.apply({ revision: 3, values: [{ key: 'config/main', value: 'format: 1' }] })
   */
  apply(range: ConfigRange): boolean {
    if (range.revision < this.completeRevision) return false;
    range.values.forEach(({ key, value }) => {
      if (value === null) this.parts.delete(key);
      else this.parts.set(key, value);
    });
    this.completeRevision = range.revision;
    return true;
  }

  /** All parts, sorted by key. */
  list(): { file: string; text: string }[] {
    return [...this.parts]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([file, text]) => ({ file, text }));
  }
}
