/** Interfaces of the policies that choose a target and a failure domain. */
import type { ServiceWeights } from '../config/config-schema.js';
import type { TargetState } from '../messages/messages.js';
import type { RandomSource } from '../random-source.js';

/** Properties of a request that routing depends on. */
export interface RoutedRequest {
  readonly service: string;
  /** Digest of the prompt's prefix; absent for plain services. */
  readonly prefix?: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly bodyBytes: number;
  /** Latency target for the first token, ms; absent for plain services. */
  readonly latencyTargetMs?: number;
}

/** A target with its last report and what this process has sent and seen end since. */
export interface TargetCandidate {
  readonly state: TargetState;
  /** Requests that this process sent after the report. */
  readonly sentSinceReport: number;
  /** Requests of this process in flight at the target. */
  readonly inFlight: number;
  /** Requests of this process that ended after the report; 0 by default. */
  readonly endedSinceReport?: number;
}

/**
 * Chooses a target in the local failure domain. The caller passes only eligible candidates: ready for
 * the service, not leaving and not excluded.
 */
export interface TargetPolicy {
  readonly name: string;
  choose(
    req: RoutedRequest,
    candidates: readonly TargetCandidate[],
    random: RandomSource,
    weights?: ServiceWeights,
  ): TargetCandidate | undefined;
}

/** A failure domain that could run the request. */
export interface DomainOption {
  readonly failureDomain: string;
  readonly region: string;
  readonly readyTargets: number;
  /** Expected wait for a new request there. */
  readonly waitMs: number;
  readonly freeSlots: number;
  /** Age of these figures; 0 for the local failure domain. */
  readonly ageMs: number;
  /** One-way latency; 0 for the local failure domain. */
  readonly oneWayMs: number;
  readonly linkMbitPerS?: number;
  /** Bytes that the link budget allows now. */
  readonly linkBudgetBytes?: number;
  /** Expected prefill time of the request there, given what is cached. */
  readonly prefillMs: number;
  /** Present if the local region has the prefix's KV cache and could export it there. */
  readonly kvExport?: {
    readonly bytes: number;
    /** Remaining prefill time after the import. */
    readonly prefillMs: number;
  };
}

/** One option with the terms of its cost, in ms of weighted time. */
export interface DomainScore {
  readonly failureDomain: string;
  readonly tail: number;
  readonly cost: number;
  readonly away: number;
  readonly total: number;
  /** Why the option is not eligible; absent if it is. */
  readonly excluded?: string;
}

export interface DomainDecision {
  /** Absent if no failure domain can run the request. */
  readonly failureDomain?: string;
  readonly scores: readonly DomainScore[];
  /** Whether to export the prefix's KV cache to the chosen domain first; false by default. */
  readonly exportKv?: boolean;
}

/** Decides whether a request stays in the local failure domain or is forwarded to another one. */
export interface DomainPolicy {
  readonly name: string;
  choose(
    req: RoutedRequest,
    local: DomainOption,
    others: readonly DomainOption[],
    weights: ServiceWeights,
  ): DomainDecision;
}
