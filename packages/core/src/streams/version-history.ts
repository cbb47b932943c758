/** Versions of the software that served lately, to find out which can have begun a stream. */
import type { TargetRecord } from '../fleet/target-record.js';

/** What a gateway that has just started sees, and since when. */
export interface PresentTargets {
  /** Targets of one service in all regions that are listed or were until now. */
  readonly records: readonly TargetRecord[];
  /** Present wall-clock time, Unix ms. */
  readonly wallMs: number;
}

/** What the source still tells about the time before a gateway started. */
export interface EarlierTargets {
  /** Entries as they were at any time. */
  readonly records: readonly TargetRecord[];
  /** Whether entries were removed that it no longer tells anything about. */
  readonly hasUnknown: boolean;
}

interface GoneVersion {
  readonly service: string;
  readonly version: string | undefined;
  /** When a target of this version was last listed, monotonic ms. */
  readonly at: number;
}

/** A request that waits at a target when it leaves may still get its first event for this time. */
const FIRST_EVENT_MS = 5000;
/** A target that is replaced leaves at most this long after its successor has started. */
const REPLACEMENT_MS = 9000;
const RETENTION_MS = 120_000;
const MAX_VERSIONS = 1024;

export class VersionHistory {
  private readonly gone = new Map<string, GoneVersion>();

  /** Since when all targets that left are known, monotonic ms. */
  private knownSince = Infinity;

  /** Whether the source told of all entries that were removed earlier; undefined if it was not asked. */
  private isEarlierKnown: boolean | undefined;

  /** Starts when the targets are listed for the first time; monotonic ms, as in all methods. */
  start(now: number): void {
    this.knownSince = Math.min(this.knownSince, now);
  }

  /** Notes what the source tells about the time before the start. */
  onEarlier({ records, hasUnknown }: EarlierTargets, now: number): void {
    // A later answer reaches back less far.
    this.isEarlierKnown ??= !hasUnknown;
    records.forEach((record) => this.onGone(record, now));
  }

  /** Whether entries of earlier times could tell which versions served since a time. */
  needsEarlier(since: number, present: PresentTargets, now: number): boolean {
    const isAsked = this.isEarlierKnown !== undefined;
    return since < this.knownSince && !isAsked && hasBeenStable(present, now - since);
  }

  /** Notes that a target is gone, or is no longer of a version. */
  onGone({ service, softwareVersion: version }: TargetRecord, now: number): void {
    const key = `${service}\n${version ?? ''}`;
    this.gone.delete(key);
    this.gone.set(key, { service, version, at: now });
    const [oldest] = this.gone.keys();
    if (this.gone.size > MAX_VERSIONS && oldest !== undefined) this.gone.delete(oldest);
  }

  /**
   * The only version of a service that can have begun a stream since a time.
   *
   * @returns undefined if there were several, or if it is not known which there were
   * @example history.onlyVersionSince('chat', timers.now() - 12_000, present, timers.now()) // 'v2'
   */
  onlyVersionSince(
    service: string,
    since: number,
    present: PresentTargets,
    now: number,
  ): string | undefined {
    const { records } = present;
    if (records.length === 0) return undefined;
    const isKnown =
      since >= this.knownSince ||
      (this.isEarlierKnown === true && hasBeenStable(present, now - since));
    if (!isKnown) return undefined;
    const gone = [...this.gone.values()]
      .filter((version) => version.service === service && version.at + FIRST_EVENT_MS >= since)
      .map(({ version }) => version);
    const versions = new Set([...records.map(({ softwareVersion }) => softwareVersion), ...gone]);
    const [version] = versions;
    return versions.size === 1 ? version : undefined;
  }

  /** Forgets versions that left long ago. */
  expire(now: number): void {
    [...this.gone]
      .filter(([, { at }]) => now - at >= RETENTION_MS)
      .forEach(([key]) => this.gone.delete(key));
  }
}

/** Whether no target was replaced in the given time, by the start times of those that are there. */
function hasBeenStable({ records, wallMs }: PresentTargets, forMs: number): boolean {
  return records.every(
    ({ bornAt, draining }) => !draining && bornAt > 0 && wallMs - bornAt >= forMs + REPLACEMENT_MS,
  );
}
