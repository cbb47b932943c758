/** Drives the policies of one entry: admission, then a target, retries from the budget. */
import {
  RetryBudget,
  WindowAdmissionController,
  type AdmissionRequest,
  type RandomSource,
  type RoutedRequest,
  type ServiceWeights,
  type TargetCandidate,
  type TargetPolicy,
} from '@marjoramcart/core';
import type { FakeReports } from '../fakes/fake-reports.js';
import type { FakeTarget } from '../fakes/fake-target.js';
import type { VirtualClock } from '../fakes/virtual-clock.js';
import type { CallRecord } from './call-record.js';
import type { System } from './systems.js';
import { Workload } from './workloads.js';

const RETRY_BUDGET_RATIO = 0.1;
const QUEUE_PER_CUSTOMER = 64;
const MAX_QUEUED = 5000;
const EXPECTED_OUTPUT_TOKENS = Workload.MinOutputTokens + Workload.MeanExtraOutputTokens;
const OUTPUT_TOKEN_COST = 2;
const CONSECUTIVE_FAILURES_TO_EJECT = 3;
const EJECTION_MS = 5000;
const EXPIRY_INTERVAL_MS = 100;

/** How the answer goes back to where the call arrived. */
export interface ResponseListener {
  onFirstToken(): void;
  onTokens(count: number, stepMs: number): void;
  onEnd(end: 'answered' | 'failed'): void;
  /** Not run here. */
  onRefused(): void;
}

interface PendingCall {
  readonly record: CallRecord;
  readonly reply: ResponseListener;
  readonly offeredAt: number;
  firstTokenMs?: number;
}

interface LocalLoad {
  sent: number[];
  ended: number[];
  inFlight: number;
  failures: number;
  ejectedUntil: number;
}

export class SimulatedEntry {
  private readonly admissions: Readonly<Record<'model' | 'plain', WindowAdmissionController>>;

  private readonly pending = new Map<string, PendingCall>();

  private readonly localLoad = new Map<string, LocalLoad>();

  private readonly byVm: ReadonlyMap<string, FakeTarget>;

  private readonly vms: Readonly<Record<'model' | 'plain', readonly string[]>>;

  private readonly policy: TargetPolicy;

  private readonly budget = new RetryBudget(RETRY_BUDGET_RATIO, 0);

  constructor(
    private readonly clock: VirtualClock,
    targets: readonly FakeTarget[],
    private readonly reports: FakeReports,
    private readonly random: RandomSource,
    system: System,
    private readonly weights: ServiceWeights,
  ) {
    this.policy = system.target();
    const admission = (): WindowAdmissionController =>
      new WindowAdmissionController(system.fairness(), {
        window: 1,
        queuePerCustomer: QUEUE_PER_CUSTOMER,
        maxQueued: MAX_QUEUED,
        ...system.admission,
      });
    this.admissions = { model: admission(), plain: admission() };
    this.byVm = new Map(targets.map((target) => [target.vm, target]));
    const vmsOf = (isPlain: boolean): string[] =>
      targets.filter(({ plain }) => plain === isPlain).map(({ vm }) => vm);
    this.vms = { model: vmsOf(false), plain: vmsOf(true) };
    targets.forEach(({ vm }) =>
      this.localLoad.set(vm, { sent: [], ended: [], inFlight: 0, failures: 0, ejectedUntil: 0 }),
    );
    clock.every(EXPIRY_INTERVAL_MS, EXPIRY_INTERVAL_MS, () => this.expireAndResize());
    this.expireAndResize();
  }

  /** Wait before the window for model calls, in ms. */
  expectedWaitMs(customer: string): number {
    return this.admissions.model.expectedWaitMs(customer);
  }

  /** Forgets what was sent before the report of a target was taken. */
  onReport(vm: string): void {
    const own = this.localLoad.get(vm);
    const takenAt = this.reports.byVm.get(vm)?.takenAt ?? 0;
    if (!own) return;
    own.sent = own.sent.filter((at) => at > takenAt);
    own.ended = own.ended.filter((at) => at > takenAt);
  }

  offer(record: CallRecord, reply: ResponseListener): void {
    const { call } = record;
    const req: AdmissionRequest = {
      id: call.id,
      customer: call.customer,
      customerClass: 'standard',
      weight: 1,
      priority: 10,
      cost: call.plain ? 1 : call.promptTokens + OUTPUT_TOKEN_COST * EXPECTED_OUTPUT_TOKENS,
      arrivedAt: call.at,
      deadlineAt: call.at + Workload.DeadlineMs,
      latencyTargetMs: Workload.FirstTokenTargetMs,
    };
    this.budget.onRequest();
    this.pending.set(call.id, { record, reply, offeredAt: this.clock.now });
    const decision = this.admissionOf(record).offer(req, this.clock.now);
    if (decision.kind === 'admitted') this.dispatch(req.id);
    if (decision.kind === 'refused') this.refuse(req.id);
  }

