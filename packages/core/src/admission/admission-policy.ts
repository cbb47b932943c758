/** Interfaces of admission control: bounded queues per customer and a policy that orders them. */

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
  /** Latency target for the first token or the response. */
  readonly latencyTargetMs: number;
  /** Whether another failure domain forwarded the request here. */
  readonly forwarded?: boolean;
}

/** Result of a request that has ended. */
export interface AdmissionOutcome {
  /** Actual cost, in the unit of `AdmissionRequest.cost`. */
  readonly cost: number;
  /** Time from arrival to the first token or the response; absent if there was none. */
  readonly firstTokenMs?: number;
}

/** Order in which queued requests are admitted. */
export interface FairnessPolicy {
  readonly name: string;
  push(req: AdmissionRequest): void;
  /** Removes and returns the next request of the customers accepted by `mayRun`; of all by default. */
  pop(now: number, mayRun?: (customer: string) => boolean): AdmissionRequest | undefined;
  /** Removes a request, for example when its caller has disconnected. */
  remove(id: string): AdmissionRequest | undefined;
  onFinished(req: AdmissionRequest, outcome: AdmissionOutcome, now: number): void;
  readonly size: number;
  queuedCountOf(customer: string): number;
  /** Number of customers with a queued request; only for policies that serve customers in turn. */
  readonly queuedCustomerCount?: number;
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

/** Admission control of one service: a concurrency limit (window) and a queue. */
export interface AdmissionController {
  offer(req: AdmissionRequest, now: number): AdmissionDecision;
  /** Ends a running request; returns the requests that are admitted as a result. */
  release(id: string, outcome: AdmissionOutcome, now: number): readonly AdmissionRequest[];
  /** Removes a queued request. */
  cancel(id: string): void;
  /** Sets the number of requests that may run; returns the requests admitted by a larger window. */
  resize(window: number, now: number): readonly AdmissionRequest[];
  /** Removes and returns queued requests whose deadline has passed or can't be met any more. */
  expire(now: number): readonly AdmissionRequest[];
  /** Expected wait of a new request of this customer, ms. */
  expectedWaitMs(customer: string): number;
  readonly running: number;
  readonly queuedCount: number;
}
