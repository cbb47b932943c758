/**
 * Table of the idempotency keys that one process owns. The states of a key are
 * `absent -> claimed -> sent -> done(outcome)` and `claimed -> revoked`; revoked and done are final.
 * A key returns from sent to claimed if the connection to the target failed before the first byte.
 * Outcomes are kept until the key expires: a full table rejects new keys and never evicts, since an
 * evicted key could run a second time.
 */
import type { IdempotencyKey } from './idempotency-key.js';

/** Longest time from now to the expiry of a key. */
export const MAX_KEY_LIFETIME_MS = 3_600_000;

/** Bytes reserved for a key until its outcome is known; enough for a short response. */
export const RESERVED_BYTES_PER_KEY = 16 * 1024;

export const KeyState = {
  Claimed: 'claimed',
  Sent: 'sent',
  Done: 'done',
  Revoked: 'revoked',
} as const;
export type KeyState = (typeof KeyState)[keyof typeof KeyState];

/** How a call with a key ended. `Answer` is the type in which the response is recorded. */
export type KeyOutcome<Answer> =
  | { readonly kind: 'answer'; readonly answer: Answer; readonly bytes: number }
  /** The request ran, but its response did not fit into the table. */
  | { readonly kind: 'answer-dropped' }
  /** The request was sent, and it is not known whether it ran. */
  | { readonly kind: 'unknown' }
  /** The request did not run and never will. */
  | { readonly kind: 'not-run' };

/** Result of a claim. Only `new` permits the request to be sent to a target. */
export type KeyClaim<Answer> =
  | { readonly kind: 'new' }
  /** Another request with the same key is in flight; `settled` resolves to its outcome. */
  | { readonly kind: 'join'; readonly settled: Promise<KeyOutcome<Answer>> }
  | { readonly kind: 'settled'; readonly outcome: KeyOutcome<Answer> }
  | { readonly kind: 'expired' }
  | { readonly kind: 'expiry-too-far' }
  /** The key belongs to another customer or another request. */
  | { readonly kind: 'reused' }
  /** The table has no space for another key. */
  | { readonly kind: 'full' };

/** Result of the RPC `key.cancel`. */
export type KeyCancelOutcome = 'cancelled' | 'sent' | 'unknown';

export interface KeyTableLimits {
  readonly maxKeys: number;
  readonly maxBytes: number;
}

interface KeyRecord<Answer> {
  readonly key: IdempotencyKey;
  readonly customer: string;
  readonly bodyDigest: string;
  state: KeyState;
  bytes: number;
  outcome: KeyOutcome<Answer> | undefined;
  readonly waiters: ((outcome: KeyOutcome<Answer>) => void)[];
}

export class KeyTable<Answer> {
  private readonly records = new Map<string, KeyRecord<Answer>>();

  private usedBytes = 0;

  constructor(private readonly limits: KeyTableLimits) {}

  get size(): number {
    return this.records.size;
  }

  /** Bytes of recorded outcomes and of reservations for keys without an outcome. */
  get bytes(): number {
    return this.usedBytes;
  }

  /**
   * Whether an earlier request with the key ran or may still run. True for an unknown key that has
   * expired, because its record may have been removed.
   */
  mayHaveRun(key: IdempotencyKey, wallMs: number): boolean {
    const state = this.stateOf(key.text);
    if (state === undefined) return key.expiresAtWallMs <= wallMs;
    return state !== KeyState.Revoked;
  }

  stateOf(keyText: string): KeyState | undefined {
    return this.records.get(keyText)?.state;
  }

  /**
   * Claims a key for a request. A claim by another customer or with another digest is rejected.
   *
   * @param bodyDigest digest of customer, service, method, path and body
   * @param wallMs wall time, ms since the Unix epoch
   */
  claim(
    key: IdempotencyKey,
    customer: string,
    bodyDigest: string,
    wallMs: number,
  ): KeyClaim<Answer> {
    if (key.expiresAtWallMs <= wallMs) return { kind: 'expired' };
    if (key.expiresAtWallMs > wallMs + MAX_KEY_LIFETIME_MS) return { kind: 'expiry-too-far' };
    const record = this.records.get(key.text);
    if (!record) return this.insert(key, customer, bodyDigest);
    if (record.customer !== customer) return { kind: 'reused' };
    // A key that was cancelled before its request arrived has no digest and is already revoked.
    if (record.bodyDigest !== '' && record.bodyDigest !== bodyDigest) return { kind: 'reused' };
    if (record.outcome) return { kind: 'settled', outcome: record.outcome };
    return {
      kind: 'join',
      settled: new Promise((resolve) => {
        record.waiters.push(resolve);
      }),
    };
  }

