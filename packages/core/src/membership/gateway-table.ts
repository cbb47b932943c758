/**
 * Gateways known by gossip. Only a gateway itself increments the heartbeat counter in its record.
 * It counts as alive while newer heartbeats arrive.
 */
import { sampleItems, type RandomSource } from '../random-source.js';
import { hashOf } from '../rendezvous.js';
import type { RegionWork } from '../routing/region-choice.js';

export const GatewayPhase = {
  Starting: 'starting',
  Ready: 'ready',
  /** Will leave soon and still accepts requests. */
  Draining: 'draining',
  /** Leaves and accepts only requests that end before it exits. */
  Finishing: 'finishing',
  /** Leaves and accepts no more requests. */
  Closing: 'closing',
} as const;
export type GatewayPhase = (typeof GatewayPhase)[keyof typeof GatewayPhase];

/** What a gateway publishes about itself. */
export interface GatewayRecord {
  readonly node: string;
  /** Start of the process, Unix ms; a later start replaces an earlier one. */
  readonly bootAt: number;
  /** Incremented with each message of the gateway. */
  readonly heartbeat: number;
  readonly phase: GatewayPhase;
  readonly region: string;
  readonly failureDomain: string;
  readonly ip: string;
  /** Version of the configuration in force; 0 without one. */
  readonly configVersion: number;
  /** Latest known revision of the platform's state, within its era. */
  readonly revision: number;
  /** Era of the platform's store; gateways of the previous release don't tell it. */
  readonly era?: number;
  /** Whether it reaches no target of its region; gateways of the previous release don't tell it. */
  readonly cutOff?: boolean;
  /**
   * How often the process has lost its targets or reached them again, which orders what is told of it.
   * Gateways of the previous release don't tell it.
   */
  readonly reachChanges?: number;
}

/**
 * Whether a gateway reaches its targets, as gateways relay it to each other. Records are rarely relayed, so
 * that most gateways of other regions would learn of a change late.
 */
export interface ReachSign {
  /** See `processIdOf`. */
  readonly processId: number;
  /** Count of the changes so far, modulo `REACH_MODULUS`; odd if the gateway is cut off. */
  readonly changes: number;
}

/** A sign of life that gateways relay to each other. */
export interface GatewayBeat {
  /** See `processIdOf`. */
  readonly processId: number;
  readonly phase: GatewayPhase;
  /** Time since the gateway itself sent it, ms. */
  readonly ageMs: number;
}

/** The record of a gateway as another one tells it. */
export interface RelayedRecord {
  readonly record: GatewayRecord;
  /** Time since the gateway itself sent its last known heartbeat, ms. */
  readonly ageMs: number;
}

/** Effect of a received beat. */
export const BeatResult = {
  Newer: 'newer',
  Outdated: 'outdated',
  /** The record of the process is missing. */
  Unknown: 'unknown',
} as const;
export type BeatResult = (typeof BeatResult)[keyof typeof BeatResult];

/** Load of a region as one of its gateways published it. */
export interface RegionSummary {
  readonly region: string;
  readonly work: Readonly<Record<string, RegionWork>>;
  readonly ageMs: number;
}

export interface KnownGateway {
  readonly processId: number;
  record: GatewayRecord;
  /** When it became known that the process leaves, monotonic ms; undefined if it does not. */
  leavingAt: number | undefined;
  /** When the gateway sent its last known heartbeat, monotonic ms. */
  lastHeartbeatAt: number;
  /** When it became known that the process has lost its targets or reaches them again, monotonic ms. */
  reachChangedAt: number;
}

