/** Interfaces of the policies that choose a target and a failure domain. */
import type { ServiceWeights } from '../config/text-schema.js';
import type { TargetState } from '../messages/messages.js';
import type { RandomSource } from '../random-source.js';

/** What the choice depends on in a request. */
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

/** A target with its report corrected by what this process sent since the report. */
export interface TargetCandidate {
  readonly state: TargetState;
  /** Requests that this process sent since the report's time. */
  readonly sentSinceReport: number;
  /** Requests of this process that the target runs now. */
  readonly inFlight: number;
  /** Requests of this process that ended since the report's time; 0 when left out. */
  readonly endedSinceReport?: number;
}

/**
 * Chooses a target in the process's own failure domain. The caller passes only candidates that may
 * be used: ready for the service, not leaving and not excluded.
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
  /** Age of these figures; 0 for the own failure domain. */
  readonly ageMs: number;
  /** One way; 0 for the own failure domain. */
  readonly oneWayMs: number;
  readonly linkMbitPerS?: number;
  /** Bytes that the link's budget allows now. */
  readonly linkBudgetBytes?: number;
  /** Expected prefill time of the request there, cold or warm. */
  readonly prefillMs: number;
  /** Present when the home region holds the prefix's KV cache and could export it there. */
  readonly kvExport?: {
    readonly bytes: number;
    /** Prefill that remains after the import. */
    readonly prefillMs: number;
  };
}

/** One choice with the terms of its cost, in ms of weighted time. */
export interface DomainScore {
  readonly failureDomain: string;
  readonly tail: number;
  readonly cost: number;
  readonly away: number;
  readonly total: number;
  /** Why the option is not eligible, if it is not. */
  readonly excluded?: string;
}

export interface DomainDecision {
  /** Absent when no failure domain can run the request. */
  readonly failureDomain?: string;
  readonly scores: readonly DomainScore[];
  /** Whether to export the prefix's KV cache to the chosen domain first; false when left out. */
  readonly exportKv?: boolean;
}

/** Decides whether a request stays in its failure domain or is sent away. */
export interface DomainPolicy {
  readonly name: string;
  choose(
    req: RoutedRequest,
    home: DomainOption,
    others: readonly DomainOption[],
    weights: ServiceWeights,
  ): DomainDecision;
}
