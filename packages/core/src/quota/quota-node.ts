/**
 * The part of a gateway in the limits of customers: it leases amounts for its own requests, and
 * grants amounts of the customers that it owns. It has no clock and no network.
 */
import type { CustomerLimit } from '../fleet/fleet-config.js';
import { sampleItems, type RandomSource } from '../random-source.js';
import { isLimited } from './cost-of.js';
import type { FleetMembers } from './fleet-members.js';
import { QuotaOwnerChoice, type QuotaRole } from './quota-choice.js';
import { QuotaLessee, type QuotaAsk, type TakeRequest, type TakeResult } from './quota-lessee.js';
import type { QuotaContent, QuotaGrantRow, QuotaMessage } from './quota-messages.js';
import { QuotaOwner } from './quota-owner.js';
import { QuotaPeers } from './quota-peers.js';

const EXPIRE_INTERVAL_MS = 1000;
/** The start is announced for this time, in this interval, to the gateways of the region. */
const ANNOUNCE_MS = 1000;
const ANNOUNCE_INTERVAL_MS = 300;
/** Interval of the pings to regions that are not heard otherwise, and to those a deputy acts for. */
const REGION_PING_INTERVAL_MS = 400;
/** The same while nothing is granted; a gateway that becomes the owner has to know whom it reaches. */
const IDLE_PING_INTERVAL_MS = 1000;
/** Gateways of a region that are pinged at the same time. */
const REGION_PINGS = 2;
/** A gateway that has not granted for this time need not watch the other regions. */
const DUTY_MS = 3000;
export interface QuotaNodeOptions {
  readonly node: string;
  readonly region: string;
  readonly members: FleetMembers;
  /** Start of the process, monotonic ms. */
  readonly startedAt: number;
  /** First number of asks; higher than those of an earlier process of this gateway. */
  readonly firstNumber: number;
  readonly random: RandomSource;
  /** Limit in force; undefined for a customer without one. */
  readonly limitOf: (customer: string) => CustomerLimit | undefined;
  /** Whether any customer has a limit; otherwise nothing is sent. */
  readonly isActive: () => boolean;
  /** When a gateway sent its last heartbeat known by gossip, monotonic ms. */
  readonly heartbeatAt: (node: string, now: number) => number;
  readonly send: (to: string, message: QuotaMessage) => void;
  /** Called when this gateway begins or ends to grant in place of another one. */
  readonly onRole?: (customer: string, role: QuotaRole) => void;
}

export class QuotaNode {
  private readonly owner = new QuotaOwner();

  private readonly peers = new QuotaPeers();

  private readonly choice: QuotaOwnerChoice;

  private readonly lessee: QuotaLessee;

  /** Customers for which this gateway grants, with its role. */
  private readonly roles = new Map<string, QuotaRole>();

  /** Gateways in place of which this one grants, with the time since. */
  private readonly replaced = new Map<string, number>();

  private rolesCheckedAt = -Infinity;

  private announcedAt = -Infinity;

  private regionsPingedAt = -Infinity;

  private expiredAt = -Infinity;

  private grantedAt = -Infinity;

  private deputyAt = -Infinity;

  /** @example new QuotaNode({ node: 'vm-1', region: 'north', members, send, ... }) */
  constructor(private readonly options: QuotaNodeOptions) {
    const { members, startedAt, heartbeatAt } = options;
    this.choice = new QuotaOwnerChoice(options, members, this.peers, startedAt, heartbeatAt);
    this.lessee = new QuotaLessee({
      ...options,
      gateways: () => members.total,
      target: (customer, now) => this.choice.target(customer, now),
      ask: (node, ask, now) => this.ask(node, ask, now),
    });
  }

  /** Number of entries that are held, by kind. */
  get sizes(): Readonly<Record<string, number>> {
    return {
      ...this.lessee.sizes,
      buckets: this.owner.size,
      leases: this.owner.leases,
      orders: this.choice.size,
      peers: this.peers.size,
    };
  }

  /** Customers for which this gateway grants in place of another one. */
  get standIns(): number {
    return [...this.roles.values()].filter(({ standIn }) => standIn !== 'none').length;
  }

  /** See `QuotaLessee.take`. */
  take(
    request: TakeRequest,
    now: number,
    onSettled: (result: TakeResult) => void,
  ): TakeResult | undefined {
    return this.lessee.take(request, now, onSettled);
  }

  /** Handles a message of another gateway. */
  onMessage(message: QuotaMessage, now: number): void {
    const { from, region } = message;
    const { members, node } = this.options;
    if (from === node || !members.regions.includes(region)) return;
    members.onHeard({ node: from, region }, now);
    this.choice.onHeard(region, now);
    this.peers.onHeard(from, region, now);
    switch (message.kind) {
      case 'ask':
        this.onAsk(message, now);
        break;
      case 'grant':
        this.lessee.onGrant(from, message.rows, now);
        break;
      case 'ping':
        message.insteadOf
          .filter((other) => other !== node)
          .forEach((other) => this.peers.onReplaced(other, now));
        if (message.deputyFor.includes(this.options.region)) this.choice.onDeputy(region, now);
        this.send(from, { kind: 'pong' });
        this.checkRoles(now);
        break;
      default:
        this.checkRoles(now);
    }
  }

