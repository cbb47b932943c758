/** What one gateway holds of the limit of one customer, and what it has to ask the owner for. */
import { LEASE_MS } from './quota-owner.js';
import type { QuotaAskRow, QuotaGrantRow } from './quota-messages.js';

/** An ask that is not answered within this time is given up; two transits of 80 ms and a resend. */
export const ANSWER_TIMEOUT_MS = 350;
/** Time over which the recent use is counted, ms. */
const USE_WINDOW_MS = 1000;
const USE_SLOT_MS = 100;
/** Asks for requests of the near future only. */
const PREFETCH_INTERVAL_MS = 1000;
/** Without an answer of a granting owner for this time, the customer has none here. */
const OWNER_SILENT_MS = 1000;
/** With a fifth of the datagrams lost, fewer asks often remain without an answer by chance. */
const OWNER_SILENT_ASKS = 5;
/** After a refusal without an answer, an owner is looked for as long as a second one needs to take over. */
const FOLLOW_MS = 5000;
const FOLLOW_INTERVAL_MS = 200;
/** Asks before a longer pause say nothing about the owner of today. */
const ASKING_PAUSE_MS = 10_000;
/** Accounts without requests are forgotten after this time. */
const ACCOUNT_RETENTION_MS = 10_000;
/** Owners remember leases for this time. */
const ANSWERED_RETENTION_MS = 2500;
/** A debt that no request has asked about for this time is forgotten. */
const DEBT_RETENTION_MS = 60_000;
/** Share of the rate that all gateways together may use without an owner. */
const OWNERLESS_SHARE = 0.15;
const MS_PER_S = 1000;

interface Lease {
  readonly number: number;
  readonly owner: string;
  readonly expiresAt: number;
  amount: number;
  /** What the owner was told that it can have back. */
  returned: number;
}

interface PendingAsk {
  readonly row: QuotaAskRow;
  readonly owner: string;
  readonly at: number;
  sentAt: number;
}

/** A lease of which a part was not used. */
export interface UnusedLease {
  readonly owner: string;
  readonly number: number;
  /**
   * What of the lease was not used, with what was returned before. Undefined when it is not known whether
   * anything was granted.
   */
  readonly amount: number | undefined;
}

/** What a request was charged; `refund` puts it back. */
export interface QuotaCharge {
  refund(now: number): void;
}

export interface Demand {
  readonly first: number;
  readonly need: number;
  readonly want: number;
}

export class QuotaAccount {
  /** Costs of the requests that wait, in order of arrival. */
  waiting: readonly number[] = [];

  /** An ask sent earlier finds the bucket short, monotonic ms. */
  shortUntil = -Infinity;

  /** When credit that was short arrives at the earliest, monotonic ms. */
  creditAt = -Infinity;

  /** When a refused caller finds the credit it lacks, monotonic ms. */
  retryAt = -Infinity;

  private leases: Lease[] = [];

  private readonly pending = new Map<number, PendingAsk>();

  /** Asks that were answered lately, by number, with the time of the answer. */
  private readonly answered = new Map<number, number>();

  private uses: { readonly at: number; amount: number }[] = [];

  private askingSince: number | undefined;

  private askedAt = -Infinity;

  /** Asks since the last answer. */
  private asks = 0;

  private followUntil = -Infinity;

  private prefetchedAt = -Infinity;

  /** What was used without an owner and has not been made up for yet. */
  private debt = 0;

  private debtAt = 0;

  private touchedAt: number;

  constructor(now: number) {
    this.touchedAt = now;
  }

  /** Leases and asks that are held. */
  get size(): number {
    return this.leases.length + this.pending.size;
  }

  balance(now: number): number {
    return this.leases
      .filter(({ expiresAt }) => now < expiresAt)
      .reduce((sum, { amount }) => sum + amount, 0);
  }

  /** What requests used within the last second. */
  recentUse(now: number): number {
    this.uses = this.uses.filter(({ at }) => now - at < USE_WINDOW_MS);
    return this.uses.reduce((sum, { amount }) => sum + amount, 0);
  }

