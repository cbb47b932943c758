/**
 * Messages between daemons and the values in them. All times are in milliseconds. A field that ends
 * in `AgeMs` is the age at the time of sending, since the clocks of VMs differ.
 */
import type { SectionHashes, SnapshotDelta } from '../config/snapshot.js';
import type { GossipParams, GossipResult } from './gossip-messages.js';

export type * from './gossip-messages.js';

export const ProcessRole = { Entry: 'entry', Control: 'control' } as const;
export type ProcessRole = (typeof ProcessRole)[keyof typeof ProcessRole];

/** Identity and addresses of one daemon process; each restart has a new boot id. */
export interface ProcessRef {
  readonly bootId: string;
  readonly role: ProcessRole;
  readonly vm: string;
  readonly region: string;
  readonly failureDomain: string;
  /** `ip:port` of the peer listener. */
  readonly peerAddress: string;
  /** `ip:port` of the listener for callers; entries only. */
  readonly callerAddress?: string;
}

/** Load and state of an entry process. */
export interface EntryLoad {
  readonly openRequests: number;
  readonly queued: number;
  readonly draining: boolean;
}

/** State of a daemon as replicated in its failure domain. */
export interface ProcessRecord {
  readonly process: ProcessRef;
  /** Counter that increases while the process runs; the higher one is the newer state. */
  readonly heartbeat: number;
  readonly revision: number;
  readonly load?: EntryLoad;
}

export const TargetKind = { Engine: 'engine', Plain: 'plain' } as const;
export type TargetKind = (typeof TargetKind)[keyof typeof TargetKind];

export const VmState = { Live: 'live', Leaving: 'leaving' } as const;
export type VmState = (typeof VmState)[keyof typeof VmState];

/** One item of the platform's list of VMs. */
export interface VmRecord {
  readonly vm: string;
  readonly role: 'entry' | 'target';
  readonly state: VmState;
  readonly region: string;
  readonly failureDomain: string;
  /** `ip:port`: peer listener of the control daemon, or the target's listener. */
  readonly address: string;
  readonly target?: {
    readonly kind: TargetKind;
    /** Plain targets: the service that runs there. */
    readonly service?: string;
    /** Whether the engine rejects orders with an outdated fencing number. */
    readonly checksFencing?: boolean;
  };
}

/** One version of the platform's list of VMs. */
export interface VmList {
  readonly version: number;
  readonly vms: readonly VmRecord[];
}

/** Latest health and reported load of a target. */
export interface TargetState {
  readonly vm: string;
  readonly address: string;
  readonly kind: TargetKind;
  /** Services that the target can serve now. */
  readonly services: readonly string[];
  readonly leaving: boolean;
  readonly healthy: boolean;
  readonly running: number;
  readonly queued: number;
  /** Estimated wait for the first token or the response of a new request. */
  readonly waitMs: number;
  /** Number of requests that the target runs concurrently. */
  readonly concurrency: number;
  /** Age of the target's report with these figures. */
  readonly reportAgeMs: number;
  /** Increases with each report; the higher one is newer. */
  readonly sequence: number;
  /** Hashes of cached prompt prefixes; a hint that may be outdated. */
  readonly cachedPrefixes?: readonly string[];
}

/** State of one service in a failure domain, with rounded figures to reduce gossip. */
export interface ServiceSummary {
  readonly service: string;
  readonly readyTargets: number;
  readonly waitMs: number;
  /** Free request slots of the ready targets, by their reports. */
  readonly freeSlots: number;
}

/** State of one failure domain that is published to the others. */
export interface DomainSummary {
  readonly failureDomain: string;
  readonly region: string;
  /** Increases with each published summary of the failure domain. */
  readonly version: number;
  readonly ageMs: number;
  readonly services: readonly ServiceSummary[];
  readonly entries: readonly EntrySummary[];
}

/** An entry process as listed for callers and for forwarded requests. */
export interface EntrySummary {
  readonly bootId: string;
  readonly peerAddress: string;
  readonly callerAddress: string;
  readonly draining: boolean;
  readonly openRequests: number;
}

/** A request suspected of crashing targets. */
export interface SuspectRecord {
  /** SHA-256 over customer, service and body digest. */
  readonly digest: string;
  readonly customer: string;
  readonly service: string;
  /** Number of targets that died while running the request. */
  readonly deaths: number;
  readonly refused: boolean;
  readonly expiresInMs: number;
}

/** Outcome of an entry's own connections to a target since its last sync. */
export interface TargetObservation {
  readonly vm: string;
  readonly failures: number;
  readonly successes: number;
}

/** `entry.sync`: an entry requests changes from a control daemon of its failure domain. */
export interface EntrySyncParams {
  readonly process: ProcessRef;
  readonly load: EntryLoad;
  /**
   * Section hashes of the entry's snapshot. Left out of most syncs, since they are the largest part
   * of the message; without them the response has no delta.
   */
  readonly held?: SectionHashes;
  readonly revision: number;
  /** Highest revision seen on any message. */
  readonly witnessedRevision: number;
  /** Version of the entry's view; 0 without one. */
  readonly viewVersion: number;
  /** Boot id of the control daemon that sent the entry's view. */
  readonly viewOf?: string;
  readonly observations: readonly TargetObservation[];
  readonly suspects: readonly SuspectRecord[];
}

