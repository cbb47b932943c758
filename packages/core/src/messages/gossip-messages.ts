/** `gossip.exchange` between control daemons, with its short forms. */
import type { EntrySummary, ProcessRecord, ProcessRef, SuspectRecord } from './messages.js';

/**
 * By failure domain: version of its summary, and how far the versions of the services and of the
 * entries in it are behind that. Differences are short numbers.
 */
export type SummaryVersions = Readonly<Record<string, readonly [number, number, number]>>;

/** A summary as it is gossiped; parts that the receiver holds in their version are left out. */
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

/** Heartbeat by boot id of a control daemon. */
export type Heartbeats = Readonly<Record<string, number>>;

/** What one prober saw of a target, rounded. */
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

/** What a control daemon observed; items carry the heartbeat at which they changed. */
export interface OriginUpdate {
  readonly bootId: string;
  readonly heartbeat: number;
  readonly revision: number;
  /** Left out when the receiver knows the process. */
  readonly process?: ProcessRef;
  /**
   * How many heartbeats back the changes in this update reach. A receiver that holds that heartbeat
   * or a later one holds all items of the origin afterwards, and those not sent are unchanged.
   * Earlier releases leave it out and repeat their items each 3 s.
   */
  readonly span?: number;
  readonly entries?: readonly (readonly [number, ProcessRecord])[];
  readonly targets?: readonly (readonly [number, GossipedTarget])[];
  /** With `process`: withdrawals up to this heartbeat are not in `gone`; 0 when left out. */
  readonly floor?: number;
  /** Names of entries and targets withdrawn, with the heartbeat of each. */
  readonly gone?: readonly (readonly [number, string])[];
}

/**
 * Short form of an origin's update: its index in the order of boot ids, its heartbeat, the span or
 * -1, and changes if there are any. A revision equal to that of the message is left out.
 */
export type PackedOrigin =
  | readonly [number, number, number]
  | readonly [number, number, number, Partial<Omit<OriginUpdate, 'bootId' | 'heartbeat' | 'span'>>];

/**
 * Short form of a summary: its index in the order of names, how far its version is below the top,
 * how far the services and the entries are behind it, its age in 0.1 s, and parts if there are any.
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
  /** In place of `SummaryVersions`: three figures for each name. */
  readonly behind?: readonly number[];
  readonly updates: readonly PackedSummary[];
}

/** `gossip.exchange`: both sides send what the other may lack. */
export interface GossipParams {
  readonly from: ProcessRef;
  readonly revision: number;
  /** Latest refused text above the revision in force. */
  readonly rejected?: { readonly revision: number; readonly message: string };
  readonly vmListVersion: number;
  /** Digest and newer parts of the process table; between daemons of one failure domain. */
  readonly heartbeats?: Heartbeats;
  readonly origins?: readonly OriginUpdate[];
  readonly summaryVersions?: SummaryVersions;
  readonly summaries: readonly SummaryUpdate[];
  readonly suspects: readonly SuspectRecord[];
  /** Digest of the boot ids that the sender knows; the packed forms refer to their order. */
  readonly order?: string;
  /** In place of `heartbeats` and `origins`, to a peer that sent the same digest. */
  readonly beats?: readonly number[];
  readonly packedOrigins?: readonly PackedOrigin[];
  /** Digest of the failure domains whose summaries the sender holds. */
  readonly names?: string;
  /** In place of `summaryVersions` and `summaries`, to a peer that sent the same digest. */
  readonly packedSummaries?: PackedSummaries;
}

export type GossipResult = GossipParams;
