/** Configuration of a gateway that routes by host and path: routes, services and limits. */
import type { RegionScope } from '../residency/region-scope.js';

/** Whether requests of a route may run more than once. */
export const RouteKind = {
  /** May run more than once. */
  Repeatable: 'repeatable',
  /** Runs at most once per attempt of the client. */
  Single: 'single',
  /** The response is a stream of server-sent events; runs at most once unless the route is resumable. */
  Stream: 'stream',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service of a route with its share of the requests. */
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
  /** Maximum time from the arrival of a request to its final response, ms. */
  readonly timeoutMs: number;
  /** Target for the time to the first byte of the response, ms. */
  readonly latencyTargetMs: number;
  /** Target for the longest gap between two events of a stream, ms; absent without one. */
  readonly gapTargetMs?: number;
  /** How long callers wait for the first byte before they disconnect, ms. */
  readonly patienceMs: number;
  /** Priority among the routes of a service; 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly ServiceShare[];
  /** Maximum number of targets that one request of a client may be sent to. */
  readonly maxAttempts: number;
  /** Whether an interrupted stream may be resumed at another target after its last event. */
  readonly resumable: boolean;
  /** Regions in which the requests may run. */
  readonly regions: RegionScope;
  /** Whether requests need no API key where the configuration has customers. */
  readonly isPublic?: boolean;
}

/** What the limit of a customer counts. */
export const LimitUnit = {
  Requests: 'requests',
  /** Prompt tokens and the limit of output tokens of a request. */
  Tokens: 'tokens',
} as const;
export type LimitUnit = (typeof LimitUnit)[keyof typeof LimitUnit];

/** Limit of a customer over all gateways together. */
export interface CustomerLimit {
  readonly unit: LimitUnit;
  /** Units per second. */
  readonly perS: number;
  /** Units that may be used at once after a time without requests. */
  readonly burst: number;
  /** Units of a request without a prompt, where tokens are counted. */
  readonly plainTokens: number;
}

export interface FleetCustomer {
  readonly name: string;
  /** SHA-256 digests of the customer's API keys, hexadecimal. */
  readonly keyDigests: readonly string[];
  /** Replaces the priority of the routes; 0 is the most urgent. */
  readonly priority?: number;
  /** Absent if the customer may use any amount. */
  readonly limit?: CustomerLimit;
  /** Regions in which its requests may run, in addition to those of the route. */
  readonly regions: RegionScope;
}

/** Properties of the inference engine of a service. */
export interface EngineSpec {
  /** Capacity of a target's KV cache, tokens. */
  readonly kvCapacityTokens: number;
}

export interface ServiceSpec {
  readonly name: string;
  /** How long a target is cold after its start, ms; 0 if it is never cold. */
  readonly warmupMs: number;
  /** Requests per second that a cold target can serve; 0 for no limit. */
  readonly coldRequestsPerS: number;
  /** Path of the health check of its targets; absent if they have none. */
  readonly healthPath?: string;
  /** Absent for plain services. */
  readonly engine?: EngineSpec;
}

/** Size limits and timeouts for clients. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headersTimeoutMs: number;
  /** How long a connection may be idle between two requests, ms. */
  readonly idleTimeoutMs: number;
}

export interface FleetConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceSpec>;
  readonly limits: ClientLimits;
  /** Customers by name; absent if the deployment has none. */
  readonly customers?: ReadonlyMap<string, FleetCustomer>;
  /** Set when a gateway of the previous release passed it on, which does not know of customers. */
  readonly lacksCustomers?: true;
}
