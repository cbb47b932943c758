/**
 * Messages between daemons and the values in them. All times are milliseconds; a field that ends
 * in `AgeMs` is relative to the sender's clock at sending, since clocks of VMs differ.
 */
import type { SectionHashes, SnapshotDelta } from '../config/snapshot.js';
import type { GossipParams, GossipResult } from './gossip-messages.js';

export type * from './gossip-messages.js';

export const ProcessRole = { Entry: 'entry', Control: 'control' } as const;
export type ProcessRole = (typeof ProcessRole)[keyof typeof ProcessRole];

/** Identity and addresses of one daemon process; a restart has another boot id. */
export interface ProcessRef {
  readonly bootId: string;
  readonly role: ProcessRole;
  readonly vm: string;
  readonly region: string;
  readonly failureDomain: string;
  /** `ip:port` of the peer listener. */
  readonly peerAddress: string;
  /** `ip:port` of the callers' listener; entries only. */
  readonly callerAddress?: string;
}

/** Load and state of an entry process. */
export interface EntryLoad {
  readonly openRequests: number;
  readonly queued: number;
  readonly draining: boolean;
}

/** A daemon as known in its failure domain. */
export interface ProcessRecord {
  readonly process: ProcessRef;
  /** Grows while the process lives; the higher counter is the newer state. */
  readonly heartbeat: number;
  readonly revision: number;
  readonly load?: EntryLoad;
}

export const TargetKind = { Engine: 'engine', Plain: 'plain' } as const;
export type TargetKind = (typeof TargetKind)[keyof typeof TargetKind];

export const VmState = { Live: 'live', Leaving: 'leaving' } as const;
export type VmState = (typeof VmState)[keyof typeof VmState];

/** One line of the platform's list of VMs. */
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
    /** Whether the engine refuses an order with an old fencing number. */
    readonly checksFencing?: boolean;
  };
}

/** The platform's list at one of its versions. */
export interface VmList {
  readonly version: number;
  readonly vms: readonly VmRecord[];
}

/** A target's load report and health as a prober last saw it. */
export interface TargetState {
  readonly vm: string;
  readonly address: string;
  readonly kind: TargetKind;
  /** Services the target can serve now. */
  readonly services: readonly string[];
  readonly leaving: boolean;
  readonly healthy: boolean;
  readonly running: number;
  readonly queued: number;
  /** Estimated wait for the first token or the answer of a new request. */
  readonly waitMs: number;
  /** Requests that the target runs at the same time. */
  readonly concurrency: number;
  /** Age of the report that these figures come from. */
  readonly reportAgeMs: number;
  /** Grows with each report; the higher one is the newer. */
  readonly sequence: number;
  /** Hashes of cached prompt prefixes; a hint that may be wrong. */
  readonly cachedPrefixes?: readonly string[];
}

/** State of one service in a failure domain, quantised before it is gossiped. */
export interface ServiceSummary {
  readonly service: string;
  readonly readyTargets: number;
  readonly waitMs: number;
  /** Requests a second the ready targets can finish, by their reports. */
  readonly freeSlots: number;
}

/** What other failure domains know of one failure domain. */
export interface DomainSummary {
  readonly failureDomain: string;
  readonly region: string;
  /** Grows with each change; unique order within the failure domain. */
  readonly version: number;
  readonly ageMs: number;
  readonly services: readonly ServiceSummary[];
  readonly entries: readonly EntrySummary[];
}

/** An entry process as listed for callers and for forwards. */
export interface EntrySummary {
  readonly bootId: string;
  readonly peerAddress: string;
  readonly callerAddress: string;
  readonly draining: boolean;
  readonly openRequests: number;
}

/** A request that is suspected of crashing targets. */
export interface SuspectRecord {
  /** SHA-256 over customer, service and body digest. */
  readonly digest: string;
  readonly customer: string;
  readonly service: string;
  /** Targets that died while running it. */
  readonly deaths: number;
  readonly refused: boolean;
  readonly expiresInMs: number;
}

/** What an entry saw on its own connections since its last sync. */
export interface TargetObservation {
  readonly vm: string;
  readonly failures: number;
  readonly successes: number;
}

