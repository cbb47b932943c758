/** The parts of the operators' text, as read from the configuration service. */

/** Answer of `GET /v1/range`. */
export interface ConfigRange {
  readonly revision: number;
  readonly values: readonly { readonly key: string; readonly value: string | null }[];
}

/** Collects the parts; an answer older than what is held is ignored. */
export class ConfigPartStore {
  private readonly parts = new Map<string, string>();

  private completeRevision = 0;

  private staleResponses = 0;

  /** Revision up to which the parts are complete. */
  get revision(): number {
    return this.completeRevision;
  }

  /** Answers that were older than what is held, so far. */
  get staleResponseCount(): number {
    return this.staleResponses;
  }

  /** Notes an answer from a service that is behind. */
  countStaleResponse(): void {
    this.staleResponses += 1;
  }

  /**
   * Applies a range of changes; false when the answer is older than the parts.
   *
   * @example text.apply({ revision: 3, values: [{ key: 'config/main', value: 'format: 1' }] })
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

  /** All parts, in the order of their keys. */
  list(): { file: string; text: string }[] {
    return [...this.parts]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([file, text]) => ({ file, text }));
  }
}