  /** Sends what is due and ends what has expired; called about every 50 ms. */
  tick(now: number): void {
    if (!this.options.isActive() && this.lessee.sizes.accounts === 0) return;
    this.lessee.tick(now);
    this.announce(now);
    this.pingRegions(now);
    this.peers.due(now).forEach((node) => this.ping(node, now));
    if (now - this.expiredAt < EXPIRE_INTERVAL_MS) return;
    this.expiredAt = now;
    this.checkRoles(now);
    this.owner.expire(now);
    this.peers.expire(now);
    this.lessee.expire(now);
    [...this.replaced]
      .filter(([, at]) => now - at >= ANNOUNCE_MS)
      .forEach(([node]) => this.replaced.delete(node));
  }

  private ask(node: string, ask: QuotaAsk, now: number): readonly QuotaGrantRow[] | undefined {
    if (node === this.options.node) return this.answer(node, ask, now);
    if (ask.rows.length > 0) this.peers.onAsked(node, now);
    this.send(node, { kind: 'ask', ...ask });
    return undefined;
  }

  private onAsk(message: QuotaMessage & { kind: 'ask' }, now: number): void {
    const rows = this.answer(message.from, message, now);
    if (rows.length > 0) this.send(message.from, { kind: 'grant', rows });
  }

  private answer(asker: string, { rows, returns }: QuotaAsk, now: number): QuotaGrantRow[] {
    returns.forEach((row) => this.owner.giveBack(asker, row, now));
    return rows.map((row): QuotaGrantRow => {
      const { customer, number } = row;
      const limit = this.options.limitOf(customer);
      const role = this.updateRole(customer, now);
      if (role.share <= 0 || !isLimited(limit)) {
        return { customer, number, granting: false, amount: 0, shortMs: 0, waitMs: 0 };
      }
      this.grantedAt = now;
      const answer = this.owner.ask(asker, row, { limit, ...role }, now);
      return { customer, number, granting: true, ...answer };
    });
  }

  private updateRole(customer: string, now: number): QuotaRole {
    const role = this.choice.role(customer, now);
    const before = this.roles.get(customer);
    if (role.share <= 0) {
      this.roles.delete(customer);
      this.owner.drop(customer);
    } else {
      this.roles.set(customer, role);
      if (role.standIn === 'deputy') this.deputyAt = now;
    }
    if ((before?.standIn ?? 'none') === role.standIn) return role;
    if (role.standIn !== 'none') {
      this.choice.replaced(customer).forEach((node) => this.replaced.set(node, now));
    }
    this.options.onRole?.(customer, role);
    return role;
  }

  /** Ends roles that others have, and forgets those for which nobody asks. */
  private checkRoles(now: number): void {
    const { members, region } = this.options;
    // A bucket that is kept while another gateway grants would be full when it is used again.
    const hasChanged = members.changedAt(region) >= this.rolesCheckedAt;
    this.rolesCheckedAt = now;
    [...this.roles]
      .filter(([, { standIn }]) => hasChanged || standIn !== 'none')
      .forEach(([customer]) => this.updateRole(customer, now));
    if (this.roles.size <= this.owner.size) return;
    [...this.roles.keys()]
      .filter((customer) => !this.owner.has(customer))
      .forEach((customer) => this.roles.delete(customer));
  }

  /**
   * Tells the gateways of the region of the start, so that one that took over stops in time, and all
   * gateways when this one takes over, so that not each of them has to find out.
   */
  private announce(now: number): void {
    const { startedAt, members, region: own, node: self } = this.options;
    const hasStarted = now - startedAt <= ANNOUNCE_MS;
    const hasReplaced = this.recentlyReplaced(now).length > 0;
    const isDue = now - this.announcedAt >= ANNOUNCE_INTERVAL_MS;
    if (!isDue || !(hasStarted || hasReplaced)) return;
    this.announcedAt = now;
    members.regions
      .filter((region) => region === own || hasReplaced)
      .flatMap((region) => members.of(region))
      .filter((node) => node !== self)
      .forEach((node) => this.ping(node, now));
  }

  /** Finds out which regions an owner reaches, and tells those for which it acts as a deputy. */
  private pingRegions(now: number): void {
    const isOnDuty = now - this.grantedAt < DUTY_MS;
    const intervalMs = isOnDuty ? REGION_PING_INTERVAL_MS : IDLE_PING_INTERVAL_MS;
    if (now - this.regionsPingedAt < intervalMs) return;
    this.regionsPingedAt = now;
    const { members, region: own, random } = this.options;
    const deputyFor = this.deputyRegions(now);
    members.regions
      .filter((region) => region !== own)
      .filter(
        (region) =>
          deputyFor.includes(region) || now - this.peers.regionHeard(region) >= intervalMs,
      )
      .flatMap((region) => sampleItems(members.of(region), isOnDuty ? REGION_PINGS : 1, random))
      .forEach((node) => this.ping(node, now));
  }

  private ping(node: string, now: number): void {
    const insteadOf = this.recentlyReplaced(now);
    this.send(node, { kind: 'ping', deputyFor: this.deputyRegions(now), insteadOf });
  }

  private recentlyReplaced(now: number): string[] {
    return [...this.replaced].filter(([, at]) => now - at < ANNOUNCE_MS).map(([node]) => node);
  }

  /** Regions for whose owners this gateway acts. */
  private deputyRegions(now: number): string[] {
    if (now - this.deputyAt >= DUTY_MS) return [];
    const customers = [...this.roles].filter(([, { standIn }]) => standIn === 'deputy');
    return [...new Set(customers.map(([customer]) => this.choice.ownerRegion(customer)))];
  }

  private send(to: string, content: QuotaContent): void {
    const { node: from, region } = this.options;
    this.options.send(to, { ...content, from, region });
  }
}
