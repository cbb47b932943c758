/** Gossip between gateways: JSON-RPC notifications in datagrams, with records as arrays. */
import {
  GatewayPhase,
  readEra,
  type GatewayBeat,
  type GatewayRecord,
  type HostUsageRow,
  type PeerWork,
  type ReachSign,
  type RegionSummary,
  type RelayedRecord,
  type RegionWork,
  type RosterMember,
  type RosterSummary,
  type SuspectRow,
} from '@marjoramcart/core';
import {
  fromDemandWireRow,
  toDemandWireRow,
  type DemandRow,
  type DemandWireRow,
} from '../sharing/packed-demand.js';
import { encodeNotification, type Notification } from './notification.js';
import {
  packBeats,
  packProcessIds,
  packReachSigns,
  unpackBeats,
  unpackProcessIds,
  unpackReachSigns,
} from './packed-beats.js';
import {
  fromLeavingWireRow,
  fromLimitWireRow,
  fromRejectionLimitWireRow,
  toLeavingWireRow,
  toLimitWireRow,
  toRejectionLimitWireRow,
  type LeavingWireRow,
  type LimitWireRow,
  type RejectionLimitWireRow,
  type SignalRows,
} from './signal-rows.js';
import { fromSuspectWireRow, toSuspectWireRow, type SuspectWireRow } from './suspect-rows.js';

const METHOD = 'gateway.gossip';
const PHASES = [
  GatewayPhase.Starting,
  GatewayPhase.Ready,
  GatewayPhase.Draining,
  GatewayPhase.Closing,
  GatewayPhase.Finishing,
] as const;

export interface GossipMessage {
  readonly from: GatewayRecord;
  /** Records of other gateways. */
  readonly others: readonly RelayedRecord[];
  /** Signs of life of further gateways, which the receiver applies if it has their records. */
  readonly beats: readonly GatewayBeat[];
  /** Whether further gateways reach their targets, where that has changed. */
  readonly reach: readonly ReachSign[];
  /**
   * Set while the sender is still discovering gateways: asks for the beats of a part of those that the
   * receiver knows. Numbered, so that a few messages ask for all.
   */
  readonly pull?: number;
  /** Processes in the receiver's beats whose records the sender lacks. */
  readonly wanted: readonly number[];
  /** Load of the sender's region. */
  readonly work: RegionSummary['work'];
  /** Load of further regions. */
  readonly summaries: readonly RegionSummary[];
  /** Load that the sender puts on targets of its region; only sent within a small region. */
  readonly targetWork: Readonly<Record<string, PeerWork>>;
  /** Roster of the sender's region; only sent within the region. */
  readonly roster?: RosterSummary;
  /** Members of that roster; sent when the receiver's roster differs. */
  readonly rosterMembers: readonly RosterMember[];
  /** Prompt segments that may crash targets. */
  readonly suspects: readonly SuspectRow[];
  /** What targets of the sender's region said about themselves; only sent within the region. */
  readonly signals: SignalRows;
  /** Requests of the sender's callers by route; only sent to other regions. */
  readonly usage: readonly HostUsageRow[];
  /** Demand of the sender's callers for services that are short; only sent within the region. */
  readonly demands: readonly DemandRow[];
  /** Sender's clock, ms. */
  readonly sentAt: number;
  /** `sentAt` of the receiver's last message, and the time since it was received, ms. */
  readonly echo?: { readonly sentAt: number; readonly heldMs: number };
}

/** Earlier releases read neither the era, nor whether the gateway is cut off, nor how often that changed. */
type RecordRow = readonly [
  ...OwnRow,
  ageMs?: number,
  era?: number | null,
  cutOff?: 0 | 1,
  reachChanges?: number,
];

/**
 * A record; in `RecordRow`, its age follows, ms, which is 0 in the sender's own record, the era, 1 if the
 * gateway reaches no target, and how often that has changed.
 */
type OwnRow = readonly [
  node: string,
  bootAt: number,
  heartbeat: number,
  phase: number,
  region: string,
  failureDomain: string,
  ip: string,
  configVersion: number,
  revision: number,
  /** Load of the sender's region; empty in the records of other gateways. */
  work: WorkRows,
];

type WorkRows = Readonly<Record<string, WorkRow>>;

