/** A target in the local view of a gateway, with its load and assumed state. */
import {
  RunProgress,
  StartEvidence,
  TargetWarmth,
  type TargetRecord,
  type TargetWork,
} from '@marjoramcart/core';

/** Why a target is assumed to be cold. */
export const ColdReason = {
  /** Its entry says so. */
  Listed: 'listed',
  /** It was unreachable, and may have restarted. */
  Unreachable: 'unreachable',
  /** A connection broke during a request, and it may have restarted. */
  ConnectionLost: 'connection-lost',
  /** Another gateway found it unreachable. */
  Told: 'told',
  /** It was listed when this gateway started, possibly by an entry from before a restart. */
  Unconfirmed: 'unconfirmed',
  /** The evacuation of its failure domain ended. */
  Restored: 'restored',
  /** Its health check said so. */
  Said: 'said',
  /** This gateway is out of touch, and the target has not said lately that it is warm. */
  OutOfTouch: 'out-of-touch',
} as const;
export type ColdReason = (typeof ColdReason)[keyof typeof ColdReason];

/** Time beyond the warm-up for which a target that may have restarted is assumed to be cold. */
const COLD_AFTER_SIGN_MS = 1500;
/** Time for which the version of a target without a warm-up is unknown if it tells no start time. */
const VERSION_DOUBT_MS = 3000;
/** Starts before the present one that are remembered, so that old words about them are ignored. */
const MAX_EARLIER_STARTS = 4;

/** For this long entries may still tell of an earlier start; later ones are taken for true. */
const EARLIER_START_MS = 5000;

/** A sign that a target may have restarted since it last told its start time; monotonic ms. */
interface RestartDoubt {
  /** When this gateway saw the latest sign, or was told of the first one. */
  readonly since: number;
  /** When it counts as not restarted, if it has not told its start time by then. */
  readonly until: number;
  /** Whether it is cold if it has restarted. */
  readonly mayBeCold: boolean;
  readonly reason: ColdReason;
}

export class TargetEntry {
  /** Pace of the target's streams, from the reports that this gateway polls. */
  readonly progress = new RunProgress();

  /** When this start of the target was last known to run. */
  readonly evidence = new StartEvidence();

  /** Whether the target counts as warm while this gateway is out of touch. */
  readonly warmth = new TargetWarmth();

  /** Time until which the target is assumed to be cold, monotonic ms. */
  coldUntil: number;

  /** Latest reason for which the target was assumed to be cold. */
  coldReason: ColdReason | undefined;

  /** When this gateway last received anything from the target, monotonic ms. */
  private contactAt: number;

  /** When the record was last received, monotonic ms. */
  recordReceivedAt: number;

  /** Time at which a target that is no longer listed is dropped, contact time. */
  dropAt: number | undefined;

  /** Whether another target responded at the address. */
  misdirected = false;

  /** Whether the target told of its start, and its entry does not yet. */
  awaitsRecord = false;

  /** Time until which a target that was gone already receives no requests, contact time. */
  keptOutUntil = -Infinity;

  private doubt: RestartDoubt | undefined;

  private readonly createdAt: number;

  /**
   * @param listedEra era of the source that last listed the target
   * @param earlierStarts start times of the id before this one, Unix ms
   */
  constructor(
    public record: TargetRecord,
    readonly work: TargetWork,
    now: number,
    public listedEra: number,
    private readonly earlierStarts: readonly number[] = [],
  ) {
    this.coldUntil = now + record.coldForMs;
    this.coldReason = record.coldForMs > 0 ? ColdReason.Listed : undefined;
    this.recordReceivedAt = now;
    this.createdAt = now;
    this.contactAt = now;
  }

  /** Notes that the target sent something. */
  onContact(now: number): void {
    this.contactAt = now;
  }

  /** Time since this gateway learned of the start, ms. */
  knownForMs(now: number): number {
    return now - this.createdAt;
  }

  /** Time since the target sent anything to this gateway, ms. */
  silentForMs(now: number): number {
    return now - this.contactAt;
  }

  get id(): string {
    return this.record.id;
  }

  /** Version of the target's software; undefined if it is not known or may have changed. */
  softwareVersionAt(now: number): string | undefined {
    return this.isDoubted(now) ? undefined : this.record.softwareVersion;
  }

  /** How much longer the target is assumed to be cold, ms; 0 if it is assumed to be warm. */
  coldForMs(now: number): number {
    return Math.max(
      this.coldUntil - now,
      this.mayBeCold(now) ? this.doubtedUntil - now : 0,
      this.warmth.coldForMs(now),
    );
  }

  /** Why the target is assumed to be cold. */
  coldReasonAt(now: number): ColdReason | undefined {
    if (this.doubt && this.mayBeCold(now)) return this.doubt.reason;
    const isUnknown = this.coldUntil <= now && this.warmth.coldForMs(now) > 0;
    return isUnknown ? ColdReason.OutOfTouch : this.coldReason;
  }

  private mayBeCold(now: number): boolean {
    return this.doubt?.mayBeCold === true && this.isDoubted(now);
  }

  /** Whether the target may have restarted without a word of it since. */
  isDoubted(now: number): boolean {
    return now < this.doubtedUntil;
  }

  /** Whether the only sign of a restart is the word of another gateway. */
  get isDoubtTold(): boolean {
    return this.doubt?.reason === ColdReason.Told;
  }