  /**
   * Marks the request as sent; called immediately before it is written to the target. It must not be
   * written if this returns false, since the key has expired or is not in the state `claimed`.
   */
  markSent(keyText: string, wallMs: number): boolean {
    const record = this.records.get(keyText);
    if (record?.state !== KeyState.Claimed || record.key.expiresAtWallMs <= wallMs) return false;
    record.state = KeyState.Sent;
    return true;
  }

  /**
   * Reverts `markSent` after a failure that certainly happened before the first byte was written,
   * such as a refused connection.
   */
  markUnsent(keyText: string): void {
    const record = this.records.get(keyText);
    if (record?.state === KeyState.Sent) record.state = KeyState.Claimed;
  }

  /** Revokes the key, so that the request never runs; false if it was already sent or is unknown. */
  revoke(keyText: string): boolean {
    const record = this.records.get(keyText);
    if (!record) return false;
    if (record.state === KeyState.Claimed)
      this.settle(record, KeyState.Revoked, { kind: 'not-run' });
    return record.state === KeyState.Revoked;
  }

  /** Records the outcome of a sent request. */
  finish(keyText: string, outcome: KeyOutcome<Answer>): void {
    const record = this.records.get(keyText);
    if (record?.state !== KeyState.Sent) return;
    const bytes = outcome.kind === 'answer' ? Math.max(outcome.bytes, 1) : 1;
    const fits =
      bytes <= RESERVED_BYTES_PER_KEY ||
      this.usedBytes - record.bytes + bytes <= this.limits.maxBytes;
    this.usedBytes += (fits ? bytes : 1) - record.bytes;
    record.bytes = fits ? bytes : 1;
    this.settle(record, KeyState.Done, fits ? outcome : { kind: 'answer-dropped' });
  }

  /**
   * Revokes a key at the request of the process that forwarded the request. A key whose request has
   * not arrived yet is stored as revoked, so that a late arrival does not run.
   */
  cancel(key: IdempotencyKey, customer: string, wallMs: number): KeyCancelOutcome {
    const record = this.records.get(key.text);
    if (record) {
      if (record.customer !== customer) return 'unknown';
      return this.revoke(key.text) ? 'cancelled' : 'sent';
    }
    // The outcome of an expired key may have been removed already.
    if (key.expiresAtWallMs <= wallMs) return 'unknown';
    const claim = this.claim(key, customer, '', wallMs);
    return claim.kind === 'new' && this.revoke(key.text) ? 'cancelled' : 'unknown';
  }

  /** Removes expired keys whose outcome is known. */
  removeExpired(wallMs: number): void {
    [...this.records.values()]
      .filter(({ key, outcome }) => outcome !== undefined && key.expiresAtWallMs <= wallMs)
      .forEach((record) => {
        this.records.delete(record.key.text);
        this.usedBytes -= record.bytes;
      });
  }

  private insert(key: IdempotencyKey, customer: string, bodyDigest: string): KeyClaim<Answer> {
    const full =
      this.records.size >= this.limits.maxKeys ||
      this.usedBytes + RESERVED_BYTES_PER_KEY > this.limits.maxBytes;
    if (full) return { kind: 'full' };
    this.usedBytes += RESERVED_BYTES_PER_KEY;
    this.records.set(key.text, {
      key,
      customer,
      bodyDigest,
      state: KeyState.Claimed,
      bytes: RESERVED_BYTES_PER_KEY,
      outcome: undefined,
      waiters: [],
    });
    return { kind: 'new' };
  }

  private settle(record: KeyRecord<Answer>, state: KeyState, outcome: KeyOutcome<Answer>): void {
    if (state === KeyState.Revoked) {
      this.usedBytes += 1 - record.bytes;
      Object.assign(record, { bytes: 1 });
    }
    Object.assign(record, { state, outcome });
    record.waiters.splice(0).forEach((resolve) => resolve(outcome));
  }
}