  private admissionOf({ call }: CallRecord): WindowAdmissionController {
    return call.plain ? this.admissions.plain : this.admissions.model;
  }

  private dispatch(id: string): void {
    const work = this.pending.get(id);
    if (!work) return;
    const { call } = work.record;
    const req: RoutedRequest = {
      service: call.plain ? 'plain' : 'model',
      prefix: call.prefix,
      promptTokens: call.promptTokens,
      maxTokens: EXPECTED_OUTPUT_TOKENS,
      bodyBytes: call.bodyBytes,
    };
    const candidates = this.candidates(call.plain);
    const chosen = this.policy.choose(req, candidates, this.random, this.weights);
    const target = chosen && this.byVm.get(chosen.state.vm);
    const own = target && this.localLoad.get(target.vm);
    if (!target || !own) {
      this.finish(id, 'failed');
      return;
    }
    work.record.attempts += 1;
    own.sent.push(this.clock.now);
    own.inFlight += 1;
    let delivered = false;
    const over = (): void => {
      own.inFlight -= 1;
      own.ended.push(this.clock.now);
    };
    const failed = (mayRepeat: boolean): void => {
      over();
      own.failures += 1;
      if (own.failures >= CONSECUTIVE_FAILURES_TO_EJECT) own.ejectedUntil = this.clock.now + EJECTION_MS;
      const retry = mayRepeat && !delivered && this.budget.tryTake(this.clock.now);
      if (retry) this.dispatch(id);
      else this.finish(id, 'failed');
    };
    const started = target.enqueue({
      prefix: call.prefix,
      prefixTokens: Workload.PrefixTokens,
      promptTokens: call.promptTokens,
      outputTokens: call.outputTokens,
      plainMs: call.plain ? Workload.PlainMs : 0,
      priority: 10,
      onFirstToken: () => {
        delivered = true;
        own.failures = 0;
        work.firstTokenMs = this.clock.now - call.at;
        work.reply.onFirstToken();
      },
      onTokens: (count, stepMs) => work.reply.onTokens(count, stepMs),
      onEnd: () => {
        over();
        this.finish(id, 'answered');
      },
      onTargetFailure: () => failed(call.repeatable),
    });
    // A refused connection means that the call was not run, so any call may be tried elsewhere.
    if (!started) failed(true);
  }

  private finish(id: string, end: 'answered' | 'failed'): void {
    const work = this.pending.get(id);
    if (!work) return;
    this.pending.delete(id);
    work.reply.onEnd(end);
    const { call } = work.record;
    const outcome = {
      cost: call.plain ? 1 : call.promptTokens + OUTPUT_TOKEN_COST * call.outputTokens,
      firstTokenMs: work.firstTokenMs,
    };
    this.admissionOf(work.record)
      .release(id, outcome, this.clock.now)
      .forEach((next) => this.dispatch(next.id));
  }

  private refuse(id: string): void {
    const work = this.pending.get(id);
    this.pending.delete(id);
    work?.reply.onRefused();
  }

  private candidates(plain: boolean): TargetCandidate[] {
    const usable = this.vms[plain ? 'plain' : 'model'].flatMap((vm) => {
      const seen = this.reports.byVm.get(vm);
      const own = this.localLoad.get(vm);
      return seen && own && seen.state.healthy ? [{ seen, own }] : [];
    });
    const included = usable.filter(({ own }) => own.ejectedUntil <= this.clock.now);
    return (included.length > 0 ? included : usable).map(({ seen, own }) => ({
      state: { ...seen.state, reportAgeMs: this.clock.now - seen.takenAt },
      sentSinceReport: own.sent.length,
      endedSinceReport: own.ended.length,
      inFlight: own.inFlight,
    }));
  }

  private expireAndResize(): void {
    const { now } = this.clock;
    (['model', 'plain'] as const).forEach((service) => {
      const admission = this.admissions[service];
      admission.expire(now).forEach(({ id }) => this.refuse(id));
      const slots = this.candidates(service === 'plain').reduce(
        (sum, { state }) => sum + state.concurrency,
        0,
      );
      const window = Math.max(1, Math.floor(slots / Workload.EntriesPerRegion));
      admission.resize(window, now).forEach(({ id }) => this.dispatch(id));
    });
  }
}