  /** Whether a sign of a restart was seen after a time, monotonic ms. */
  isDoubtedSince(at: number, now: number): boolean {
    return this.doubt !== undefined && this.isDoubted(now) && this.doubt.since > at;
  }

  /**
   * Assumes that the target may have restarted, until it tells its start time.
   *
   * @param warmupMs how long it is cold after a restart; 0 if it never is
   * @returns whether this was not assumed before
   */
  suspectRestart(warmupMs: number, reason: ColdReason, now: number): boolean {
    const before = this.isDoubted(now) ? this.doubt : undefined;
    const until = now + warmupMs + (warmupMs > 0 ? COLD_AFTER_SIGN_MS : VERSION_DOUBT_MS);
    // The word of another gateway does not replace what this one saw itself.
    this.doubt =
      before && reason === ColdReason.Told
        ? { ...before, until, mayBeCold: before.mayBeCold || warmupMs > 0 }
        : { since: now, until, mayBeCold: warmupMs > 0, reason };
    return before === undefined;
  }

  /** Assumes that the target may be of another version, until it tells its start time. */
  suspectVersion(reason: ColdReason, now: number): void {
    const until = Math.max(now + VERSION_DOUBT_MS, this.isDoubted(now) ? this.doubtedUntil : 0);
    this.doubt = { since: now, until, mayBeCold: this.mayBeCold(now), reason };
  }

  /**
   * Handles the word that the target has not restarted.
   *
   * @param askedAt when the target was asked, monotonic ms; a later sign stands
   * @returns whether it was in doubt
   */
  confirmStart(askedAt: number, now: number): boolean {
    if (!this.doubt || this.doubt.since > askedAt) return false;
    const wasDoubted = this.isDoubted(now);
    this.doubt = undefined;
    return wasDoubted;
  }

  /** Whether a start time is that of an earlier start, of which an old word may still come. */
  isEarlierStart(bornAt: number, now: number): boolean {
    return now - this.createdAt < EARLIER_START_MS && this.hadStart(bornAt);
  }

  /**
   * Whether a listed start time is that of a start before the one that the target told, which this gateway
   * may not have known: entries are written and read later than targets answer.
   */
  isLateEntry(bornAt: number, now: number): boolean {
    return this.awaitsRecord && this.isBefore(bornAt) && now - this.createdAt < EARLIER_START_MS;
  }

  /** Whether a start time that the target told is older than its answer to a later question. */
  isLateAnswer(bornAt: number, askedAt: number): boolean {
    return this.isBefore(bornAt) && askedAt < this.createdAt;
  }

  /** Whether a start time lies before that of the present start. */
  isBefore(bornAt: number): boolean {
    return bornAt !== 0 && bornAt < this.record.bornAt;
  }

  /** Whether a start time is that of any known start before the present one. */
  hadStart(bornAt: number): boolean {
    return this.earlierStarts.includes(bornAt);
  }

  /** Known start times up to the present one, for the entry of the next start. */
  starts(): number[] {
    const known = [...this.earlierStarts, this.record.bornAt].filter((bornAt) => bornAt > 0);
    return known.slice(-MAX_EARLIER_STARTS);
  }

  private get doubtedUntil(): number {
    return this.doubt?.until ?? -Infinity;
  }

  /**
   * Assumes that the target is cold at least until a time.
   *
   * @returns whether it was assumed to be warm before
   */
  extendCold(until: number, reason: ColdReason, now: number): boolean {
    if (until <= this.coldUntil) return false;
    const wasWarm = this.coldUntil <= now;
    this.coldUntil = until;
    this.coldReason = reason;
    return wasWarm;
  }

  /**
   * Applies a newer record of the target, which has not restarted since.
   *
   * @returns whether the target becomes cold by it
   */
  update(record: TargetRecord, now: number, era: number): boolean {
    // Other changes of the state bring the same record again.
    const isSame = record === this.record;
    // An entry without a start time says nothing about it.
    const { bornAt, softwareVersion } = this.record;
    const isWhole = record.bornAt !== 0 && record.softwareVersion !== undefined;
    if (!isSame && record.bornAt !== 0) this.awaitsRecord = false;
    this.record = isWhole
      ? record
      : {
          ...record,
          bornAt: record.bornAt || bornAt,
          // Gateways of the previous release don't tell it.
          softwareVersion: record.softwareVersion ?? softwareVersion,
        };
    this.keep(now, era);
    if (isSame || record.coldForMs <= 0) return false;
    return this.extendCold(now + record.coldForMs, ColdReason.Listed, now);
  }

  /** Keeps the target, which is still listed. */
  keep(now: number, era: number): void {
    this.recordReceivedAt = now;
    this.listedEra = era;
    this.dropAt = undefined;
  }

  /** Sets the time at which a target that is no longer listed is dropped, contact time. */
  scheduleDrop(at: number): void {
    this.dropAt = at;
  }

  /** Lets the target receive no requests until a time, contact time. */
  keepOut(until: number): void {
    this.keptOutUntil = until;
  }

  /** Ends `keepOut`, as the target has registered again. */
  endKeepOut(): void {
    this.keptOutUntil = Math.min(this.keptOutUntil, 0);
  }

  /**
   * Ends `keepOut` when its time has come.
   *
   * @param now contact time
   * @returns whether the target was kept out until now
   */
  admit(now: number): boolean {
    if (this.keptOutUntil === -Infinity || now < this.keptOutUntil) return false;
    this.keptOutUntil = -Infinity;
    return true;
  }

  markMisdirected(): void {
    this.misdirected = true;
  }
}
