/** What a gateway leases for the requests of its callers: it takes, waits, asks and gives back. */
import type { CustomerLimit } from '../fleet/fleet-config.js';
import { isLimited } from './cost-of.js';
import { QuotaAccount, type QuotaCharge } from './quota-account.js';
import type { QuotaAskRow, QuotaGrantRow, QuotaReturn } from './quota-messages.js';

/** Shortest time between two asks to an owner. */
const ASK_INTERVAL_MS = 100;
/** Returns alone are sent together after this time. */
const RETURN_INTERVAL_MS = 500;
/** Rows in a datagram, each about 40 bytes, so that it fits into one packet. */
const MAX_ROWS = 24;
const MAX_RETURNS = 512;
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

/** Content of an ask. */
export interface QuotaAsk {
  readonly rows: readonly QuotaAskRow[];
  readonly returns: readonly QuotaReturn[];
}

export interface QuotaLesseeOptions {
  /** Name of this gateway. */
  readonly node: string;
  /** First number of asks; higher than those of an earlier process of this gateway. */
  readonly firstNumber: number;
  /** Gateways of all regions. */
  readonly gateways: () => number;
  readonly limitOf: (customer: string) => CustomerLimit | undefined;
  /** Gateway to ask; undefined if none is known that answers. */
  readonly target: (customer: string, now: number) => string | undefined;
  /** Sends an ask; returns the answer if this gateway gives it itself. */
  readonly ask: (node: string, ask: QuotaAsk, now: number) => readonly QuotaGrantRow[] | undefined;
}

interface Waiter {
  readonly cost: number;
  readonly deadline: number;
  readonly settle: (result: TakeResult) => void;
}

const UNCHARGED: QuotaCharge = { refund: () => undefined };

export class QuotaLessee {
  private readonly accounts = new Map<string, QuotaAccount>();

  private readonly waiters = new Map<string, Waiter[]>();

  private waitingCount = 0;

  private readonly returns = new Map<string, QuotaReturn[]>();

  private readonly askedAt = new Map<string, number>();

  /** Customers that wait until their owner may be asked again. */
  private readonly held = new Map<string, Set<string>>();

  private nextNumber: number;

  /** @example new QuotaLessee({ node: 'vm-1', firstNumber: 0, gateways, limitOf, target, ask }) */
  constructor(private readonly options: QuotaLesseeOptions) {
    this.nextNumber = options.firstNumber;
  }

  /** Number of entries that are held, by kind. */
  get sizes(): Readonly<Record<'accounts' | 'returns' | 'waiting', number>> {
    return {
      accounts: this.accounts.size,
      returns: [...this.returns.values()].reduce((sum, list) => sum + list.length, 0),
      waiting: this.waitingCount,
    };
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
    this.sendAsksFor(customer, now);
    isEarly = false;
    return early;
  }

  /** Settles waiting requests and asks for what they lack. */
  tick(now: number): void {
    this.accounts.forEach((account, customer) => this.serve(customer, account, now));
    this.sendAsks(now);
  }

  /** Handles the answer of an owner. */
  onGrant(from: string, rows: readonly QuotaGrantRow[], now: number): void {
    rows.forEach((row) => {
      const account = this.accounts.get(row.customer);
      if (!account) return;
      const isHeld = account.onGrant(row, now);
      if (!isHeld && row.amount > 0) this.addReturn(from, row);
      this.serve(row.customer, account, now);
    });
  }

  /** Forgets customers without recent requests. */
  expire(now: number): void {
    [...this.accounts]
      .filter(([, account]) => account.isIdle(now))
      .forEach(([customer]) => this.accounts.delete(customer));
    [...this.askedAt]
      .filter(([, at]) => now - at >= RETURN_INTERVAL_MS)
      .forEach(([node]) => this.askedAt.delete(node));
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
      const lent = account.takeOwnerless(cost, limit.perS, this.options.gateways(), now);
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
      ? account.ownerlessWaitMs(limit?.perS ?? 0, this.options.gateways(), now)
      : Infinity;
    const retryMs = account.retryAt > now ? account.retryAt - now : TAKEOVER_MS;
    return { kind: 'refused', retryAfterMs: Math.min(retryMs, ownerlessMs) };
  }

  /** Asks the owners of all customers that need amounts. */
  private sendAsks(now: number): void {
    this.held.clear();
    const asks = new Map<string, QuotaAskRow[]>();
    this.accounts.forEach((account, customer) => this.addRows(asks, customer, account, now));
    this.returns.forEach((returns, node) => {
      const isDue = now - (this.askedAt.get(node) ?? -Infinity) >= RETURN_INTERVAL_MS;
      if (returns.length > 0 && isDue && !asks.has(node)) asks.set(node, []);
    });
    asks.forEach((rows, node) => this.sendAsk(node, rows, now));
  }

  /** Asks the owner of one customer, together with others that were held back. */
  private sendAsksFor(customer: string, now: number): void {
    const owner = this.options.target(customer, now);
    if (owner === undefined) return;
    const others = this.mayAsk(owner, now) ? (this.held.get(owner) ?? []) : [];
    const asks = new Map<string, QuotaAskRow[]>();
    [...new Set([customer, ...others])].forEach((name) => {
      const account = this.accounts.get(name);
      if (account) this.addRows(asks, name, account, now);
    });
    asks.forEach((rows, node) => {
      this.held.delete(node);
      this.sendAsk(node, rows, now);
    });
  }

  /** Adds the rows of a customer to those for its owner, or holds them back until it may be asked. */
  private addRows(
    asks: Map<string, QuotaAskRow[]>,
    customer: string,
    account: QuotaAccount,
    now: number,
  ): void {
    const isQuiet = account.waiting.length === 0 && account.size === 0;
    if (isQuiet && account.recentUse(now) === 0 && !account.isFollowing(now)) return;
    const owner = this.options.target(customer, now);
    this.keepReturns(customer, account, owner, now);
    if (owner === undefined) return;
    const rows = asks.get(owner) ?? [];
    if (!this.mayAsk(owner, now) || rows.length >= MAX_ROWS) {
      const held = this.held.get(owner) ?? new Set();
      this.held.set(owner, held.add(customer));
      return;
    }
    const added = this.rowsOf(customer, account, owner, now);
    if (added.length > 0) asks.set(owner, [...rows, ...added]);
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
    const answer = this.options.ask(node, { rows, returns }, now);
    if (answer) this.onGrant(node, answer, now);
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
}

function shortRefusal({ creditAt, retryAt }: QuotaAccount, now: number): TakeResult {
  return { kind: 'refused', retryAfterMs: Math.max(creditAt, retryAt) - now };
}
