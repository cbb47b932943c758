/**
 * The part of a gateway in the limits of customers: it leases amounts for its own requests, and
 * grants amounts of the customers that it owns. It has no clock and no network.
 */
import type { CustomerLimit } from '../fleet/fleet-config.js';
import { sampleItems, type RandomSource } from '../random-source.js';
import { isLimited } from './cost-of.js';
import type { FleetMembers } from './fleet-members.js';
import { QuotaAccount, type QuotaCharge } from './quota-account.js';
import { QuotaOwnerChoice, type QuotaRole } from './quota-choice.js';
import type {
  QuotaAskRow,
  QuotaContent,
  QuotaGrantRow,
  QuotaMessage,
  QuotaReturn,
} from './quota-messages.js';
import { QuotaOwner } from './quota-owner.js';
import { QuotaPeers } from './quota-peers.js';

/** Shortest time between two asks to an owner. */
const ASK_INTERVAL_MS = 100;
/** Returns alone are sent together after this time. */
const RETURN_INTERVAL_MS = 500;
/** Rows in a datagram, each about 40 bytes, so that it fits into one packet. */
const MAX_ROWS = 24;
const MAX_RETURNS = 512;
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
/** Limit of customers with recent requests, and of waiting requests. */
const MAX_ACCOUNTS = 30_000;
const MAX_WAITING = 2000;
/** Delay for a caller while no owner has answered; a second gateway takes over within this time. */
const TAKEOVER_MS = 1500;

export type TakeResult =
  | { readonly kind: 'granted'; readonly charge: QuotaCharge; readonly ownerless: boolean }
  /** @property retryAfterMs time until credit will be available */
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** A request for an amount of a customer's limit. */
export interface TakeRequest {
  readonly customer: string;
  readonly cost: number;
  readonly maxWaitMs: number;
}

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

interface Waiter {
  readonly cost: number;
  readonly deadline: number;
  readonly settle: (result: TakeResult) => void;
}

const UNCHARGED: QuotaCharge = { refund: () => undefined };

export class QuotaNode {
  private readonly owner = new QuotaOwner();

  private readonly peers = new QuotaPeers();

  private readonly choice: QuotaOwnerChoice;

  private readonly accounts = new Map<string, QuotaAccount>();

  private readonly waiters = new Map<string, Waiter[]>();

  private waitingCount = 0;

  /** Customers for which this gateway grants, with its role. */
  private readonly roles = new Map<string, QuotaRole>();

  private readonly returns = new Map<string, QuotaReturn[]>();

  private readonly askedAt = new Map<string, number>();

  /** Gateways in place of which this one grants, with the time since. */
  private readonly replaced = new Map<string, number>();

  private nextNumber: number;

  private announcedAt = -Infinity;

  private regionsPingedAt = -Infinity;

  private expiredAt = -Infinity;

  private grantedAt = -Infinity;

  private deputyAt = -Infinity;

  /** @example new QuotaNode({ node: 'vm-1', region: 'north', members, send, ... }) */
  constructor(private readonly options: QuotaNodeOptions) {
    const { members, startedAt, heartbeatAt } = options;
    this.choice = new QuotaOwnerChoice(options, members, this.peers, startedAt, heartbeatAt);
    this.nextNumber = options.firstNumber;
  }

  /** Number of entries that are held, by kind. */
  get sizes(): Readonly<Record<string, number>> {
    return {
      accounts: this.accounts.size,
      buckets: this.owner.size,
      leases: this.owner.leases,
      orders: this.choice.size,
      peers: this.peers.size,
      returns: [...this.returns.values()].reduce((sum, list) => sum + list.length, 0),
      waiting: this.waitingCount,
    };
  }

  /** Customers for which this gateway grants in place of another one. */
  get standIns(): number {
    return [...this.roles.values()].filter(({ standIn }) => standIn !== 'none').length;
  }

