/** A request in flight, as the gateway handles it. */
import type { RequestFacts, Route } from '@marjoramcart/core';
import type { CallHead } from '../ports/request-protocol.js';

export interface Call {
  readonly head: CallHead;
  readonly route: Route;
  readonly service: string;
  readonly body: Buffer;
  readonly facts: RequestFacts;
  /** Name of the gateway that forwarded it; undefined when it came from a client. */
  readonly forwardedBy: string | undefined;
  /** Version of the configuration that the route is of. */
  readonly configVersion: number;
}