  /**
   * Takes the cost of a request from the balance, oldest leases first.
   *
   * @param now monotonic ms, as in all methods
   * @returns undefined if the balance does not cover it
   * @example account.take(4000, now)?.refund(now)
   */
  take(cost: number, now: number): QuotaCharge | undefined {
    this.touchedAt = now;
    if (this.balance(now) < cost) return undefined;
    let rest = cost;
    const parts = this.leases
      .filter(({ expiresAt }) => now < expiresAt)
      .map((lease) => {
        const amount = Math.min(lease.amount, rest);
        Object.assign(lease, { amount: lease.amount - amount });
        rest -= amount;
        return { lease, amount };
      })
      .filter(({ amount }) => amount > 0);
    this.recordUse(cost, now);
    let refunded = false;
    return {
      refund: (at) => {
        if (refunded) return;
        refunded = true;
        // What belongs to an expired lease was not returned to the owner and is lost.
        parts
          .filter(({ lease }) => at < lease.expiresAt)
          .forEach(({ lease, amount }) => this.putBack(lease, amount));
      },
    };
  }

  /** Whether no gateway that grants has answered for some time although asked. */
  isOwnerless(now: number): boolean {
    const { askingSince, asks } = this;
    if (askingSince === undefined || asks < OWNER_SILENT_ASKS) return false;
    return now - askingSince >= OWNER_SILENT_MS;
  }

  /**
   * Takes the cost of a request of a customer without an owner. One request may exceed what this
   * gateway may use; the next one waits until that is made up for.
   */
  takeOwnerless(
    cost: number,
    perS: number,
    gateways: number,
    now: number,
  ): QuotaCharge | undefined {
    this.payDebt(perS, gateways, now);
    if (this.debt > 0) return undefined;
    this.touchedAt = now;
    this.debt = cost;
    let refunded = false;
    return {
      refund: () => {
        if (!refunded) this.debt = Math.max(0, this.debt - cost);
        refunded = true;
      },
    };
  }

  /** Time until a request may be taken without an owner, ms. */
  ownerlessWaitMs(perS: number, gateways: number, now: number): number {
    this.payDebt(perS, gateways, now);
    return this.debt / ownerlessPerMs(perS, gateways);
  }

  /** What has to be asked for now; undefined if nothing. */
  demand(now: number): Demand | undefined {
    const balance = this.balance(now);
    const expected = this.expectedUse(now);
    const waiting = this.waiting.reduce((sum, cost) => sum + cost, 0);
    const asked = [...this.pending.values()].reduce((sum, { row }) => sum + row.want, 0);
    const need = waiting - balance - asked;
    if (need > 0) {
      if (now < this.shortUntil) return undefined;
      const first = Math.min(need, this.waiting[0] ?? need);
      return { first, need, want: need + expected };
    }
    if (now < this.followUntil && now - this.askedAt >= FOLLOW_INTERVAL_MS && waiting === 0) {
      return { first: 0, need: 0, want: 0 };
    }
    const isDue = now - this.prefetchedAt >= PREFETCH_INTERVAL_MS && now >= this.shortUntil;
    if (waiting > 0 || asked > 0 || balance >= expected / 2 || !isDue) return undefined;
    this.prefetchedAt = now;
    return { first: 0, need: 0, want: expected - balance };
  }

  /** Looks for an owner also while no request waits. */
  onUnanswered(now: number): void {
    if (this.askingSince !== undefined) this.followUntil = now + FOLLOW_MS;
  }

  /** Whether an owner is looked for. */
  isFollowing(now: number): boolean {
    return now < this.followUntil;
  }

  onAsked(row: QuotaAskRow, owner: string, now: number): void {
    if (now - this.askedAt > ASKING_PAUSE_MS) this.onAnswered();
    this.askedAt = now;
    this.asks += 1;
    this.askingSince ??= now;
    this.pending.set(row.number, { row, owner, at: now, sentAt: now });
  }

  /** Rows for which requests wait and that were sent to an owner long enough ago to be sent again. */
  resend(owner: string, intervalMs: number, now: number): QuotaAskRow[] {
    if (this.waiting.length === 0) return [];
    const due = [...this.pending.values()].filter(
      (ask) => ask.owner === owner && ask.row.need > 0 && now - ask.sentAt >= intervalMs,
    );
    due.forEach((ask) => Object.assign(ask, { sentAt: now }));
    this.asks += due.length;
    return due.map(({ row }) => row);
  }

