/** Simulates one entry: admission, choice of a target, and retries within the retry budget. */
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
import type { PolicyCombination } from './policy-combinations.js';
import { Workload } from './workloads.js';

const RETRY_BUDGET_RATIO = 0.1;
const QUEUE_PER_CUSTOMER = 64;
const MAX_QUEUED = 5000;
const EXPECTED_OUTPUT_TOKENS = Workload.MinOutputTokens + Workload.MeanExtraOutputTokens;
const OUTPUT_TOKEN_COST = 2;
const CONSECUTIVE_FAILURES_TO_EJECT = 3;
const EJECTION_MS = 5000;
const EXPIRY_INTERVAL_MS = 100;

/** Receives the progress of a call at the region where it arrived. */
export interface ResponseListener {
  onFirstToken(): void;
  onTokens(count: number, stepMs: number): void;
  onEnd(end: 'answered' | 'failed'): void;
  /** The call was refused before it ran. */
  onRefused(): void;
}

interface PendingCall {
  readonly record: CallRecord;
  readonly listener: ResponseListener;
  readonly offeredAt: number;
  firstTokenMs?: number;
}

/** Requests that this entry sent to a target, and the failures that it saw. */
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
    system: PolicyCombination,
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

  /** Expected time in the admission queue for model calls, in ms. */
  expectedWaitMs(customer: string): number {
    return this.admissions.model.expectedWaitMs(customer);
  }

  /** Drops the sends and ends that the target's latest report already includes. */
  onReport(vm: string): void {
    const local = this.localLoad.get(vm);
    const takenAt = this.reports.byVm.get(vm)?.takenAt ?? 0;
    if (!local) return;
    local.sent = local.sent.filter((at) => at > takenAt);
    local.ended = local.ended.filter((at) => at > takenAt);
  }

  /** Submits a call to admission control. */
  offer(record: CallRecord, listener: ResponseListener): void {
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
    this.pending.set(call.id, { record, listener, offeredAt: this.clock.now });
    const decision = this.admissionOf(record).offer(req, this.clock.now);
    if (decision.kind === 'admitted') this.dispatch(req.id);
    if (decision.kind === 'refused') this.refuse(req.id);
  }

  private admissionOf({ call }: CallRecord): WindowAdmissionController {
    return call.plain ? this.admissions.plain : this.admissions.model;
  }

  private dispatch(id: string): void {
    const pendingCall = this.pending.get(id);
    if (!pendingCall) return;
    const { call } = pendingCall.record;
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
    const local = target && this.localLoad.get(target.vm);
    if (!target || !local) {
      this.finish(id, 'failed');
      return;
    }
    pendingCall.record.attempts += 1;
    local.sent.push(this.clock.now);
    local.inFlight += 1;
    let delivered = false;
    const onAttemptEnd = (): void => {
      local.inFlight -= 1;
      local.ended.push(this.clock.now);
    };
    const onFailure = (mayRetry: boolean): void => {
      onAttemptEnd();
      local.failures += 1;
      if (local.failures >= CONSECUTIVE_FAILURES_TO_EJECT)
        local.ejectedUntil = this.clock.now + EJECTION_MS;
      const retry = mayRetry && !delivered && this.budget.tryTake(this.clock.now);
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
        local.failures = 0;
        pendingCall.firstTokenMs = this.clock.now - call.at;
        pendingCall.listener.onFirstToken();
      },
      onTokens: (count, stepMs) => pendingCall.listener.onTokens(count, stepMs),
      onEnd: () => {
        onAttemptEnd();
        this.finish(id, 'answered');
      },
      onTargetFailure: () => onFailure(call.repeatable),
    });
    // A refused connection means that the call did not run, so any call may be retried.
    if (!started) onFailure(true);
  }

  private finish(id: string, end: 'answered' | 'failed'): void {
    const pendingCall = this.pending.get(id);
    if (!pendingCall) return;
    this.pending.delete(id);
    pendingCall.listener.onEnd(end);
    const { call } = pendingCall.record;
    const outcome = {
      cost: call.plain ? 1 : call.promptTokens + OUTPUT_TOKEN_COST * call.outputTokens,
      firstTokenMs: pendingCall.firstTokenMs,
    };
    this.admissionOf(pendingCall.record)
      .release(id, outcome, this.clock.now)
      .forEach((next) => this.dispatch(next.id));
  }

  private refuse(id: string): void {
    const pendingCall = this.pending.get(id);
    this.pending.delete(id);
    pendingCall?.listener.onRefused();
  }

  private candidates(plain: boolean): TargetCandidate[] {
    const usable = this.vms[plain ? 'plain' : 'model'].flatMap((vm) => {
      const report = this.reports.byVm.get(vm);
      const local = this.localLoad.get(vm);
      return report && local && report.state.healthy ? [{ report, local }] : [];
    });
    const included = usable.filter(({ local }) => local.ejectedUntil <= this.clock.now);
    return (included.length > 0 ? included : usable).map(({ report, local }) => ({
      state: { ...report.state, reportAgeMs: this.clock.now - report.takenAt },
      sentSinceReport: local.sent.length,
      endedSinceReport: local.ended.length,
      inFlight: local.inFlight,
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
