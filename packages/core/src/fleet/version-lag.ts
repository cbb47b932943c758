/**
 * Measures how long this process has known that a newer version exists than the one it has. Versions
 * are totally ordered numbers, such as those of the configuration.
 */

interface HeardVersion {
  readonly version: number;
  /** When a version at least as new was first heard of, monotonic ms. */
  readonly heardAt: number;
}

export class VersionLag {
  /** The oldest heard version that was not reached yet. */
  private missing: HeardVersion | undefined;

  /** The newest heard version. */
  private newest: HeardVersion = { version: -Infinity, heardAt: 0 };

  private current = -Infinity;

  /** Newest version heard of or reached; -Infinity before the first one. */
  get newestVersion(): number {
    return Math.max(this.newest.version, this.current);
  }

  /**
   * Notes that a version exists.
   *
   * @returns whether it is newer than all versions known before
   * @example lag.onHeard(message.configVersion, timers.now())
   */
  onHeard(version: number, now: number): boolean {
    if (version <= this.newestVersion) return false;
    this.newest = { version, heardAt: now };
    this.missing ??= this.newest;
    return true;
  }

  /**
   * Notes that this process has a version now.
   *
   * @returns the lag until now, ms; undefined if no version was missing or this one is not newer
   */
  onReached(version: number, now: number): number | undefined {
    if (version <= this.current) return undefined;
    const behindMs = this.missing && this.behindMs(now);
    this.current = version;
    if (this.missing && version >= this.missing.version) {
      this.missing = this.newest.version > version ? this.newest : undefined;
    }
    return behindMs;
  }

  /** How long this process has been missing a version that it heard of, ms; 0 if it misses none. */
  behindMs(now: number): number {
    return this.missing ? now - this.missing.heardAt : 0;
  }
}
