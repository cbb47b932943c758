/**
 * Whom a gateway asks for a customer's amounts, and for which customers it grants them itself.
 *
 * The owner is the first live gateway of the customer's owner region in rendezvous order. Others of
 * that region take over when they can't reach it. While the whole region can't be reached, deputies
 * in other regions grant the part of the rate that corresponds to their number of gateways, and the
 * owner grants the rest.
 */
import { rendezvousOrder } from '../rendezvous.js';
import type { FleetMembers } from './fleet-members.js';
import type { QuotaPeers } from './quota-peers.js';

/** A process that has just started may not know the owner, or be known to it. */
const SILENT_START_MS = 1000;
/** A region that is silent for this time is cut off from the owners in this one. */
const DETACH_MS = 2500;
/** A deputy starts later than the owner leaves its share to it. */
const REGION_SILENT_MS = 3000;
/** A region that is reached again counts as cut off for this time, in which its deputies notice too. */
const REATTACH_MS = 1500;
/** A deputy pings the candidates of the region for this time first, four of them three times each. */
const REGION_PROBE_MS = 600;
/** What the probe of a region found is not used after it has paused for this time. */
const INTEREST_MS = 1500;
/** Gateways of a region that may grant for a customer; more than fail within a liveness timeout. */
const CANDIDATES = 4;
/** Orders of candidates that are kept, about 200 bytes each. */
const MAX_ORDERS = 4096;

interface Order {
  readonly members: readonly string[];
  readonly candidates: readonly string[];
}

/** What a gateway grants of a customer's limit; a share of 0 if it does not grant. */
export interface QuotaRole {
  readonly share: number;
  /** Since when no other gateway can have granted, monotonic ms. */
  readonly ownerSince: number;
  /** Whether it does so in place of another gateway. */
  readonly standIn: 'none' | 'second' | 'deputy';
}

const NO_ROLE: QuotaRole = { share: 0, ownerSince: Infinity, standIn: 'none' };

export class QuotaOwnerChoice {
  private readonly orders = new Map<string, Order>();

  private readonly ownerRegions = new Map<string, string>();

  /** Regions probed as a deputy. */
  private readonly regionProbes = new Map<string, { startedAt: number; wantedAt: number }>();

  /** When another region was first heard after a silence, monotonic ms. */
  private readonly attachedAt = new Map<string, number>();

  /** When a deputy for this region was last heard from, by its region, monotonic ms. */
  private readonly deputyAt = new Map<string, number>();

  /**
   * @param startedAt start of the process, monotonic ms
   * @param heartbeatAt when a gateway sent its last heartbeat known by gossip, monotonic ms
   */
  constructor(
    private readonly self: { readonly node: string; readonly region: string },
    private readonly members: FleetMembers,
    private readonly peers: QuotaPeers,
    private readonly startedAt: number,
    private readonly heartbeatAt: (node: string, now: number) => number,
  ) {}

  /** Orders that are kept. */
  get size(): number {
    return this.orders.size + this.ownerRegions.size;
  }

  /** @example choice.ownerRegion('acme') // 'north' */
  ownerRegion(customer: string): string {
    const known = this.ownerRegions.get(customer);
    if (known !== undefined) return known;
    if (this.ownerRegions.size >= MAX_ORDERS) this.ownerRegions.clear();
    const region = rendezvousOrder(customer, this.members.regions)[0] ?? this.self.region;
    this.ownerRegions.set(customer, region);
    return region;
  }

  /**
   * Gateway to ask for a customer's amounts; undefined if none is known that answers.
   *
   * @param now monotonic ms, as in all methods
   */
  target(customer: string, now: number): string | undefined {
    const region = this.ownerRegion(customer);
    const { region: own } = this.self;
    const isCutOff = region !== own && this.regionSilentMs(region, now) >= REGION_SILENT_MS;
    const candidates = this.candidates(customer, isCutOff ? own : region);
    const [first] = candidates;
    if (first === undefined || !this.isSilent(first, now)) return first;
    // An answer ends the silence.
    this.peers.probe(first, now);
    return candidates.find((node) => !this.isSilent(node, now));
  }

