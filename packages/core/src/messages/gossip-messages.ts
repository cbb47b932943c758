/** Messages of `gossip.exchange` between control daemons, with their packed forms. */
import type { EntrySummary, ProcessRecord, ProcessRef, SuspectRecord } from './messages.js';

/**
 * Digest of summaries by failure domain: version of the summary, and how far the versions of its
 * services and its entries are below that. Differences take fewer digits than versions.
 */
export type SummaryVersions = Readonly<Record<string, readonly [number, number, number]>>;

/** A gossiped summary; a list that the receiver has in its current version is left out. */
export interface SummaryUpdate {
  readonly failureDomain: string;
  readonly region: string;
  readonly version: number;
  readonly servicesVersion: number;
  readonly entriesVersion: number;
  readonly ageMs: number;
  /** Service, ready targets, wait in ms and free slots. */
  readonly services?: readonly (readonly [string, number, number, number])[];
  readonly entries?: readonly EntrySummary[];
}

/** Heartbeats by boot id of the control daemon. */
export type Heartbeats = Readonly<Record<string, number>>;

/** One prober's result for a target, with rounded figures. */
export interface GossipedTarget {
  readonly vm: string;
  readonly services: readonly string[];
  readonly leaving: boolean;
  /** Consecutive failed probes. */
  readonly failures: number;
  readonly running: number;
  readonly queued: number;
  readonly waitMs: number;
  readonly concurrency: number;
  readonly sequence: number;
  readonly ageMs: number;
  /** Engines: models as `model@version:state`. */
  readonly models?: readonly string[];
}

/** Observations of a control daemon; each item has the heartbeat at which it last changed. */
export interface OriginUpdate {
  readonly bootId: string;
  readonly heartbeat: number;
  readonly revision: number;
  /**
   * Left out if the receiver knows the process. With it, the update has all items of the origin.
   */
  readonly process?: ProcessRef;
  /**
   * Number of heartbeats that the changes in this update go back. A receiver that has at least the
   * first of these heartbeats has all items of the origin afterwards, and items not sent are
   * unchanged. Earlier releases leave it out and repeat their items every 3 s.
   */
  readonly span?: number;
  readonly entries?: readonly (readonly [number, ProcessRecord])[];
  readonly targets?: readonly (readonly [number, GossipedTarget])[];
  /** With `process`: withdrawals up to this heartbeat are not in `gone`; 0 if left out. */
  readonly floor?: number;
  /** Names of withdrawn entries and targets, each with the heartbeat of its withdrawal. */
  readonly gone?: readonly (readonly [number, string])[];
}

/**
 * Packed form of an origin's update: index in the sorted boot ids, heartbeat, span or -1, and the
 * changes if there are any. A revision equal to that of the message is left out.
 */
export type PackedOrigin =
  | readonly [number, number, number]
  | readonly [number, number, number, Partial<Omit<OriginUpdate, 'bootId' | 'heartbeat' | 'span'>>];

/**
 * Packed form of a summary: index in the sorted names, distance of its version to `top`, distances
 * of the services' and entries' versions to its version, age in 0.1 s, and the lists if there are
 * any.
 */
export type PackedSummary =
  | readonly [number, number, number, number, number]
  | readonly [
      number,
      number,
      number,
      number,
      number,
      Partial<Pick<SummaryUpdate, 'services' | 'entries'>>,
    ];

export interface PackedSummaries {
  /** Highest version in the message. */
  readonly top: number;
  /**
   * Replaces `SummaryVersions`: three figures for each name; the first is the distance to `top`.
   */
  readonly behind?: readonly number[];
  readonly updates: readonly PackedSummary[];
}

/** `gossip.exchange`: each side sends the items that the other one may be missing. */
export interface GossipParams {
  readonly from: ProcessRef;
  readonly revision: number;
  /** Latest rejected configuration, if newer than the revision in force. */
  readonly rejected?: { readonly revision: number; readonly message: string };
  readonly vmListVersion: number;
  /** Heartbeats and updates of `MemberTable`; only between daemons of one failure domain. */
  readonly heartbeats?: Heartbeats;
  readonly origins?: readonly OriginUpdate[];
  readonly summaryVersions?: SummaryVersions;
  readonly summaries: readonly SummaryUpdate[];
  readonly suspects: readonly SuspectRecord[];
  /** Digest of the sorted boot ids that the sender knows; packed forms refer to them by index. */
  readonly order?: string;
  /** Replaces `heartbeats`, as `packedOrigins` does `origins`, to a peer with the same digest. */
  readonly beats?: readonly number[];
  readonly packedOrigins?: readonly PackedOrigin[];
  /** Digest of the sorted failure domains of which the sender has summaries. */
  readonly names?: string;
  /** Replaces `summaryVersions` and `summaries`, to a peer that sent the same digest. */
  readonly packedSummaries?: PackedSummaries;
}

export type GossipResult = GossipParams;