export interface EntrySyncResult {
  readonly control: ProcessRef;
  readonly revision: number;
  /** Absent if the entry has this revision or sent no section hashes. */
  readonly delta?: SnapshotDelta;
  /** The full view, unless `changes` is sent instead. */
  readonly view?: DomainView;
  /** Changes since the entry's version, if that came from this control daemon. */
  readonly changes?: ViewChanges;
}

/** Changes of a control daemon's view between two versions. */
export interface ViewChanges {
  /** Version of the view that the changes are applied to. */
  readonly from: number;
  readonly version: number;
  readonly targets: readonly TargetState[];
  readonly processes: readonly ProcessRecord[];
  readonly summaries: readonly DomainSummary[];
  readonly suspects: readonly SuspectRecord[];
  /** Ids of removed items; absent if there are none. */
  readonly removed?: Readonly<
    Record<'targets' | 'processes' | 'summaries' | 'suspects', readonly string[]>
  >;
  readonly isolated: boolean;
  readonly entriesPerRegion: Readonly<Record<string, number>>;
}

/** View of the fleet that a control daemon sends to its entries. */
export interface DomainView {
  readonly version: number;
  readonly targets: readonly TargetState[];
  readonly processes: readonly ProcessRecord[];
  readonly summaries: readonly DomainSummary[];
  readonly suspects: readonly SuspectRecord[];
  /** Most targets failed at the same time, so the control daemon is assumed to be isolated. */
  readonly isolated: boolean;
  /** Number of live entry processes per region; customers' limits are divided by it. */
  readonly entriesPerRegion: Readonly<Record<string, number>>;
}

/** `config.fetch`: requests the sections that differ from the given hashes. */
export interface ConfigFetchParams {
  readonly from: ProcessRef;
  readonly held: SectionHashes;
  readonly revision: number;
}
export interface ConfigFetchResult {
  /** Absent if the responding daemon has no newer configuration. */
  readonly delta?: SnapshotDelta;
}

/** `vms.fetch`: requests the complete list of VMs if there is a newer version. */
export interface VmsFetchParams {
  readonly from: ProcessRef;
  readonly version: number;
}
export interface VmsFetchResult {
  readonly list?: VmList;
}

/** `key.cancel`: asks the owner of a forwarded request to revoke its idempotency key. */
export interface KeyCancelParams {
  readonly from: ProcessRef;
  /** Boot id of the process that the request was forwarded to; only it knows the state. */
  readonly to: string;
  readonly customer: string;
  readonly key: string;
}
export interface KeyCancelResult {
  /** `cancelled`: the request never runs; `sent`: it may have run; `unknown`: neither is certain. */
  readonly state: 'cancelled' | 'sent' | 'unknown';
}

/** `suspect.report`: an entry reports to another one a request that crashed a target. */
export interface SuspectReportParams {
  readonly from: ProcessRef;
  readonly records: readonly SuspectRecord[];
}
export type SuspectReportResult = Record<string, never>;

/** Difference between the configured and the ready engines of a service in a failure domain. */
export interface PlacementGap {
  readonly failureDomain: string;
  readonly service: string;
  readonly wanted: number;
  readonly ready: number;
  /** How long the gap has existed. */
  readonly sinceMs: number;
  readonly reason: string;
}

/** `status.get`: state of the fleet as known to a control daemon. */
export interface StatusResult {
  readonly control: ProcessRef;
  readonly revision: number;
  readonly rejected?: { readonly revision: number; readonly message: string };
  /** Time since the configuration service last responded; -1 if it never did. */
  readonly configServiceAgeMs: number;
  readonly processes: readonly ProcessRecord[];
  readonly targets: readonly TargetState[];
  /** Summaries that have not expired. */
  readonly summaries: readonly DomainSummary[];
  /** Other configured failure domains, without such a summary; absent from earlier releases. */
  readonly silentDomains?: readonly SilentDomain[];
  readonly gaps: readonly PlacementGap[];
}

export interface SilentDomain {
  readonly failureDomain: string;
  /** Time since the last summary, or since the start of the daemon that lacks one. */
  readonly ageMs: number;
}

/** Parameters and results by method name. */
export interface RpcMethods {
  'entry.sync': { params: EntrySyncParams; result: EntrySyncResult };
  'gossip.exchange': { params: GossipParams; result: GossipResult };
  'config.fetch': { params: ConfigFetchParams; result: ConfigFetchResult };
  'vms.fetch': { params: VmsFetchParams; result: VmsFetchResult };
  'key.cancel': { params: KeyCancelParams; result: KeyCancelResult };
  'suspect.report': { params: SuspectReportParams; result: SuspectReportResult };
  'status.get': { params: Record<string, never>; result: StatusResult };
}
export type RpcMethod = keyof RpcMethods;