  /**
   * Takes the cost of a request from its customer's limit.
   *
   * @param onSettled called later with the result if it is not known yet
   * @returns undefined if the request has to wait
   */
  take(
    { customer, cost, maxWaitMs }: TakeRequest,
    now: number,
    onSettled: (result: TakeResult) => void,
  ): TakeResult | undefined {
    const limit = this.options.limitOf(customer);
    if (!isLimited(limit) || cost <= 0) {
      return { kind: 'granted', charge: UNCHARGED, ownerless: false };
    }
    const account = this.accountOf(customer, now);
    if (!account || this.waitingCount >= MAX_WAITING) {
      return { kind: 'refused', retryAfterMs: TAKEOVER_MS };
    }
    const queue = this.waiters.get(customer) ?? [];
    const charge = queue.length === 0 ? account.take(cost, now) : undefined;
    if (charge) return { kind: 'granted', charge, ownerless: false };
    if (account.creditAt - now > maxWaitMs) return shortRefusal(account, now);
    // The answer of an owner in this process comes before `take` returns.
    let early: TakeResult | undefined;
    let isEarly = true;
    const settle = (result: TakeResult): void => {
      if (isEarly) early = result;
      else onSettled(result);
    };
    this.waiters.set(customer, [...queue, { cost, deadline: now + maxWaitMs, settle }]);
    this.waitingCount += 1;
    this.serve(customer, account, now);
    this.sendAsks(now);
    isEarly = false;
    return early;
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
        this.onGrant(from, message.rows, now);
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
    if (!this.options.isActive() && this.accounts.size === 0) return;
    this.accounts.forEach((account, customer) => this.serve(customer, account, now));
    this.sendAsks(now);
    this.announce(now);
    this.pingRegions(now);
    this.peers.due(now).forEach((node) => this.ping(node, now));
    if (now - this.expiredAt < EXPIRE_INTERVAL_MS) return;
    this.expiredAt = now;
    this.checkRoles(now);
    this.owner.expire(now);
    this.peers.expire(now);
    [...this.replaced]
      .filter(([, at]) => now - at >= ANNOUNCE_MS)
      .forEach(([node]) => this.replaced.delete(node));
    [...this.accounts]
      .filter(([, account]) => account.isIdle(now))
      .forEach(([customer]) => this.accounts.delete(customer));
    [...this.askedAt]
      .filter(([, at]) => now - at >= DUTY_MS)
      .forEach(([node]) => this.askedAt.delete(node));
  }

  private onAsk(message: QuotaMessage & { kind: 'ask' }, now: number): void {
    const rows = this.answer(message.from, message, now);
    if (rows.length > 0) this.send(message.from, { kind: 'grant', rows });
  }

  private answer(
    asker: string,
    { rows, returns }: Pick<QuotaMessage & { kind: 'ask' }, 'rows' | 'returns'>,
    now: number,
  ): QuotaGrantRow[] {
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
    const standIns = [...this.roles].filter(([, { standIn }]) => standIn !== 'none');
    standIns.forEach(([customer]) => this.updateRole(customer, now));
    if (this.roles.size > this.owner.size) {
      [...this.roles.keys()]
        .filter((customer) => !this.owner.has(customer))
        .forEach((customer) => this.roles.delete(customer));
    }
  }

  private onGrant(from: string, rows: readonly QuotaGrantRow[], now: number): void {
    rows.forEach((row) => {
      const account = this.accounts.get(row.customer);
      if (!account) return;
      const isHeld = account.onGrant(row, now);
      if (!isHeld && row.amount > 0) this.addReturn(from, row);
      this.serve(row.customer, account, now);
    });
  }

  private accountOf(customer: string, now: number): QuotaAccount | undefined {
    const known = this.accounts.get(customer);
    if (known || this.accounts.size >= MAX_ACCOUNTS) return known;
    const account = new QuotaAccount(now);
    this.accounts.set(customer, account);
    return account;
  }

  /** Settles the waiting requests of a customer as far as possible. */
  private serve(customer: string, account: QuotaAccount, now: number): void {
    const queue = this.waiters.get(customer);
    if (!queue) return;
    const limit = this.options.limitOf(customer);
    const rest = [...queue];
    let next = rest[0];
    let result = next && this.resultOf(next, account, limit, now);
    while (next && result) {
      rest.shift();
      next.settle(result);
      [next] = rest;
      result = next && this.resultOf(next, account, limit, now);
    }
    // Later ones may have an earlier deadline.
    const kept = rest.filter((waiter) => {
      const refusal = this.refusalOf(waiter, account, limit, now);
      if (refusal) waiter.settle(refusal);
      return !refusal;
    });
    this.waitingCount -= queue.length - kept.length;
    if (kept.length > 0) this.waiters.set(customer, kept);
    else this.waiters.delete(customer);
    Object.assign(account, { waiting: kept.map(({ cost }) => cost) });
  }

