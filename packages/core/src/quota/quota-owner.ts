/**
 * Buckets of the customers that a gateway owns. In any window, the amounts that are leased and used
 * are at most the rate times the window plus one lease lifetime, plus the burst.
 */
import type { CustomerLimit } from '../fleet/fleet-config.js';
import type { QuotaAskRow, QuotaReturn } from './quota-messages.js';

/** A lease that is not used within this time after it was asked for expires. */
export const LEASE_MS = 1000;
/** Returned leases arrive up to one ask interval and one transit later than they expire. */
const LEASE_RETENTION_MS = 2500;
/** Leases of this time are counted together. */
const SLOT_MS = 100;
/** Buckets without asks are forgotten; a bucket begins empty again. */
const BUCKET_RETENTION_MS = 600_000;
/** Above the number of customers of the largest deployment, 25,000. */
const MAX_BUCKETS = 30_000;
/** Leases that a bucket remembers; 320 gateways make about 3,200 per s at 10 asks per s each. */
const MAX_LEASES = 8192;
/** A caller that was refused may return this much later than it was told. */
const RETURN_SLACK_MS = 500;
/** Limit of the times for which amounts are promised ahead. */
const MAX_PROMISE_MS = 5000;
/**
 * A bucket that lacks the rate of this time counts as full. Otherwise it would overflow until the next
 * ask for a large amount arrives, which takes two transits of 80 ms and an interval of asks.
 */
export const HEADROOM_MS = 250;
const MS_PER_S = 1000;

interface Lease extends QuotaAnswer {
  readonly at: number;
  returned: number;
}

/** Leases of a short time, which may still be used. */
interface LeaseSlot {
  readonly at: number;
  amount: number;
}

interface Bucket {
  /** Negative after a request that is larger than the burst. */
  level: number;
  perMs: number;
  burst: number;
  refilledAt: number;
  askedAt: number;
  /** Smaller asks leave this amount in the bucket until `reservedUntil`. */
  reserved: number;
  reservedUntil: number;
  /** Time up to which future amounts are promised to asks that found the bucket short. */
  promisedUntil: number;
  /** Leases by asker and number. */
  readonly leases: Map<string, Lease>;
  slots: LeaseSlot[];
}

/** The part of a limit that this gateway grants. */
export interface QuotaShare {
  readonly limit: CustomerLimit;
  /** Part of the limit, 0 to 1; below 1 while a region is cut off. */
  readonly share: number;
  /** Since when no other gateway can have granted, monotonic ms. */
  readonly ownerSince: number;
}

export interface QuotaAnswer {
  readonly amount: number;
  readonly shortMs: number;
  readonly waitMs: number;
}

/** Answer when there is no memory for another bucket or lease. */
const NOTHING: QuotaAnswer = { amount: 0, shortMs: LEASE_MS, waitMs: LEASE_MS };

export class QuotaOwner {
  private readonly buckets = new Map<string, Bucket>();

  /** Customers with a bucket. */
  get size(): number {
    return this.buckets.size;
  }

  has(customer: string): boolean {
    return this.buckets.has(customer);
  }

  /** Leases that are remembered, of all customers. */
  get leases(): number {
    return [...this.buckets.values()].reduce((sum, { leases }) => sum + leases.size, 0);
  }

  /**
   * Grants what the bucket has. The answer to a row that was sent again is the same, so that a lost
   * answer costs nothing.
   *
   * @param now monotonic ms, as in all methods
   * @example owner.ask('vm-7', row, { limit, share: 1, ownerSince: now }, now) // { amount: 4000, waitMs: 0 }
   */
  ask(
    asker: string,
    row: QuotaAskRow,
    { limit, share, ownerSince }: QuotaShare,
    now: number,
  ): QuotaAnswer {
    const perMs = (limit.perS * share) / MS_PER_S;
    const burst = limit.burst * share;
    const bucket = this.bucketOf(row.customer, ownerSince, now);
    if (!bucket || perMs <= 0) return NOTHING;
    bucket.askedAt = now;
    Object.assign(bucket, { perMs, burst });
    refill(bucket, now);
    const key = `${asker}#${row.number}`;
    const before = bucket.leases.get(key);
    if (before) return before;
    const answer = grant(bucket, row, now);
    // A row that found the bucket short is not granted when it arrives again: its asker makes a new one.
    if (answer.amount > 0 || bucket.leases.size < MAX_LEASES / 2) {
      recordLease(bucket, key, { ...answer, at: now, returned: 0 });
    }
    return answer;
  }

