/** Configuration of a gateway that routes by host and path: routes, services and limits. */

/** What may be done twice with a request of a route. */
export const RouteKind = {
  /** May run more than once. */
  Repeatable: 'repeatable',
  /** Runs at most once per attempt of the client. */
  Single: 'single',
  /** Answered with server-sent events; runs at most once unless the route is resumable. */
  Stream: 'stream',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that a route sends to, with its share of the requests. */
export interface ServiceShare {
  readonly service: string;
  /** Relative to the weights of the route's other services. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time from the arrival of a request to its final answer, ms. */
  readonly timeoutMs: number;
  /** Time to the first byte of the answer that callers aim for, ms. */
  readonly latencyTargetMs: number;
  /** How long callers wait for the first byte before they leave, ms. */
  readonly patienceMs: number;
  /** Rank among the routes of a service; 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly ServiceShare[];
  /** Most targets that one attempt of a client may be sent to. */
  readonly maxAttempts: number;
  /** Whether a broken stream may go on at another target after its last event. */
  readonly resumable: boolean;
  /** Regions in which the requests may run; empty when any region may run them. */
  readonly allowedRegions: readonly string[];
}

/** Inference engine behind a service. */
export interface EngineSpec {
  /** Tokens that a target's KV cache holds. */
  readonly kvCapacityTokens: number;
}

export interface ServiceSpec {
  readonly name: string;
  /** How long a target stays cold after its start, ms; 0 when it is never cold. */
  readonly warmupMs: number;
  /** Requests per second that a cold target bears; 0 without a limit. */
  readonly coldRequestsPerS: number;
  /** Absent for plain services. */
  readonly engine?: EngineSpec;
}

/** What a client may send, and how long it may take. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headersTimeoutMs: number;
  /** How long a connection may stay open between two requests, ms. */
  readonly idleTimeoutMs: number;
}

export interface FleetConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceSpec>;
  readonly limits: ClientLimits;
}