  private resultOf(
    waiter: Waiter,
    account: QuotaAccount,
    limit: CustomerLimit | undefined,
    now: number,
  ): TakeResult | undefined {
    const { cost } = waiter;
    // The limit may have been removed meanwhile.
    if (!isLimited(limit)) return { kind: 'granted', charge: UNCHARGED, ownerless: false };
    const charge = account.take(cost, now);
    if (charge) return { kind: 'granted', charge, ownerless: false };
    if (account.isOwnerless(now)) {
      const lent = account.takeOwnerless(cost, limit.perS, this.options.members.total, now);
      if (lent) return { kind: 'granted', charge: lent, ownerless: true };
    }
    return undefined;
  }

  private refusalOf(
    { deadline }: Waiter,
    account: QuotaAccount,
    limit: CustomerLimit | undefined,
    now: number,
  ): TakeResult | undefined {
    const isShort = account.creditAt > deadline;
    if (now < deadline && !isShort) return undefined;
    account.onUnanswered(now);
    if (isShort) return shortRefusal(account, now);
    const ownerlessMs = account.isOwnerless(now)
      ? account.ownerlessWaitMs(limit?.perS ?? 0, this.options.members.total, now)
      : Infinity;
    const retryMs = account.retryAt > now ? account.retryAt - now : TAKEOVER_MS;
    return { kind: 'refused', retryAfterMs: Math.min(retryMs, ownerlessMs) };
  }

  /** Asks the owners of all customers that need amounts. */
  private sendAsks(now: number): void {
    const asks = new Map<string, QuotaAskRow[]>();
    const rowsFor = (node: string): QuotaAskRow[] => {
      const rows = asks.get(node) ?? [];
      asks.set(node, rows);
      return rows;
    };
    this.accounts.forEach((account, customer) => {
      const isQuiet = account.waiting.length === 0 && account.size === 0;
      if (isQuiet && account.recentUse(now) === 0 && !account.isFollowing(now)) return;
      const owner = this.choice.target(customer, now);
      this.keepReturns(customer, account, owner, now);
      if (owner !== undefined && this.mayAsk(owner, now)) {
        const rows = rowsFor(owner);
        if (rows.length < MAX_ROWS) {
          rows.push(...this.rowsOf(customer, account, owner, now));
        }
      }
    });
    this.returns.forEach((returns, node) => {
      const isDue = now - (this.askedAt.get(node) ?? -Infinity) >= RETURN_INTERVAL_MS;
      if (returns.length > 0 && isDue) rowsFor(node);
    });
    asks.forEach((rows, node) => this.sendAsk(node, rows, now));
  }

  private rowsOf(
    customer: string,
    account: QuotaAccount,
    owner: string,
    now: number,
  ): QuotaAskRow[] {
    const again = account.resend(owner, ASK_INTERVAL_MS, now);
    const demand = account.demand(now);
    if (!demand) return again;
    const row = { customer, number: this.takeNumber(), ...demand };
    account.onAsked(row, owner, now);
    return [...again, row];
  }

  private sendAsk(node: string, rows: readonly QuotaAskRow[], now: number): void {
    const waiting = this.returns.get(node) ?? [];
    const returns = waiting.slice(0, MAX_ROWS);
    if (rows.length === 0 && returns.length === 0) return;
    const rest = waiting.slice(MAX_ROWS);
    if (rest.length > 0) this.returns.set(node, rest);
    else this.returns.delete(node);
    this.askedAt.set(node, now);
    if (node === this.options.node) {
      this.onGrant(node, this.answer(node, { rows, returns }, now), now);
      return;
    }
    if (rows.length > 0) this.peers.onAsked(node, now);
    this.send(node, { kind: 'ask', rows, returns });
  }

  /** Collects what the customer's owners can have back. */
  private keepReturns(
    customer: string,
    account: QuotaAccount,
    owner: string | undefined,
    now: number,
  ): void {
    account
      .expire(owner, now)
      .forEach(({ owner: node, number, amount }) =>
        this.addReturn(node, { customer, number, amount }),
      );
  }

  private addReturn(node: string, { customer, number, amount }: QuotaReturn): void {
    const list = this.returns.get(node) ?? [];
    if (list.length < MAX_RETURNS) list.push({ customer, number, amount });
    this.returns.set(node, list);
  }

  private mayAsk(node: string, now: number): boolean {
    if (node === this.options.node) return true;
    return now - (this.askedAt.get(node) ?? -Infinity) >= ASK_INTERVAL_MS;
  }

  private takeNumber(): number {
    this.nextNumber += 1;
    return this.nextNumber;
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

function shortRefusal({ creditAt, retryAt }: QuotaAccount, now: number): TakeResult {
  return { kind: 'refused', retryAfterMs: Math.max(creditAt, retryAt) - now };
}