  /** Adds a granted amount; returns false when the ask was given up, or answered before. */
  onGrant(row: QuotaGrantRow, now: number): boolean {
    const ask = this.pending.get(row.number);
    // A second answer to an ask that was sent again must not give back what was used meanwhile.
    if (!ask) return this.answered.has(row.number);
    this.pending.delete(row.number);
    this.answered.set(row.number, now);
    if (!row.granting) return true;
    this.onAnswered();
    const { number } = row;
    const expiresAt = ask.at + LEASE_MS;
    if (row.amount > 0) {
      this.leases.push({ number, owner: ask.owner, expiresAt, amount: row.amount, returned: 0 });
    }
    // An ask may be in transit while the bucket refills.
    const roundTripMs = now - ask.sentAt;
    const isShort = row.shortMs > 0;
    this.shortUntil = isShort ? now + Math.max(0, row.shortMs - roundTripMs) : -Infinity;
    this.creditAt = isShort ? now + Math.max(roundTripMs, row.shortMs) : -Infinity;
    this.retryAt = now + row.waitMs;
    return true;
  }

  /**
   * Removes expired leases and asks that are given up; their owners can have the amounts back.
   *
   * @param owner whom this customer's amounts are asked from now
   */
  expire(owner: string | undefined, now: number): UnusedLease[] {
    const lost = [...this.pending.values()].filter(
      (ask) => now - ask.at >= ANSWER_TIMEOUT_MS || ask.owner !== owner,
    );
    lost.forEach(({ row }) => this.pending.delete(row.number));
    this.answered.forEach((at, number) => {
      if (now - at >= ANSWERED_RETENTION_MS) this.answered.delete(number);
    });
    const surplus = this.surplus(now);
    const expired = this.leases.filter((lease) => now >= lease.expiresAt || lease === surplus);
    if (expired.length > 0) this.leases = this.leases.filter((lease) => !expired.includes(lease));
    return [
      ...lost.map(({ row, owner: asked }) => ({
        owner: asked,
        number: row.number,
        amount: undefined,
      })),
      ...expired.filter(({ amount }) => amount > 0).map(returnRest),
    ];
  }

  isIdle(now: number): boolean {
    const isHeld = this.leases.length > 0 || this.pending.size > 0 || this.waiting.length > 0;
    const isIndebted = this.debt > 0 && now - this.debtAt < DEBT_RETENTION_MS;
    return !isHeld && !isIndebted && now - this.touchedAt >= ACCOUNT_RETENTION_MS;
  }

  /** The rest of the lease may have been returned before. */
  private putBack(lease: Lease, amount: number): void {
    Object.assign(lease, { amount: lease.amount + amount });
    if (!this.leases.includes(lease)) this.leases.push(lease);
  }

  /** A lease that came too late for its request and that the near future does not need. */
  private surplus(now: number): Lease | undefined {
    if (this.waiting.length > 0) return undefined;
    const excess = this.balance(now) - this.expectedUse(now);
    return this.leases.find(({ amount }) => amount > 0 && amount <= excess);
  }

  /** A single request in the last second says little about the next one. */
  private expectedUse(now: number): number {
    const largest = Math.max(0, ...this.uses.map(({ amount }) => amount));
    return this.recentUse(now) - largest;
  }

  private onAnswered(): void {
    this.askingSince = undefined;
    this.asks = 0;
    this.followUntil = -Infinity;
  }

  private payDebt(perS: number, gateways: number, now: number): void {
    this.debt = Math.max(0, this.debt - ownerlessPerMs(perS, gateways) * (now - this.debtAt));
    this.debtAt = now;
  }

  private recordUse(amount: number, now: number): void {
    const last = this.uses.at(-1);
    if (last && now - last.at < USE_SLOT_MS) last.amount += amount;
    else this.uses.push({ at: now, amount });
  }
}

function returnRest(lease: Lease): UnusedLease {
  const returned = lease.returned + lease.amount;
  Object.assign(lease, { returned, amount: 0 });
  return { owner: lease.owner, number: lease.number, amount: returned };
}

function ownerlessPerMs(perS: number, gateways: number): number {
  return (OWNERLESS_SHARE * perS) / Math.max(1, gateways) / MS_PER_S;
}