/** Time without a heartbeat after which a gateway of a small fleet counts as lost. */
const MIN_LIVENESS_TIMEOUT_MS = 3000;
/** Heartbeats take more hops in a large fleet, so the timeout grows with it. */
const LIVENESS_TIMEOUT_PER_GATEWAY_MS = 90;
const MAX_LIVENESS_TIMEOUT_MS = 7000;
/** Records of lost gateways are kept, so that delayed messages do not bring them back. */
const RECORD_RETENTION_MS = 60_000;
/** Time for which a list of live gateways is used again, unless one is added. */
const ALIVE_LIFETIME_MS = 100;
const MAX_GATEWAYS = 2000;
const PHASES = Object.values(GatewayPhase);
/** Changes of reach are relayed first for this time after they became known. */
const REACH_RELAY_MS = 5000;
/** Counts of changes of reach are told modulo this number; one that is less than half ahead is newer. */
export const REACH_MODULUS = 256;

/** Process ids have 24 bits. Beats of a second process with the same id count for the first one. */
const PROCESS_IDS = 2 ** 24;

/**
 * Short id of one process of a gateway, by which beats refer to it.
 *
 * @example processIdOf({ node: 'vm-1', bootAt: 1_700_000_000_000 })
 */
export function processIdOf({ node, bootAt }: Pick<GatewayRecord, 'node' | 'bootAt'>): number {
  return hashOf(`${node}\n${bootAt}`) % PROCESS_IDS;
}

export class GatewayTable {
  private readonly known = new Map<string, KnownGateway>();

  /** Processes of known gateways, earlier ones included, with the time at which each was added. */
  private readonly processes = new Map<number, { readonly node: string; readonly at: number }>();

  private readonly summaries = new Map<string, { work: RegionSummary['work']; at: number }>();

  private aliveCache: { readonly at: number; readonly records: readonly GatewayRecord[] } = {
    at: -Infinity,
    records: [],
  };

  constructor(private readonly self: string) {}

  /**
   * Stores a record; returns true if it is newer than the stored one.
   *
   * @param ageMs time since the gateway itself sent it
   */
  mergeRecord(record: GatewayRecord, now: number, ageMs = 0): boolean {
    if (record.node === this.self) return false;
    const known = this.known.get(record.node);
    const processId =
      known && isSameProcess(record, known.record) ? known.processId : processIdOf(record);
    if (!this.processes.has(processId))
      this.processes.set(processId, { node: record.node, at: now });
    if (known && !isNewer(record, known.record)) return false;
    if (!known && this.known.size >= MAX_GATEWAYS) return false;
    const before = known?.processId === processId ? known : undefined;
    const merged = before ? withNewerReach(record, before.record) : record;
    const changesChoices =
      !before || before.record.phase !== record.phase || before.record.cutOff !== merged.cutOff;
    const sentAt = now - ageMs;
    const lastHeartbeatAt = Math.max(sentAt, before?.lastHeartbeatAt ?? sentAt);
    const leavingAt = isLeaving(record.phase) ? (before?.leavingAt ?? now) : undefined;
    const isSameReach = (before?.record.reachChanges ?? 0) === (merged.reachChanges ?? 0);
    const reachChangedAt = isSameReach ? (before?.reachChangedAt ?? -Infinity) : now;
    this.known.set(record.node, {
      processId,
      record: merged,
      leavingAt,
      lastHeartbeatAt,
      reachChangedAt,
    });
    if (changesChoices) this.clearCache();
    return true;
  }

  /** Stores a beat of a process whose record is known. */
  mergeBeat({ processId, phase, ageMs }: GatewayBeat, now: number): BeatResult {
    const node = this.processes.get(processId)?.node;
    if (node === undefined) return BeatResult.Unknown;
    const known = this.known.get(node);
    if (known?.processId !== processId) return BeatResult.Outdated;
    // Ages are inexact, but a process never returns to an earlier phase.
    if (PHASES.indexOf(phase) > PHASES.indexOf(known.record.phase)) {
      known.record = { ...known.record, phase };
      if (isLeaving(phase)) known.leavingAt ??= now;
      this.clearCache();
    }
    if (now - ageMs <= known.lastHeartbeatAt) return BeatResult.Outdated;
    known.lastHeartbeatAt = now - ageMs;
    return BeatResult.Newer;
  }