/**
 * Targets, slots, requests, backlog in ms, KV memory in use and its capacity in tokens, and the time
 * between events of streams in ms, which the previous release ignores.
 */
type WorkRow = readonly [number, number, number, number, number, number, number?];

type SummaryRow = readonly [string, number, WorkRows];

interface MessageParams {
  readonly f: RecordRow;
  readonly o: readonly RecordRow[];
  /** Beats; see `packBeats`. */
  readonly h?: string;
  /** Reach of gateways; see `packReachSigns`. */
  readonly x?: string;
  readonly p?: number;
  /** Process ids of the wanted records. */
  readonly u?: string;
  /** Region, age of its load in ms, and the load by service. */
  readonly g?: readonly SummaryRow[];
  readonly w: Readonly<Record<string, readonly [number, number]>>;
  readonly t: number;
  readonly e?: readonly [number, number];
  /** Digest of the roster, and whether it is complete. */
  readonly r?: readonly [number, 0 | 1];
  /** Members of the roster, and the time since their last signs of life in s. */
  readonly m?: readonly (readonly [string, number])[];
  readonly s?: readonly SuspectWireRow[];
  /** Leaving targets. */
  readonly l?: readonly LeavingWireRow[];
  /** Rate limits of targets. */
  readonly q?: readonly LimitWireRow[];
  /** Rejection limits of services. */
  readonly j?: readonly RejectionLimitWireRow[];
  /** Requests by route: a host, and prefixes with counts. */
  readonly c?: readonly (readonly [string, HostUsageRow['counts']])[];
  /** Demand for services. */
  readonly d?: readonly DemandWireRow[];
}

/** Position of the load in a record. */
const WORK_INDEX = 9;
const AGE_INDEX = 10;
const ERA_INDEX = 11;
const CUT_OFF_INDEX = 12;
const REACH_CHANGES_INDEX = 13;
/** Assumed age of a record that was sent without one, by a gateway of the previous release. */
const UNKNOWN_AGE_MS = 1500;
const MS_PER_S = 1000;

/** Encodes a message into a datagram. */
export function encodeGossip(message: GossipMessage): Buffer {
  const { signals } = message;
  const params: MessageParams = {
    f: toRow(message.from, toWorkRows(message.work), 0),
    o: message.others.map(({ record, ageMs }) => toRow(record, {}, Math.ceil(ageMs))),
    ...(message.beats.length > 0 ? { h: packBeats(message.beats) } : {}),
    ...(message.reach.length > 0 ? { x: packReachSigns(message.reach) } : {}),
    ...(message.pull === undefined ? {} : { p: message.pull }),
    ...(message.wanted.length > 0 ? { u: packProcessIds(message.wanted) } : {}),
    ...(message.summaries.length > 0 ? { g: message.summaries.map(toSummaryRow) } : {}),
    w: mapValues(message.targetWork, ({ requests, memoryTokens }) => [requests, memoryTokens]),
    t: message.sentAt,
    ...(message.echo ? { e: [message.echo.sentAt, message.echo.heldMs] as const } : {}),
    ...(message.roster
      ? { r: [message.roster.digest, message.roster.complete ? 1 : 0] as const }
      : {}),
    ...(message.rosterMembers.length > 0 ? { m: message.rosterMembers.map(toMemberRow) } : {}),
    ...(message.suspects.length > 0 ? { s: message.suspects.map(toSuspectWireRow) } : {}),
    ...(signals.leaving.length > 0 ? { l: signals.leaving.map(toLeavingWireRow) } : {}),
    ...(signals.limits.length > 0 ? { q: signals.limits.map(toLimitWireRow) } : {}),
    ...(signals.rejectionLimits.length > 0
      ? { j: signals.rejectionLimits.map(toRejectionLimitWireRow) }
      : {}),
    ...(message.usage.length > 0
      ? { c: message.usage.map(({ host, counts }) => [host, counts] as const) }
      : {}),
    ...(message.demands.length > 0 ? { d: message.demands.map(toDemandWireRow) } : {}),
  };
  return encodeNotification(METHOD, params);
}

/**
 * Decodes a notification.
 *
 * @returns undefined when it is of another kind
 * @throws TypeError when its parameters are malformed
 */
