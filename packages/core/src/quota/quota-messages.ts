/** Messages with which gateways lease parts of customers' limits from their owners. */

/** What a gateway asks for one customer. A row that is sent again has the same number. */
export interface QuotaAskRow {
  readonly customer: string;
  /** Unique for the sender, also after a restart. */
  readonly number: number;
  /** What the first waiting request lacks; 0 if none waits. */
  readonly first: number;
  /** What all waiting requests lack. */
  readonly need: number;
  /** The same with what requests of the near future may use. */
  readonly want: number;
}

/** A lease, or a part of it, that was not used and never will be. */
export interface QuotaReturn {
  readonly customer: string;
  /** Number of the row that asked for it. */
  readonly number: number;
  /** With what was returned of the lease before; all of it if undefined, as when the grant was lost. */
  readonly amount: number | undefined;
}

export interface QuotaGrantRow {
  readonly customer: string;
  readonly number: number;
  /** Whether the sender grants amounts of this customer at all. */
  readonly granting: boolean;
  readonly amount: number;
  /** Time until more can be granted, ms; 0 if all that waits was granted. */
  readonly shortMs: number;
  /** Time until what was not granted is available, if those that were refused before come back, ms. */
  readonly waitMs: number;
}

export type QuotaContent =
  | {
      readonly kind: 'ask';
      readonly rows: readonly QuotaAskRow[];
      readonly returns: readonly QuotaReturn[];
    }
  | { readonly kind: 'grant'; readonly rows: readonly QuotaGrantRow[] }
  | {
      /** Asks for a sign of life. */
      readonly kind: 'ping';
      /** Regions for whose owners the sender acts as a deputy. */
      readonly deputyFor: readonly string[];
      /** Gateways in place of which the sender grants, since they don't answer. */
      readonly insteadOf: readonly string[];
    }
  | { readonly kind: 'pong' };

export type QuotaMessage = QuotaContent & {
  /** Name of the sending gateway and its region. */
  readonly from: string;
  readonly region: string;
};