  /**
   * Stores whether a process reaches its targets; returns whether that was news.
   *
   * @example table.mergeReach({ processId: 7, changes: 1 }, now) // the gateway is cut off
   */
  mergeReach({ processId, changes }: ReachSign, now: number): boolean {
    const known = this.gatewayOf(processId);
    if (!known) return false;
    const { reachChanges: before = 0 } = known.record;
    const ahead = (changes - (before % REACH_MODULUS) + REACH_MODULUS) % REACH_MODULUS;
    if (ahead === 0 || ahead >= REACH_MODULUS / 2) return false;
    const reachChanges = before + ahead;
    known.record = { ...known.record, reachChanges, cutOff: isOdd(reachChanges) };
    known.reachChangedAt = now;
    this.clearCache();
    return true;
  }

  /**
   * What is relayed about the reach of gateways: recent changes, and some of the earlier ones, which
   * gateways may have missed.
   *
   * @param maxRecent limit of the recent changes
   * @param maxEarlier limit of the others
   */
  reachSigns(
    maxRecent: number,
    maxEarlier: number,
    random: RandomSource,
    now: number,
  ): readonly ReachSign[] {
    const changed = [...this.known.values()].filter(({ record }) => (record.reachChanges ?? 0) > 0);
    const isRecent = ({ reachChangedAt }: KnownGateway): boolean =>
      now - reachChangedAt < REACH_RELAY_MS;
    const earlier = changed.filter((known) => !isRecent(known));
    return [
      ...sampleItems(changed.filter(isRecent), maxRecent, random),
      ...sampleItems(earlier, maxEarlier, random),
    ].map(({ processId, record }) => ({
      processId,
      changes: (record.reachChanges ?? 0) % REACH_MODULUS,
    }));
  }

  /** Stores the load of a region, unless a newer summary is known. */
  mergeSummary({ region, work, ageMs }: RegionSummary, now: number): void {
    const at = now - ageMs;
    if (at <= (this.summaries.get(region)?.at ?? -Infinity)) return;
    this.summaries.set(region, { work, at });
  }

  /** The newest known load of a region; undefined before the first one. */
  summaryOf(region: string, now: number): RegionSummary | undefined {
    const summary = this.summaries.get(region);
    return summary && { region, work: summary.work, ageMs: now - summary.at };
  }

  /** Summaries of all regions that are not older than `maxAgeMs`. */
  recentSummaries(maxAgeMs: number, now: number): RegionSummary[] {
    return [...this.summaries]
      .map(([region, { work, at }]) => ({ region, work, ageMs: now - at }))
      .filter(({ ageMs }) => ageMs <= maxAgeMs);
  }

  /** Other gateways with a recent heartbeat; versions in it may be `ALIVE_LIFETIME_MS` old. */
  alive(now: number): readonly GatewayRecord[] {
    if (now - this.aliveCache.at >= ALIVE_LIFETIME_MS) {
      const timeoutMs = this.livenessTimeoutMs();
      const records = [...this.known.values()]
        .filter(({ lastHeartbeatAt }) => now - lastHeartbeatAt < timeoutMs)
        .map(({ record }) => record);
      this.aliveCache = { at: now, records };
    }
    return this.aliveCache.records;
  }

  /** Whether a gateway is known and counts as alive. */
  isAlive(node: string, now: number): boolean {
    return this.ageMs(node, now) < this.livenessTimeoutMs();
  }

  /** Live gateways of which nothing was heard for some time, the longest silent ones first. */
  silent(minAgeMs: number, now: number): GatewayRecord[] {
    const timeoutMs = this.livenessTimeoutMs();
    return [...this.known.values()]
      .filter(({ lastHeartbeatAt }) => {
        const ageMs = now - lastHeartbeatAt;
        return ageMs >= minAgeMs && ageMs < timeoutMs;
      })
      .sort((a, b) => a.lastHeartbeatAt - b.lastHeartbeatAt)
      .map(({ record }) => record);
  }

  /** Known gateways without a recent heartbeat. */
  lost(now: number): GatewayRecord[] {
    const timeoutMs = this.livenessTimeoutMs();
    return [...this.known.values()]
      .filter(({ lastHeartbeatAt }) => now - lastHeartbeatAt >= timeoutMs)
      .map(({ record }) => record);
  }