  /**
   * Puts back what a gateway did not use. A return names all that was returned of a lease so far, so that
   * one that arrives twice, or after a later one, puts back nothing twice.
   */
  giveBack(asker: string, { customer, number, amount }: QuotaReturn, now: number): void {
    const bucket = this.buckets.get(customer);
    const key = `${asker}#${number}`;
    const lease = bucket?.leases.get(key);
    if (!bucket || !lease) return;
    const returned = Math.min(amount ?? lease.amount, lease.amount);
    const added = Math.max(0, returned - lease.returned);
    lease.returned += added;
    if (lease.returned >= lease.amount) bucket.leases.delete(key);
    const slot = bucket.slots.find(({ at }) => lease.at - at >= 0 && lease.at - at < SLOT_MS);
    if (slot) slot.amount -= added;
    add(bucket, added, now);
  }

  /** Forgets the bucket of a customer that another gateway grants for. */
  drop(customer: string): void {
    this.buckets.delete(customer);
  }

  /** Forgets buckets that were not asked for a long time. */
  expire(now: number): void {
    [...this.buckets]
      .filter(([, { askedAt }]) => now - askedAt >= BUCKET_RETENTION_MS)
      .forEach(([customer]) => this.buckets.delete(customer));
    this.buckets.forEach((bucket) => dropOldLeases(bucket, now));
  }

  private bucketOf(customer: string, ownerSince: number, now: number): Bucket | undefined {
    const known = this.buckets.get(customer);
    if (known) return known;
    if (this.buckets.size >= MAX_BUCKETS) return undefined;
    const bucket: Bucket = {
      level: 0,
      perMs: 0,
      burst: 0,
      refilledAt: ownerSince,
      askedAt: now,
      reserved: 0,
      reservedUntil: -Infinity,
      promisedUntil: -Infinity,
      leases: new Map(),
      slots: [],
    };
    this.buckets.set(customer, bucket);
    return bucket;
  }
}

function refill(bucket: Bucket, now: number): void {
  // The limit may have become lower.
  Object.assign(bucket, { level: Math.min(bucket.level, bucket.burst) });
  add(bucket, bucket.perMs * Math.max(0, now - bucket.refilledAt), now);
  Object.assign(bucket, { refilledAt: now });
}

/**
 * Adds to the level. The level and the leases that may still be used are together at most the burst
 * and the rate of one lease lifetime: otherwise returned leases, which were granted while the bucket
 * refilled, would add up over time.
 */
function add(bucket: Bucket, amount: number, now: number): void {
  const { level, burst, perMs } = bucket;
  const slots = bucket.slots.filter(({ at }) => now - at < LEASE_MS + SLOT_MS);
  const outstanding = slots.reduce((sum, slot) => sum + slot.amount, 0);
  const max = Math.min(burst, burst + perMs * LEASE_MS - outstanding);
  Object.assign(bucket, { slots, level: Math.max(level, Math.min(level + amount, max)) });
}

function recordLease({ leases, slots }: Bucket, key: string, lease: Lease): void {
  leases.set(key, lease);
  const last = slots.at(-1);
  if (last && lease.at - last.at < SLOT_MS) last.amount += lease.amount;
  else slots.push({ at: lease.at, amount: lease.amount });
}

function grant(bucket: Bucket, { first, need, want }: QuotaAskRow, now: number): QuotaAnswer {
  const { perMs, burst } = bucket;
  if (bucket.leases.size >= MAX_LEASES) return NOTHING;
  // A larger request would never find enough in a bucket that smaller ones keep emptying.
  const full = Math.max(burst / 2, burst - perMs * HEADROOM_MS);
  const reserved = now < bucket.reservedUntil ? Math.min(bucket.reserved, full) : 0;
  const threshold = Math.max(Math.min(first, full), reserved);
  if (first > 0 && bucket.level < threshold) {
    const fullAt = now + (threshold - bucket.level) / perMs;
    const at = Math.min(Math.max(fullAt, bucket.promisedUntil), now + MAX_PROMISE_MS);
    Object.assign(bucket, {
      promisedUntil: at + first / perMs,
      reserved: threshold,
      reservedUntil: at + RETURN_SLACK_MS,
    });
    return { amount: 0, shortMs: fullAt - now, waitMs: Math.max(fullAt, at) - now };
  }
  const needed = first > 0 ? Math.min(need, Math.max(first, Math.floor(bucket.level))) : 0;
  // The upper half of the bucket is lent ahead; requests that wait elsewhere find the rest.
  const spare = Math.max(0, bucket.level - needed - Math.max(reserved, burst / 2)) / 2;
  const amount = needed + Math.floor(Math.min(Math.max(0, want - need), spare));
  Object.assign(bucket, { level: bucket.level - amount });
  const lacking = need - needed;
  const shortMs = lacking > 0 ? Math.max(0, lacking - bucket.level) / perMs : 0;
  return { amount, shortMs, waitMs: shortMs };
}

function dropOldLeases({ leases }: Bucket, now: number): void {
  [...leases]
    .filter(([, { at }]) => now - at >= LEASE_RETENTION_MS)
    .forEach(([key]) => leases.delete(key));
}