  /** What this gateway grants for a customer; begins to probe those that come first. */
  role(customer: string, now: number): QuotaRole {
    if (now - this.startedAt < SILENT_START_MS) return NO_ROLE;
    const { node: self, region: own } = this.self;
    const local = this.candidates(customer, own);
    const rank = local.indexOf(self);
    if (rank < 0) return NO_ROLE;
    const better = local.slice(0, rank);
    better.forEach((node) => this.peers.probe(node, now));
    const region = this.ownerRegion(customer);
    const isRegionSilent = region !== own && this.isRegionSilent(customer, region, now);
    if (!better.every((node) => this.peers.isDead(node, this.heartbeatAt(node, now), now))) {
      return NO_ROLE;
    }
    if (region === own) {
      const share = this.ownerShare(now);
      if (rank > 0) return { share, ownerSince: now, standIn: 'second' };
      const startedAt = this.startedAt + SILENT_START_MS;
      const ownerSince = Math.min(now, Math.max(startedAt, this.members.changedAt(own)));
      return { share, ownerSince, standIn: 'none' };
    }
    if (!isRegionSilent) return NO_ROLE;
    const share = this.members.count(own) / this.members.total;
    return { share, ownerSince: now, standIn: 'deputy' };
  }

  /** Better-ranked gateways in place of which this one grants. */
  replaced(customer: string): readonly string[] {
    const local = this.candidates(customer, this.self.region);
    return local.slice(0, Math.max(0, local.indexOf(this.self.node)));
  }

  /** Notes the first message after a silence. */
  onHeard(region: string, now: number): void {
    if (now - this.peers.regionHeard(region) >= DETACH_MS) this.attachedAt.set(region, now);
  }

  /** Notes that a gateway of another region acts as a deputy for owners of this one. */
  onDeputy(region: string, now: number): void {
    this.deputyAt.set(region, now);
  }

  /** Part of the rate that the owners of this region grant: that of the regions they reach. */
  ownerShare(now: number): number {
    const cutOff = this.members.regions
      .filter((region) => this.isDetached(region, now))
      .reduce((sum, region) => sum + this.members.count(region), 0);
    return 1 - cutOff / this.members.total;
  }

  private isDetached(region: string, now: number): boolean {
    if (region === this.self.region) return false;
    return (
      now - this.peers.regionHeard(region) >= DETACH_MS ||
      now - (this.attachedAt.get(region) ?? -Infinity) < REATTACH_MS ||
      now - (this.deputyAt.get(region) ?? -Infinity) < REATTACH_MS
    );
  }

  private isSilent(node: string, now: number): boolean {
    return node !== this.self.node && this.peers.isSilent(node, now);
  }

  private isRegionSilent(customer: string, region: string, now: number): boolean {
    this.candidates(customer, region).forEach((node) => this.peers.probe(node, now));
    const known = this.regionProbes.get(region);
    const isRecent = known !== undefined && now - known.wantedAt < INTEREST_MS;
    const startedAt = isRecent ? known.startedAt : now;
    this.regionProbes.set(region, { startedAt, wantedAt: now });
    const isSilent = this.regionSilentMs(region, now) >= REGION_SILENT_MS;
    return isSilent && now - startedAt >= REGION_PROBE_MS;
  }

  /** Gateways ping all regions from their start on. */
  private regionSilentMs(region: string, now: number): number {
    return now - Math.max(this.startedAt, this.peers.regionHeard(region));
  }

  /** First live gateways of a region in the customer's order. */
  private candidates(customer: string, region: string): readonly string[] {
    const members = this.members.of(region);
    const key = `${region}\n${customer}`;
    const known = this.orders.get(key);
    if (known?.members === members) return known.candidates;
    if (this.orders.size >= MAX_ORDERS) this.orders.clear();
    const candidates = rendezvousOrder(customer, members).slice(0, CANDIDATES);
    this.orders.set(key, { members, candidates });
    return candidates;
  }
}
