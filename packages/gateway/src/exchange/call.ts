/** A request that the gateway is handling. */
import type { FleetCustomer, RequestFacts, Route } from '@marjoramcart/core';
import type { CallHead } from '../ports/request-protocol.js';

export interface Call {
  readonly head: CallHead;
  readonly route: Route;
  readonly service: string;
  /** Customer whose request it is; absent where the deployment has no customers. */
  readonly customer?: FleetCustomer;
  /** Priority of the customer, or of the route if the customer has none; 0 is the most urgent. */
  readonly priority: number;
  readonly body: Buffer;
  readonly facts: RequestFacts;
  /** Name of the gateway that forwarded the request; undefined when a caller sent it. */
  readonly forwardedBy: string | undefined;
  /** Software version that has to go on with the stream; set by the gateway that forwarded it. */
  readonly requiredVersion?: string;
  /** Age of the caller's connection when the request was read, ms. */
  readonly connectionAgeMs: number;
  /** Longest time for which that connection may have waited to be accepted, ms. */
  readonly acceptWaitMs: number;
  /** Version of the configuration that the route belongs to. */
  readonly configVersion: number;
}