export function decodeGossip({ method, params }: Notification): GossipMessage | undefined {
  if (method !== METHOD) return undefined;
  const {
    f,
    o,
    h = '',
    u = '',
    x = '',
    p,
    g = [],
    w,
    t,
    e,
    r,
    m = [],
    s = [],
    l = [],
    q = [],
    j = [],
    c = [],
    d = [],
  } = params as MessageParams;
  return {
    from: fromRow(f),
    others: o.map((row) => ({ record: fromRow(row), ageMs: row[AGE_INDEX] ?? UNKNOWN_AGE_MS })),
    beats: unpackBeats(h),
    reach: unpackReachSigns(x),
    ...(p === undefined ? {} : { pull: p }),
    wanted: unpackProcessIds(u),
    work: fromWorkRows(f[WORK_INDEX]),
    summaries: g.map(([region, ageMs, rows]) => ({ region, ageMs, work: fromWorkRows(rows) })),
    targetWork: mapValues(w, ([requests, memoryTokens]) => ({ requests, memoryTokens })),
    sentAt: t,
    ...(e ? { echo: { sentAt: e[0], heldMs: e[1] } } : {}),
    ...(r ? { roster: { digest: r[0], complete: r[1] === 1 } } : {}),
    rosterMembers: m.map(([node, ageS]) => ({ node, ageMs: ageS * MS_PER_S })),
    suspects: s.map(fromSuspectWireRow),
    signals: {
      leaving: l.map(fromLeavingWireRow),
      limits: q.map(fromLimitWireRow),
      rejectionLimits: j.map(fromRejectionLimitWireRow),
    },
    usage: c.map(([host, counts]) => ({ host, counts })),
    demands: d.map(fromDemandWireRow).filter((row) => row !== undefined),
  };
}

function toMemberRow({ node, ageMs }: RosterMember): readonly [string, number] {
  return [node, Math.round(ageMs / MS_PER_S)];
}

function toRow(record: GatewayRecord, work: WorkRows, ageMs: number): RecordRow {
  return [
    record.node,
    record.bootAt,
    record.heartbeat,
    PHASES.indexOf(record.phase),
    record.region,
    record.failureDomain,
    record.ip,
    record.configVersion,
    record.revision,
    work,
    ageMs,
    record.era ?? null,
    record.cutOff ? 1 : 0,
    ...(record.reachChanges ? ([record.reachChanges] as const) : ([] as const)),
  ];
}

function toSummaryRow({ region, ageMs, work }: RegionSummary): SummaryRow {
  return [region, Math.round(ageMs), toWorkRows(work)];
}

function toWorkRows(work: RegionSummary['work']): WorkRows {
  return mapValues(work, (row) => [
    row.targets,
    row.slots,
    row.requests,
    Math.round(row.backlogMs),
    row.memoryTokens,
    row.memoryCapacityTokens,
    ...(row.paceMs === undefined ? ([] as const) : ([Math.round(row.paceMs)] as const)),
  ]);
}

function fromWorkRows(rows: WorkRows): Record<string, RegionWork> {
  return mapValues(
    rows,
    ([targets, slots, requests, backlogMs, memoryTokens, memoryCapacityTokens, paceMs]) => ({
      targets,
      slots,
      requests,
      backlogMs,
      memoryTokens,
      memoryCapacityTokens,
      ...(paceMs === undefined ? {} : { paceMs }),
    }),
  );
}

function phaseAt(index: number): GatewayPhase {
  return PHASES[index] ?? GatewayPhase.Starting;
}

function fromRow(row: RecordRow): GatewayRecord {
  const [node, bootAt, heartbeat, phase, region, failureDomain, ip, configVersion, revision] = row;
  const era = readEra(row[ERA_INDEX]);
  const reachChanges = row[REACH_CHANGES_INDEX];
  return {
    node,
    bootAt,
    heartbeat,
    phase: phaseAt(phase),
    region,
    failureDomain,
    ip,
    configVersion,
    revision,
    ...(era === undefined ? {} : { era }),
    ...(row[CUT_OFF_INDEX] === 1 ? { cutOff: true } : {}),
    ...(reachChanges === undefined ? {} : { reachChanges }),
  };
}

function mapValues<Value, Result>(
  record: Readonly<Record<string, Value>>,
  fn: (value: Value) => Result,
): Record<string, Result> {
  return Object.fromEntries(Object.entries(record).map(([key, value]) => [key, fn(value)]));
}
