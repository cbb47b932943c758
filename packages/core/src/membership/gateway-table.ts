/**
 * Gateways that know of each other by gossip. A record travels with a counter that only its owner
 * raises; a gateway is alive while its counter moves.
 */
import type { RandomSource } from '../random-source.js';
import type { RegionWork } from '../routing/region-choice.js';

export const GatewayPhase = {
  Starting: 'starting',
  Ready: 'ready',
  /** Leaves soon and still takes requests. */
  Draining: 'draining',
  /** Leaves and takes no more requests. */
  Closing: 'closing',
} as const;
export type GatewayPhase = (typeof GatewayPhase)[keyof typeof GatewayPhase];

/** What a gateway tells about itself. */
export interface GatewayRecord {
  readonly node: string;
  /** Start of the process, Unix ms; a later start replaces an earlier one. */
  readonly bootAt: number;
  readonly heartbeat: number;
  readonly phase: GatewayPhase;
  readonly region: string;
  readonly failureDomain: string;
  readonly ip: string;
  /** Version of the configuration in force; 0 without one. */
  readonly configVersion: number;
  /** Revision of the platform's state that is known. */
  readonly revision: number;
  /** Work of the region by service, as this gateway sums it up. */
  readonly regionWork: Readonly<Record<string, RegionWork>>;
}

/** The part of a record that changes often, as one gateway passes it on to another. */
export type GatewayHeartbeat = Pick<
  GatewayRecord,
  'node' | 'bootAt' | 'beat' | 'phase' | 'configVersion' | 'revision'
>;

interface KnownGateway {
  readonly record: GatewayRecord;
  /** When the counter moved last, monotonic ms. */
  readonly lastHeartbeatAt: number;
  /** When the work of the region was told last, monotonic ms. */
  readonly workUpdatedAt: number;
}

/** A gateway of a fleet this small is taken for dead after this time. */
const MIN_LIVENESS_TIMEOUT_MS = 3000;
/** Records of a large fleet travel more hops. */
const LIVENESS_TIMEOUT_PER_GATEWAY_MS = 90;
const MAX_LIVENESS_TIMEOUT_MS = 7000;
/** Records of gateways that are gone are kept, so that old messages don't bring them back. */
const RECORD_RETENTION_MS = 60_000;

export class GatewayTable {
  private readonly known = new Map<string, KnownGateway>();

  constructor(private readonly self: string) {}

  /** Takes a record; true when it is newer than the one known. */
  mergeRecord(record: GatewayRecord, now: number): boolean {
    if (record.node === this.self) return false;
    const known = this.known.get(record.node);
    if (known && !isNewer(record, known.record)) return false;
    this.known.set(record.node, { record, lastHeartbeatAt: now, workUpdatedAt: now });
    return true;
  }

  /** Takes a beat of a gateway whose record is known; true when it is newer. */
  mergeHeartbeat(beat: GatewayHeartbeat, now: number): boolean {
    const known = this.known.get(beat.node);
    if (!known || !isNewer(beat, known.record)) return false;
    this.known.set(beat.node, { ...known, record: { ...known.record, ...beat }, lastHeartbeatAt: now });
    return true;
  }

  /** Gateways whose counter moved lately, this one not included. */
  alive(now: number): GatewayRecord[] {
    const lifetimeMs = this.livenessTimeoutMs();
    return [...this.known.values()]
      .filter(({ lastHeartbeatAt: heardAt }) => now - heardAt < lifetimeMs)
      .map(({ record }) => record);
  }

  /** Gateways that were known once and are not alive. */
  lost(now: number): GatewayRecord[] {
    const lifetimeMs = this.livenessTimeoutMs();
    return [...this.known.values()]
      .filter(({ lastHeartbeatAt: heardAt }) => now - heardAt >= lifetimeMs)
      .map(({ record }) => record);
  }

  get(node: string): GatewayRecord | undefined {
    return this.known.get(node)?.record;
  }

  /** Age of what is known of a gateway, ms. */
  ageMs(node: string, now: number): number {
    const known = this.known.get(node);
    return known ? now - known.lastHeartbeatAt : Infinity;
  }

  /** Age of the work that a gateway told of its region, ms. */
  workAgeMs(node: string, now: number): number {
    const known = this.known.get(node);
    return known ? now - known.workUpdatedAt : Infinity;
  }

  /** Records heard lately in random order, for a message; those of `except` are left out. */
  shuffledRecent(except: string, random: RandomSource, now: number): GatewayRecord[] {
    return [...this.known.values()]
      .filter(({ record, lastHeartbeatAt: heardAt }) => record.node !== except && now - heardAt < MIN_LIVENESS_TIMEOUT_MS)
      .map(({ record }) => ({ record, at: random.next() }))
      .sort((a, b) => a.at - b.at)
      .map(({ record }) => record);
  }

  expire(now: number): void {
    [...this.known.values()]
      .filter(({ lastHeartbeatAt: heardAt }) => now - heardAt > RECORD_RETENTION_MS)
      .forEach(({ record }) => this.known.delete(record.node));
  }

  private livenessTimeoutMs(): number {
    const scaled = this.known.size * LIVENESS_TIMEOUT_PER_GATEWAY_MS;
    return Math.min(MAX_LIVENESS_TIMEOUT_MS, Math.max(MIN_LIVENESS_TIMEOUT_MS, scaled));
  }
}

function isNewer(a: GatewayHeartbeat, b: GatewayHeartbeat): boolean {
  return a.bootAt > b.bootAt || (a.bootAt === b.bootAt && a.heartbeat > b.heartbeat);
}
