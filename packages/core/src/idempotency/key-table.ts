/**
 * Table of the idempotency keys that one process dispatches:
 * `absent -> held -> sent -> done(outcome)` and `held -> burned`. Burned and done are final.
 * Outcomes stay until the key's expiry; a full table rejects new keys and evicts nothing.
 */
import type { IdempotencyKey } from './idempotency-key.js';

/** Farthest expiry of a key, from now. */
export const MAX_KEY_LIFETIME_MS = 3_600_000;

/** Bytes that a key takes before its outcome is known; also room for a short answer. */
export const RESERVED_BYTES_PER_KEY = 16 * 1024;

export const KeyState = { Claimed: 'held', Sent: 'sent', Done: 'done', Revoked: 'burned' } as const;
export type KeyState = (typeof KeyState)[keyof typeof KeyState];

/** How a keyed call ended. `Answer` is the recorded answer of the caller's package. */
export type KeyOutcome<Answer> =
  | { readonly kind: 'answer'; readonly answer: Answer; readonly bytes: number }
  /** It ran, but its answer did not fit into the table. */
  | { readonly kind: 'answer-dropped' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'not-run' };

/** Result of a claim. Only `new` gives the right to dispatch. */
export type KeyClaim<Answer> =
  | { readonly kind: 'new' }
  /** Another request with the key is in flight. */
  | { readonly kind: 'join'; readonly settled: Promise<KeyOutcome<Answer>> }
  | { readonly kind: 'settled'; readonly outcome: KeyOutcome<Answer> }
  | { readonly kind: 'expired' }
  | { readonly kind: 'expiry-too-far' }
  | { readonly kind: 'reused' }
  | { readonly kind: 'full' };

/** Answer to `key.cancel`. */
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

  /** Bytes of outcomes and reserves. */
  get bytes(): number {
    return this.usedBytes;
  }

  /** Whether an earlier request with the key was run or may still be; an expired key is forgotten. */
  mayHaveRun(key: IdempotencyKey, wallMs: number): boolean {
    const state = this.stateOf(key.text);
    if (state === undefined) return key.expiresAtWallMs <= wallMs;
    return state !== KeyState.Revoked;
  }

  stateOf(keyText: string): KeyState | undefined {
    return this.records.get(keyText)?.state;
  }

  /**
   * Claims a key for a request.
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
    // A key that was cancelled before its request arrived has no digest; its state is final.
    if (record.bodyDigest !== '' && record.bodyDigest !== bodyDigest) return { kind: 'reused' };
    if (record.outcome) return { kind: 'settled', outcome: record.outcome };
    return {
      kind: 'join',
      settled: new Promise((resolve) => {
        record.waiters.push(resolve);
      }),
    };
  }

  /** Marks the request as sent, immediately before the write; false forbids the write. */
  markSent(keyText: string, wallMs: number): boolean {
    const record = this.records.get(keyText);
    if (record?.state !== KeyState.Claimed || record.key.expiresAtWallMs <= wallMs) return false;
    record.state = KeyState.Sent;
    return true;
  }

  /**
   * Takes back `markSent` after a failure that is certain to lie before the first byte, such as a
   * refused connection.
   */
  markUnsent(keyText: string): void {
    const record = this.records.get(keyText);
    if (record?.state === KeyState.Sent) record.state = KeyState.Claimed;
  }

  /** Makes sure that the request never runs; false when it may have run already. */
  revoke(keyText: string): boolean {
    const record = this.records.get(keyText);
    if (!record) return false;
    if (record.state === KeyState.Claimed) this.settle(record, KeyState.Revoked, { kind: 'not-run' });
    return record.state === KeyState.Revoked;
  }

  /** Ends a sent request. */
  finish(keyText: string, outcome: KeyOutcome<Answer>): void {
    const record = this.records.get(keyText);
    if (record?.state !== KeyState.Sent) return;
    const bytes = outcome.kind === 'answer' ? Math.max(outcome.bytes, 1) : 1;
    const fits =
      bytes <= RESERVED_BYTES_PER_KEY || this.usedBytes - record.bytes + bytes <= this.limits.maxBytes;
    this.usedBytes += (fits ? bytes : 1) - record.bytes;
    record.bytes = fits ? bytes : 1;
    this.settle(record, KeyState.Done, fits ? outcome : { kind: 'answer-dropped' });
  }

  /**
   * Burns a key for the process that handed it over. A key that has not arrived is entered as
   * burned, so that a late arrival is not run.
   */
  cancel(key: IdempotencyKey, customer: string, wallMs: number): KeyCancelOutcome {
    const record = this.records.get(key.text);
    if (record) {
      if (record.customer !== customer) return 'unknown';
      return this.revoke(key.text) ? 'cancelled' : 'sent';
    }
    // The outcome of an expired key may be forgotten already.
    if (key.expiresAtWallMs <= wallMs) return 'unknown';
    const claim = this.claim(key, customer, '', wallMs);
    return claim.kind === 'new' && this.revoke(key.text) ? 'cancelled' : 'unknown';
  }

  /** Forgets settled keys whose expiry has passed. */
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
