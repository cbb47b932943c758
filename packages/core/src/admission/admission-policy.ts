/** Interfaces of admission: bounded queues per customer and a policy that orders them. */

/** A request that asks for admission; times are monotonic ms. */
export interface AdmissionRequest {
  readonly id: string;
  readonly customer: string;
  readonly customerClass: string;
  /** Weight of the customer in fair queueing. */
  readonly weight: number;
  readonly priority: number;
  /** Expected cost: prompt tokens plus twice the expected output tokens; 1 for plain calls. */
  readonly cost: number;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** Latency target for the first token or the answer. */
  readonly latencyTargetMs: number;
  /** Whether another failure domain sent it here. */
  readonly forwarded?: boolean;
}

/** What is known once a request has ended. */
export interface AdmissionOutcome {
  /** Actual cost, in the unit of `AdmissionRequest.cost`. */
  readonly cost: number;
  /** Time from arrival to the first token or the answer; absent when there was none. */
  readonly firstTokenMs?: number;
}

/** Order in which queued requests are admitted. */
export interface FairnessPolicy {
  readonly name: string;
  push(req: AdmissionRequest): void;
  /** Takes the next request of the customers that may run one now; of all when left out. */
  pop(now: number, mayRun?: (customer: string) => boolean): AdmissionRequest | undefined;
  /** Takes a request out, for example when its caller has gone. */
  remove(id: string): AdmissionRequest | undefined;
  onFinished(req: AdmissionRequest, outcome: AdmissionOutcome, now: number): void;
  readonly size: number;
  queuedOf(customer: string): number;
  /** Customers with a queued request; only of a policy that serves customers in turn. */
  readonly customersQueued?: number;
  /** All queued requests, in no particular order. */
  queued(): readonly AdmissionRequest[];
}

/** Decision on a new request. A refused request is never run. */
export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'queued' }
  | {
      readonly kind: 'refused';
      readonly reason: 'queue-full' | 'deadline-unreachable' | 'expired';
    };

/** Admission of one service: a window of running requests and the queue before it. */
export interface AdmissionController {
  offer(req: AdmissionRequest, now: number): AdmissionDecision;
  /** Ends a running request; returns the requests that are admitted in its place. */
  release(id: string, outcome: AdmissionOutcome, now: number): readonly AdmissionRequest[];
  /** Removes a queued request. */
  cancel(id: string): void;
  /** Sets the number of requests that may run; returns requests admitted by a larger window. */
  resize(window: number, now: number): readonly AdmissionRequest[];
  /** Removes and returns queued requests whose deadline has passed or can't be met any more. */
  expire(now: number): readonly AdmissionRequest[];
  /** Expected wait of a new request of this customer, ms. */
  expectedWaitMs(customer: string): number;
  readonly running: number;
  readonly queuedCount: number;
}
