/** Decides whether to export a prefix's KV cache to another region or to recompute it there. */
import type { DomainOption } from './routing-policy.js';

const BITS_PER_BYTE = 8;
const BITS_PER_MS_AT_1_MBIT_PER_S = 1000;

/**
 * Transfer time of the bytes on an otherwise idle link, in ms.
 *
 * @example transferMs(1_250_000, 100) // 100
 */
export function transferMs(bytes: number, mbitPerS: number): number {
  return (bytes * BITS_PER_BYTE) / (mbitPerS * BITS_PER_MS_AT_1_MBIT_PER_S);
}

/** How the prefix is made available in another region, and the cost. */
export interface PrefillPlan {
  readonly exportKv: boolean;
  /** Time until decoding can start, without queueing. */
  readonly prefillMs: number;
  /** Bytes of KV cache on the link, without the request itself. */
  readonly kvBytes: number;
}

/**
 * Exports only when the bytes are within the link's budget and the transfer and the remaining
 * prefill together are faster than the cold prefill. At 131,072 bytes and 0.125 ms of prefill for
 * each token a link needs more than 8.4 Gbit/s for that.
 *
 * @example planPrefill(option).exportKv // false
 */
export function planPrefill(option: DomainOption): PrefillPlan {
  const { kvExport, linkMbitPerS, linkBudgetBytes = Infinity, prefillMs } = option;
  const prefill: PrefillPlan = { exportKv: false, prefillMs, kvBytes: 0 };
  if (!kvExport || linkMbitPerS === undefined || kvExport.bytes > linkBudgetBytes) return prefill;
  const exportMs = transferMs(kvExport.bytes, linkMbitPerS) + kvExport.prefillMs;
  return exportMs < prefillMs
    ? { exportKv: true, prefillMs: exportMs, kvBytes: kvExport.bytes }
    : prefill;
}
