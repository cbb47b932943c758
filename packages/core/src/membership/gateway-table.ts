/**
 * Gateways known by gossip. Only a gateway itself increments the heartbeat counter in its record.
 * It counts as alive while newer heartbeats arrive.
 */
import type { RandomSource } from '../random-source.js';
import type { RegionWork } from '../routing/region-choice.js';

export const GatewayPhase = {
  Starting: 'starting',
  Ready: 'ready',
  /** Will leave soon and still accepts requests. */
  Draining: 'draining',
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
  /** Latest known revision of the platform's state. */
  readonly revision: number;
  /** Work of the region by service, as aggregated by this gateway. */
  readonly regionWork: Readonly<Record<string, RegionWork>>;
}

/** The frequently changing part of a record, which gateways relay to each other. */
export type GatewayHeartbeat = Pick<
  GatewayRecord,
  'node' | 'bootAt' | 'heartbeat' | 'phase' | 'configVersion' | 'revision'
>;

interface KnownGateway {
  readonly record: GatewayRecord;
  /** When the last newer heartbeat arrived, monotonic ms. */
  readonly lastHeartbeatAt: number;
  /** When the work of the region was last received, monotonic ms. */
  readonly workUpdatedAt: number;
}

/** Time without a heartbeat after which a gateway of a small fleet counts as lost. */
const MIN_LIVENESS_TIMEOUT_MS = 3000;
/** Heartbeats take more hops in a large fleet, so the timeout grows with it. */
const LIVENESS_TIMEOUT_PER_GATEWAY_MS = 90;
const MAX_LIVENESS_TIMEOUT_MS = 7000;
/** Records of lost gateways are kept, so that delayed messages do not bring them back. */
const RECORD_RETENTION_MS = 60_000;

export class GatewayTable {
  private readonly known = new Map<string, KnownGateway>();

  constructor(private readonly self: string) {}

  /** Stores a record; returns true if it is newer than the stored one. */
  mergeRecord(record: GatewayRecord, now: number): boolean {
    if (record.node === this.self) return false;
    const known = this.known.get(record.node);
    if (known && !isNewer(record, known.record)) return false;
    this.known.set(record.node, { record, lastHeartbeatAt: now, workUpdatedAt: now });
    return true;
  }

  /** Stores a heartbeat of a gateway with a stored record; returns true if it is newer. */
  mergeHeartbeat(heartbeat: GatewayHeartbeat, now: number): boolean {
    const known = this.known.get(heartbeat.node);
    if (!known || !isNewer(heartbeat, known.record)) return false;
    this.known.set(heartbeat.node, {
      ...known,
      record: { ...known.record, ...heartbeat },
      lastHeartbeatAt: now,
    });
    return true;
  }

  /** Other gateways with a recent heartbeat. */
  alive(now: number): GatewayRecord[] {
    const timeoutMs = this.livenessTimeoutMs();
    return [...this.known.values()]
      .filter(({ lastHeartbeatAt }) => now - lastHeartbeatAt < timeoutMs)
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

  /** Time since the last heartbeat of a gateway in ms; Infinity for an unknown one. */
  ageMs(node: string, now: number): number {
    const known = this.known.get(node);
    return known ? now - known.lastHeartbeatAt : Infinity;
  }

  /** Age of the work that a gateway published for its region in ms; Infinity for an unknown one. */
  workAgeMs(node: string, now: number): number {
    const known = this.known.get(node);
    return known ? now - known.workUpdatedAt : Infinity;
  }

  /** Recently updated records in random order, to be relayed; excludes the record of `except`. */
  shuffledRecent(except: string, random: RandomSource, now: number): GatewayRecord[] {
    return [...this.known.values()]
      .filter(
        ({ record, lastHeartbeatAt }) =>
          record.node !== except && now - lastHeartbeatAt < MIN_LIVENESS_TIMEOUT_MS,
      )
      .map(({ record }) => ({ record, sortKey: random.next() }))
      .sort((a, b) => a.sortKey - b.sortKey)
      .map(({ record }) => record);
  }

  /** Removes records without a newer heartbeat for `RECORD_RETENTION_MS`. */
  expire(now: number): void {
    [...this.known.values()]
      .filter(({ lastHeartbeatAt }) => now - lastHeartbeatAt > RECORD_RETENTION_MS)
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
