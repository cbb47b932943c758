/**
 * Measures how long this process has known that a newer version exists than the one it has. Versions
 * are totally ordered, such as the numbers of the configuration.
 */

interface HeardVersion<Version> {
  readonly version: Version;
  /** When a version at least as new was first heard of, monotonic ms. */
  readonly heardAt: number;
}

export class VersionLag<Version = number> {
  /** The oldest heard version that was not reached yet. */
  private missing: HeardVersion<Version> | undefined;

  /** The newest heard version. */
  private newest: HeardVersion<Version> | undefined;

  private current: Version | undefined;

  /** @param isOlder order of the versions; by default that of numbers */
  constructor(private readonly isOlder: (a: Version, b: Version) => boolean = (a, b) => a < b) {}

  /** Newest version heard of or reached; undefined before the first one. */
  get newestVersion(): Version | undefined {
    const heard = this.newest?.version;
    if (heard === undefined || this.current === undefined) return heard ?? this.current;
    return this.isOlder(heard, this.current) ? this.current : heard;
  }

  /**
   * Notes that a version exists.
   *
   * @returns whether it is newer than all versions known before
   * @example lag.onHeard(message.configVersion, timers.now())
   */
  onHeard(version: Version, now: number): boolean {
    if (!this.isNewer(version, this.newestVersion)) return false;
    this.newest = { version, heardAt: now };
    this.missing ??= this.newest;
    return true;
  }

  /**
   * Notes that this process has a version now.
   *
   * @returns the lag until now, ms; undefined if no version was missing or this one is not newer
   */
  onReached(version: Version, now: number): number | undefined {
    if (!this.isNewer(version, this.current)) return undefined;
    const behindMs = this.missing && this.behindMs(now);
    this.current = version;
    if (this.missing && !this.isOlder(version, this.missing.version)) {
      const { newest } = this;
      this.missing = newest && this.isNewer(newest.version, version) ? newest : undefined;
    }
    return behindMs;
  }

  /** How long this process has been missing a version that it heard of, ms; 0 if it misses none. */
  behindMs(now: number): number {
    return this.missing ? now - this.missing.heardAt : 0;
  }

  private isNewer(version: Version, than: Version | undefined): boolean {
    return than === undefined || this.isOlder(than, version);
  }
}
