/**
 * Admission control of one service: a concurrency limit (window) with bounded queues. Forwarded
 * requests have separate queues and may use only a part of the window, so that the load of a region
 * without targets does not displace local callers.
 */
import type {
  AdmissionController,
  AdmissionDecision,
  AdmissionOutcome,
  AdmissionRequest,
  FairnessPolicy,
} from './admission-policy.js';

export interface WindowAdmissionOptions {
  /** Maximum number of concurrent requests. */
  readonly window: number;
  /** Maximum queue length of one customer, unless `queuePerCustomerOf` returns another one. */
  readonly queuePerCustomer: number;
  /** Maximum queue length of all customers together. */
  readonly maxQueued: number;
  /** Maximum queue length of the request's customer, by the customer's class. */
  readonly queuePerCustomerOf?: (req: AdmissionRequest) => number | undefined;
  /** Requests are also refused if the expected wait exceeds this multiple of the latency target. */
  readonly maxWaitLatencyTargets?: number;
  /**
   * A customer of weight 1 is heavy if it uses at least this share of the window and at least an
   * equal share. The threshold grows with the weight, for customers that are large by contract.
   */
  readonly heavyShare?: number;
  /** Heavy customers are admitted only while less than this share of the window is used. */
  readonly heavyMaxUtilization?: number;
  /** Forwarded requests are admitted only while less than this share of the window is used. */
  readonly forwardedMaxUtilization?: number;
}

/** Default options; `Infinity` disables a rule. */
export const WINDOW_ADMISSION_DEFAULTS = {
  maxWaitLatencyTargets: 0.7,
  heavyShare: 0.15,
  heavyMaxUtilization: 0.5,
  forwardedMaxUtilization: 0.7,
} as const;

/** Prefix of the queue key for a customer's forwarded requests; customer ids contain no spaces. */
const FORWARDED_PREFIX = 'forwarded ';

interface CustomerSlots {
  readonly count: number;
  readonly weight: number;
}

interface RunningRequest {
  readonly req: AdmissionRequest;
  readonly admittedAt: number;
}

/** Smoothing factor of the mean time that a request occupies its slot. */
const SLOT_TIME_SMOOTHING = 0.05;
/** Rate at which the shortest time rises towards the mean, so that one short call is soon forgotten. */
const SHORTEST_SLOT_TIME_RISE = 0.02;

/**
 * Limits the running requests and orders the queued ones by a fairness policy. It has no timers: the
 * caller passes the time and calls `expire` regularly.
 *
 * @example new WindowAdmissionController(new FirstComePolicy(), { window: 8, queuePerCustomer: 64, maxQueued: 1000 })
 */
export class WindowAdmissionController implements AdmissionController {
  private readonly runningById = new Map<string, RunningRequest>();

  private readonly runningByCustomer = new Map<string, CustomerSlots>();

  private readonly options: Required<Omit<WindowAdmissionOptions, 'queuePerCustomerOf'>> &
    Pick<WindowAdmissionOptions, 'queuePerCustomerOf'>;

  private window: number;

  private meanSlotMs = 0;

  private shortestSlotMs = 0;

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
    // Requests queued while the window has room belong to heavy customers or were forwarded; others
    // may overtake them.
    if (this.running < this.window && this.mayRun(req.customer)) {
      // The request passes through the policy, which accounts for the service of each customer.
      this.fairness.push(req);
      this.fairness.pop(now, (customer) => customer === req.customer);
      this.start(req, now);
      return { kind: 'admitted' };
    }
    const maxLength = this.options.queuePerCustomerOf?.(req) ?? this.options.queuePerCustomer;
    const isFull =
      this.fairness.queuedCountOf(req.customer) >= maxLength ||
      this.fairness.size >= this.options.maxQueued;
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
    this.recordSlotTime(now - ended.admittedAt);
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
   * Expected wait of a new request of this customer, ms, from the mean time that requests occupy a
   * slot. If customers are served in turn, one with few requests can overtake a long queue.
   */
  expectedWaitMs(customer: string): number {
    if (this.running < this.window && this.mayRun(customer)) return 0;
    const customers = this.fairness.queuedCustomerCount ?? Infinity;
    const aheadInTurns = (this.fairness.queuedCountOf(customer) + 1) * (customers + 1);
    const ahead = Math.min(this.fairness.size + 1, aheadInTurns);
    return (ahead * this.meanSlotMs) / Math.max(1, this.window);
  }

  private isReachable(req: AdmissionRequest, waitMs: number, now: number): boolean {
    const { maxWaitLatencyTargets: maxWaitLatencyTargets } = this.options;
    if (now + waitMs - req.arrivedAt > maxWaitLatencyTargets * req.latencyTargetMs) return false;
    return now + waitMs + this.shortestSlotMs < req.deadlineAt;
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
    const { heavyShare, heavyMaxUtilization, forwardedMaxUtilization } = this.options;
    const forwarded = customer.startsWith(FORWARDED_PREFIX);
    if (forwarded && this.running >= forwardedMaxUtilization * this.window) return false;
    const { count, weight } = this.runningByCustomer.get(customer) ?? { count: 0, weight: 1 };
    // Without the equal share, the only customer of a service could not use the whole window.
    const equalShare = 1 / Math.max(1, this.runningByCustomer.size);
    const isHeavy = count >= Math.max(heavyShare * weight, equalShare) * this.window;
    return !isHeavy || this.running < heavyMaxUtilization * this.window;
  }

  private countRunning({ customer, weight }: AdmissionRequest, change: number): void {
    const count = (this.runningByCustomer.get(customer)?.count ?? 0) + change;
    if (count > 0) this.runningByCustomer.set(customer, { count, weight });
    else this.runningByCustomer.delete(customer);
  }

  private recordSlotTime(slotMs: number): void {
    this.meanSlotMs =
      this.meanSlotMs === 0
        ? slotMs
        : this.meanSlotMs + SLOT_TIME_SMOOTHING * (slotMs - this.meanSlotMs);
    this.shortestSlotMs =
      this.shortestSlotMs === 0 || slotMs < this.shortestSlotMs
        ? slotMs
        : this.shortestSlotMs + SHORTEST_SLOT_TIME_RISE * (this.meanSlotMs - this.shortestSlotMs);
  }
}
