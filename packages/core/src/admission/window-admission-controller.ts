/**
 * Admission of one service: a window of running requests and bounded queues before it.
 *
 * Load pattern: a region that lost its targets sends its load to others. Forwarded requests have
 * queues of their own and leave a part of the window to the callers here.
 */
import type {
  AdmissionController,
  AdmissionDecision,
  AdmissionOutcome,
  AdmissionRequest,
  FairnessPolicy,
} from './admission-policy.js';

export interface WindowAdmissionOptions {
  /** Requests that may run at the same time. */
  readonly window: number;
  /** Queued requests of one customer, when `queuePerCustomerOf` gives none. */
  readonly queuePerCustomer: number;
  /** Queued requests of all customers. */
  readonly maxQueued: number;
  /** Bound of the customer's queue by its class. */
  readonly queuePerCustomerOf?: (req: AdmissionRequest) => number | undefined;
  /** Also refuses when the expected wait is above this multiple of the latency target. */
  readonly maxWaitTargets?: number;
  /**
   * A customer of weight 1 that holds this share of the window, and an equal share or more, is
   * heavy. The share grows with the weight, for customers that are large by contract.
   */
  readonly heavyShare?: number;
  /** Heavy customers get more only while less than this share of the window is used. */
  readonly heavyMaxUtilization?: number;
  /** Forwarded requests get more only while less than this share of the window is used. */
  readonly forwardedMaxUtilization?: number;
}

/** Values of the options that are left out; `Infinity` turns a rule off. */
export const WINDOW_ADMISSION_DEFAULTS = {
  maxWaitTargets: 0.7,
  heavyShare: 0.15,
  heavyFill: 0.5,
  forwardedFill: 0.7,
} as const;

/** Queue of a customer's forwarded requests; customers' ids have no spaces. */
const FORWARDED_PREFIX = 'forwarded ';

interface CustomerSlots {
  readonly count: number;
  readonly weight: number;
}

interface RunningRequest {
  readonly req: AdmissionRequest;
  readonly admittedAt: number;
}

/** Weight of a new sample in the mean time that a request holds its slot. */
const HOLD_SMOOTHING = 0.05;
/** How fast the shortest time rises towards the mean, so that one short call is not remembered. */
const SHORTEST_RISE = 0.02;

/**
 * Bounds the running requests and orders the waiting ones by a fairness policy. Pure: the caller
 * passes the time and calls `expire` regularly.
 *
 * @example new WindowAdmissionController(new FirstComePolicy(), { window: 8, queuePerCustomer: 64, maxQueued: 1000 })
 */
export class WindowAdmissionController implements AdmissionController {
  private readonly runningById = new Map<string, RunningRequest>();

  private readonly runningByCustomer = new Map<string, CustomerSlots>();

  private readonly options: Required<Omit<WindowAdmissionOptions, 'queuePerCustomerOf'>> &
    Pick<WindowAdmissionOptions, 'queuePerCustomerOf'>;

  private window: number;

  private meanHoldMs = 0;

  private shortestHoldMs = 0;

  constructor(
    private readonly fairness: FairnessPolicy,
    options: WindowAdmissionOptions,
  ) {
    this.options = { ...WINDOW_ADMISSION_DEFAULTS, ...options };
    this.window = options.window;
  }

  get running(): number {
    return this.runningById.size;
  }

  get queuedCount(): number {
    return this.fairness.size;
  }

  offer(offered: AdmissionRequest, now: number): AdmissionDecision {
    const req = offered.forwarded
      ? { ...offered, customer: FORWARDED_PREFIX + offered.customer }
      : offered;
    if (req.deadlineAt <= now) return { kind: 'refused', reason: 'expired' };
    // Requests that wait although the window has room belong to heavy customers; others pass them.
    if (this.running < this.window && this.mayRun(req.customer)) {
      // The policy sees the request too, since it counts what a customer was given.
      this.fairness.push(req);
      this.fairness.pop(now, (customer) => customer === req.customer);
      this.start(req, now);
      return { kind: 'admitted' };
    }
    const bound = this.options.queuePerCustomerOf?.(req) ?? this.options.queuePerCustomer;
    const isFull =
      this.fairness.queuedOf(req.customer) >= bound || this.fairness.size >= this.options.maxQueued;
    if (isFull) return { kind: 'refused', reason: 'queue-full' };
    if (!this.isReachable(req, this.expectedWaitMs(req.customer), now)) {
      return { kind: 'refused', reason: 'deadline-unreachable' };
    }
    this.fairness.push(req);
    return { kind: 'queued' };
  }