  get(node: string): GatewayRecord | undefined {
    return this.known.get(node)?.record;
  }

  /** When it became known that a gateway leaves, monotonic ms; undefined if it is not known to leave. */
  leavingAt(node: string): number | undefined {
    return this.known.get(node)?.leavingAt;
  }

  /** A gateway by its process; undefined if it is unknown or has been replaced. */
  gatewayOf(processId: number): KnownGateway | undefined {
    const known = this.known.get(this.processes.get(processId)?.node ?? '');
    return known?.processId === processId ? known : undefined;
  }

  /**
   * For how long a live gateway has been known to reach no target, ms; 0 if it is not known to. One of an earlier
   * release tells no order of its changes, and counts as reaching its targets here.
   */
  cutOffForMs(node: string, now: number): number {
    const known = this.known.get(node);
    if (!known || !isOdd(known.record.reachChanges ?? 0) || !this.isAlive(node, now)) return 0;
    return now - known.reachChangedAt;
  }

  /** Time since a gateway sent its last known heartbeat in ms; Infinity for an unknown one. */
  ageMs(node: string, now: number): number {
    const known = this.known.get(node);
    return known ? now - known.lastHeartbeatAt : Infinity;
  }

  /**
   * Gateways whose beats may be relayed, with `beatOf`.
   *
   * @param maxAgeMs leaves out those with an older heartbeat
   */
  recent(now: number, maxAgeMs = MIN_LIVENESS_TIMEOUT_MS): readonly KnownGateway[] {
    return [...this.known.values()].filter(
      ({ lastHeartbeatAt }) => now - lastHeartbeatAt < maxAgeMs,
    );
  }

  /** Removes records without a newer heartbeat for `RECORD_RETENTION_MS`, and earlier processes. */
  expire(now: number): void {
    [...this.known.values()]
      .filter(({ lastHeartbeatAt }) => now - lastHeartbeatAt > RECORD_RETENTION_MS)
      .forEach(({ record }) => this.known.delete(record.node));
    [...this.processes]
      .filter(([id, { node, at }]) => {
        const isCurrent = this.known.get(node)?.processId === id;
        return !isCurrent && now - at > RECORD_RETENTION_MS;
      })
      .forEach(([id]) => this.processes.delete(id));
  }

  private clearCache(): void {
    this.aliveCache = { at: -Infinity, records: [] };
  }

  private livenessTimeoutMs(): number {
    const scaled = this.known.size * LIVENESS_TIMEOUT_PER_GATEWAY_MS;
    return Math.min(MAX_LIVENESS_TIMEOUT_MS, Math.max(MIN_LIVENESS_TIMEOUT_MS, scaled));
  }
}

/** The beat of a known gateway as it is relayed now. */
export function beatOf(known: KnownGateway, now: number): GatewayBeat {
  const { processId, record, lastHeartbeatAt } = known;
  return { processId, phase: record.phase, ageMs: now - lastHeartbeatAt };
}

function isLeaving(phase: GatewayPhase): boolean {
  return PHASES.indexOf(phase) >= PHASES.indexOf(GatewayPhase.Draining);
}

function isSameProcess(a: GatewayRecord, b: GatewayRecord): boolean {
  return a.node === b.node && a.bootAt === b.bootAt;
}

/** The record with what is known of its reach, if that is newer. */
function withNewerReach(record: GatewayRecord, known: GatewayRecord): GatewayRecord {
  const { reachChanges = 0, cutOff = false } = known;
  if ((record.reachChanges ?? 0) >= reachChanges) return record;
  return { ...record, reachChanges, cutOff };
}

function isOdd(count: number): boolean {
  return count % 2 === 1;
}

function isNewer(a: GatewayRecord, b: GatewayRecord): boolean {
  return a.bootAt > b.bootAt || (a.bootAt === b.bootAt && a.heartbeat > b.heartbeat);
}