/** `entry.sync`: an entry asks its local control daemon for changes. */
export interface EntrySyncParams {
  readonly process: ProcessRef;
  readonly load: EntryLoad;
  /**
   * Section hashes of the snapshot held. Left out of most syncs, since they are the largest part
   * of the message; without them the answer holds no delta.
   */
  readonly held?: SectionHashes;
  readonly revision: number;
  /** Highest revision seen on any message. */
  readonly witnessedRevision: number;
  /** Version of the view that the entry holds; 0 for none. */
  readonly viewVersion: number;
  /** Boot id of the control daemon that the view held is of. */
  readonly viewOf?: string;
  readonly observations: readonly TargetObservation[];
  readonly suspects: readonly SuspectRecord[];
}

export interface EntrySyncResult {
  readonly control: ProcessRef;
  readonly revision: number;
  /** Absent when the entry holds this revision or sent no section hashes. */
  readonly delta?: SnapshotDelta;
  /** The whole view, unless the entry holds it or gets the changes. */
  readonly view?: DomainView;
  /** What changed since the version held, when that is of this control daemon. */
  readonly changes?: ViewChanges;
}

/** What changed in a view between two versions of one control daemon. */
export interface ViewChanges {
  readonly from: number;
  readonly version: number;
  readonly targets: readonly TargetState[];
  readonly processes: readonly ProcessRecord[];
  readonly summaries: readonly DomainSummary[];
  readonly suspects: readonly SuspectRecord[];
  /** Ids of items that are gone; absent when there are none. */
  readonly removed?: Readonly<
    Record<'targets' | 'processes' | 'summaries' | 'suspects', readonly string[]>
  >;
  readonly isolated: boolean;
  readonly entriesPerRegion: Readonly<Record<string, number>>;
}

/** What a control daemon tells its entries about the fleet. */
export interface DomainView {
  readonly version: number;
  readonly targets: readonly TargetState[];
  readonly processes: readonly ProcessRecord[];
  readonly summaries: readonly DomainSummary[];
  readonly suspects: readonly SuspectRecord[];
  /** Most targets failed at once: this failure domain is cut off. */
  readonly isolated: boolean;
  /** Live entry processes per region, to divide customers' limits. */
  readonly entriesPerRegion: Readonly<Record<string, number>>;
}

/** `config.fetch`: changed sections for a holder of the given hashes. */
export interface ConfigFetchParams {
  readonly from: ProcessRef;
  readonly held: SectionHashes;
  readonly revision: number;
}
export interface ConfigFetchResult {
  /** Absent when the answering daemon holds nothing newer. */
  readonly delta?: SnapshotDelta;
}

/** `vms.fetch`: the whole list, when newer. */
export interface VmsFetchParams {
  readonly from: ProcessRef;
  readonly version: number;
}
export interface VmsFetchResult {
  readonly list?: VmList;
}

/** `key.cancel`: asks the owner of a forwarded request to burn it. */
export interface KeyCancelParams {
  readonly from: ProcessRef;
  /** Boot id of the process that was handed the request; no other process knows its state. */
  readonly to: string;
  readonly customer: string;
  readonly key: string;
}
export interface KeyCancelResult {
  readonly state: 'cancelled' | 'sent' | 'unknown';
}

/** `suspect.report`: an entry tells another of a request that a target died of. */
export interface SuspectReportParams {
  readonly from: ProcessRef;
  readonly records: readonly SuspectRecord[];
}
export type SuspectReportResult = Record<string, never>;

/** One failure domain's difference between text and engines. */
export interface PlacementGap {
  readonly failureDomain: string;
  readonly service: string;
  readonly wanted: number;
  readonly ready: number;
  readonly sinceMs: number;
  readonly reason: string;
}

/** `status.get`: what a control daemon knows of the fleet. */
export interface StatusResult {
  readonly control: ProcessRef;
  readonly revision: number;
  readonly rejected?: { readonly revision: number; readonly message: string };
  readonly configServiceAgeMs: number;
  readonly processes: readonly ProcessRecord[];
  readonly targets: readonly TargetState[];
  readonly summaries: readonly DomainSummary[];
  readonly gaps: readonly PlacementGap[];
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