  release(id: string, outcome: AdmissionOutcome, now: number): readonly AdmissionRequest[] {
    const ended = this.runningById.get(id);
    if (!ended) return [];
    this.runningById.delete(id);
    this.countRunning(ended.req, -1);
    this.recordHold(now - ended.admittedAt);
    this.fairness.onFinished(ended.req, outcome, now);
    return this.admit(now);
  }

  cancel(id: string): void {
    this.fairness.remove(id);
  }

  resize(window: number, now: number): readonly AdmissionRequest[] {
    this.window = window;
    return this.admit(now);
  }

  expire(now: number): readonly AdmissionRequest[] {
    return this.fairness
      .queued()
      .filter((req) => !this.isReachable(req, 0, now))
      .map((req) => this.fairness.remove(req.id))
      .filter((req) => req !== undefined);
  }

  /**
   * Wait of a new request of this customer, in ms, by the mean time that requests hold a slot. A
   * policy that serves customers in turn lets a customer with few requests pass a long queue.
   */
  expectedWaitMs(customer: string): number {
    if (this.running < this.window && this.mayRun(customer)) return 0;
    const customers = this.fairness.customersQueued ?? Infinity;
    const inTurns = (this.fairness.queuedOf(customer) + 1) * (customers + 1);
    const ahead = Math.min(this.fairness.size + 1, inTurns);
    return (ahead * this.meanHoldMs) / Math.max(1, this.window);
  }

  private isReachable(req: AdmissionRequest, waitMs: number, now: number): boolean {
    const { maxWaitTargets } = this.options;
    if (now + waitMs - req.arrivedAt > maxWaitTargets * req.latencyTargetMs) return false;
    return now + waitMs + this.shortestHoldMs < req.deadlineAt;
  }

  private admit(now: number): AdmissionRequest[] {
    const admitted: AdmissionRequest[] = [];
    while (this.running < this.window) {
      const req = this.fairness.pop(now, (customer) => this.mayRun(customer));
      if (!req) break;
      this.start(req, now);
      admitted.push(req);
    }
    return admitted;
  }

  private start(req: AdmissionRequest, now: number): void {
    this.runningById.set(req.id, { req, admittedAt: now });
    this.countRunning(req, 1);
  }

  private mayRun(customer: string): boolean {
    const { heavyShare, heavyMaxUtilization: heavyFill, forwardedMaxUtilization: forwardedFill } = this.options;
    const forwarded = customer.startsWith(FORWARDED_PREFIX);
    if (forwarded && this.running >= forwardedFill * this.window) return false;
    const { count, weight } = this.runningByCustomer.get(customer) ?? { count: 0, weight: 1 };
    // Without the equal share the only customer of a service could not use the whole window.
    const equalShare = 1 / Math.max(1, this.runningByCustomer.size);
    const isHeavy = count >= Math.max(heavyShare * weight, equalShare) * this.window;
    return !isHeavy || this.running < heavyFill * this.window;
  }

  private countRunning({ customer, weight }: AdmissionRequest, change: number): void {
    const count = (this.runningByCustomer.get(customer)?.count ?? 0) + change;
    if (count > 0) this.runningByCustomer.set(customer, { count, weight });
    else this.runningByCustomer.delete(customer);
  }

  private recordHold(holdMs: number): void {
    this.meanHoldMs =
      this.meanHoldMs === 0
        ? holdMs
        : this.meanHoldMs + HOLD_SMOOTHING * (holdMs - this.meanHoldMs);
    this.shortestHoldMs =
      this.shortestHoldMs === 0 || holdMs < this.shortestHoldMs
        ? holdMs
        : this.shortestHoldMs + SHORTEST_RISE * (this.meanHoldMs - this.shortestHoldMs);
  }
}
