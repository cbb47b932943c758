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
  readonly beat: number;
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
export type GatewayBeat = Pick<
  GatewayRecord,
  'node' | 'bootAt' | 'beat' | 'phase' | 'configVersion' | 'revision'
>;

interface KnownGateway {
  readonly record: GatewayRecord;
  /** When the counter moved last, monotonic ms. */
  readonly heardAt: number;
  /** When the work of the region was told last, monotonic ms. */
  readonly workAt: number;
}

/** A gateway of a fleet this small is taken for dead after this time. */
const MIN_LIFETIME_MS = 3000;
/** Records of a large fleet travel more hops. */
const LIFETIME_PER_GATEWAY_MS = 90;
const MAX_LIFETIME_MS = 7000;
/** Records of gateways that are gone are kept, so that old messages don't bring them back. */
const FORGET_MS = 60_000;

export class GatewayTable {
  private readonly known = new Map<string, KnownGateway>();

  constructor(private readonly self: string) {}

  /** Takes a record; true when it is newer than the one known. */
  learn(record: GatewayRecord, now: number): boolean {
    if (record.node === this.self) return false;
    const known = this.known.get(record.node);
    if (known && !isNewer(record, known.record)) return false;
    this.known.set(record.node, { record, heardAt: now, workAt: now });
    return true;
  }

  /** Takes a beat of a gateway whose record is known; true when it is newer. */
  learnBeat(beat: GatewayBeat, now: number): boolean {
    const known = this.known.get(beat.node);
    if (!known || !isNewer(beat, known.record)) return false;
    this.known.set(beat.node, { ...known, record: { ...known.record, ...beat }, heardAt: now });
    return true;
  }

  /** Gateways whose counter moved lately, this one not included. */
  alive(now: number): GatewayRecord[] {
    const lifetimeMs = this.lifetimeMs();
    return [...this.known.values()]
      .filter(({ heardAt }) => now - heardAt < lifetimeMs)
      .map(({ record }) => record);
  }

  /** Gateways that were known once and are not alive. */
  lost(now: number): GatewayRecord[] {
    const lifetimeMs = this.lifetimeMs();
    return [...this.known.values()]
      .filter(({ heardAt }) => now - heardAt >= lifetimeMs)
      .map(({ record }) => record);
  }

  get(node: string): GatewayRecord | undefined {
    return this.known.get(node)?.record;
  }

  /** Age of what is known of a gateway, ms. */
  ageMs(node: string, now: number): number {
    const known = this.known.get(node);
    return known ? now - known.heardAt : Infinity;
  }

  /** Age of the work that a gateway told of its region, ms. */
  workAgeMs(node: string, now: number): number {
    const known = this.known.get(node);
    return known ? now - known.workAt : Infinity;
  }

  /** Records heard lately in random order, for a message; those of `except` are left out. */
  recent(except: string, random: RandomSource, now: number): GatewayRecord[] {
    return [...this.known.values()]
      .filter(({ record, heardAt }) => record.node !== except && now - heardAt < MIN_LIFETIME_MS)
      .map(({ record }) => ({ record, at: random.next() }))
      .sort((a, b) => a.at - b.at)
      .map(({ record }) => record);
  }

  expire(now: number): void {
    [...this.known.values()]
      .filter(({ heardAt }) => now - heardAt > FORGET_MS)
      .forEach(({ record }) => this.known.delete(record.node));
  }

  private lifetimeMs(): number {
    const scaled = this.known.size * LIFETIME_PER_GATEWAY_MS;
    return Math.min(MAX_LIFETIME_MS, Math.max(MIN_LIFETIME_MS, scaled));
  }
}

function isNewer(a: GatewayBeat, b: GatewayBeat): boolean {
  return a.bootAt > b.bootAt || (a.bootAt === b.bootAt && a.beat > b.beat);
}
