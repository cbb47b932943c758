/** Logs each step of a call with the inputs of the decision, and each attempt with its result. */
import type { Candidate, CrashVerdict, RequestStep, RetryBudgetState } from '@marjoramcart/core';
import type { Logger, TimerService } from '@marjoramcart/runtime';
import { match } from 'ts-pattern';
import type { AvailableDestinations, Router } from '../routing/router.js';
import type { GatewayState } from '../state/gateway-state.js';
import type { SharingRefusal } from '../sharing/capacity-sharing.js';
import type { Call } from './call.js';
import type { CallProgress } from './call-progress.js';
import type { SentAttempt } from './destination-sender.js';

/** A response that ends so long after its deadline is logged, ms. */
const LATE_END_MS = 250;

export class DecisionLog {
  /** Polls of the sockets after which something was logged. */
  private polls = 0;

  private awaitsPoll = false;

  constructor(
    private readonly log: Logger,
    private readonly state: GatewayState,
    private readonly timers: TimerService,
    private readonly router: Pick<Router, 'coldAssumption' | 'limitAssumption' | 'rejections'>,
  ) {}

  /** Logs a step; the message is the kind of the step. */
  onStep(
    step: RequestStep,
    progress: CallProgress,
    { candidates, opensInMs }: AvailableDestinations,
    verdict: CrashVerdict | undefined,
    budget: RetryBudgetState | undefined,
  ): void {
    const { call, attempts } = progress;
    this.log.info(step.kind, {
      id: call.head.id,
      route: call.route.name,
      customer: call.customer?.name,
      version: progress.scope.kind === 'only' ? progress.scope.version : undefined,
      ...inputsOf(step, candidates[0]),
      ...this.coldFields(step),
      ...this.limitFields(step),
      ...this.rejectionFields(step),
      opens_in_ms: opensInMs === undefined ? undefined : Math.round(opensInMs),
      ...verdictFields(verdict),
      ...budgetFields(budget),
      attempts: attempts.length || undefined,
      candidates: candidates.length,
      age_ms: this.ageMs(progress),
      conn_age_ms: Math.round(call.connectionAgeMs),
      accept_wait_ms: Math.round(call.acceptWaitMs) || undefined,
      poll: this.pollNumber(),
      from: call.forwardedBy,
      config: call.configVersion,
      revision: this.state.revision,
      source_age_ms: Math.round(this.state.sourceAgeMs),
    });
  }

  /** Logs the refusal of a request whose customer is above its share of a service that is short. */
  onSharingRefusal(call: Call, refusal: SharingRefusal): void {
    this.log.info('refuse', {
      id: call.head.id,
      route: call.route.name,
      reason: 'sharing',
      customer: call.customer?.name,
      come_back_ms: Math.round(refusal.retryAfterMs),
      passed_share: Number(refusal.passedShare.toFixed(3)),
      asked_per_s: Math.round(refusal.asked),
      given_per_s: Math.round(refusal.given),
      poll: this.pollNumber(),
      config: call.configVersion,
    });
  }

  onAttemptEnd(
    { end, firstByteMs, longestGapMs, bornAt }: SentAttempt,
    progress: CallProgress,
    { destination }: Candidate,
  ): void {
    this.log.info('attempt ended', {
      id: progress.call.head.id,
      to: destination.kind === 'target' ? destination.id : destination.node,
      end: end.kind,
      status: 'status' in end ? end.status : undefined,
      complete: 'complete' in end ? end.complete : undefined,
      first_byte_ms: firstByteMs === undefined ? undefined : Math.round(firstByteMs),
      longest_gap_ms: longestGapMs > 0 ? Math.round(longestGapMs) : undefined,
      last_event: progress.lastEventId,
      born: bornAt || undefined,
      version: progress.scope.kind === 'only' ? progress.scope.version : undefined,
      cause: 'message' in end ? end.message : undefined,
      caller_gone: progress.response.disconnected || undefined,
      poll: this.pollNumber(),
      age_ms: this.ageMs(progress),
    });
  }

  /** Logs a call whose response ended well past the time-out of its route, as far as the gateway knows. */
  onEnd({ facts, head, route, connectionAgeMs, acceptWaitMs }: Call, result: string): void {
    const lateMs = this.timers.now() - facts.deadlineAt;
    if (lateMs < LATE_END_MS) return;
    this.log.warn('ended past its time-out', {
      id: head.id,
      route: route.name,
      result,
      late_ms: Math.round(lateMs),
      conn_age_ms: Math.round(connectionAgeMs),
      accept_wait_ms: Math.round(acceptWaitMs) || undefined,
      poll: this.pollNumber(),
    });
  }

  private coldFields(step: RequestStep): Record<string, unknown> {
    if (step.kind !== 'attempt' || step.candidate.destination.kind !== 'target') return {};
    const assumed = this.router.coldAssumption(step.candidate.destination.id);
    if (!assumed) return {};
    return {
      cold_ms: Math.round(assumed.coldForMs),
      cold_reason: assumed.reason,
      born: assumed.bornAt || undefined,
      record_age_ms: Math.round(assumed.recordAgeMs),
      cold_allowance: assumed.allowance,
      cold_gateways: assumed.allowance === undefined ? undefined : assumed.gateways,
    };
  }

  private limitFields(step: RequestStep): Record<string, unknown> {
    if (step.kind !== 'attempt' || step.candidate.destination.kind !== 'target') return {};
    const assumed = this.router.limitAssumption(step.candidate.destination.id);
    if (!assumed) return {};
    return {
      limit_per_s: assumed.requestsPerS,
      limit_age_ms: Math.round(assumed.ageMs),
      limit_share: assumed.share,
      limit_gateways: assumed.gateways,
    };
  }

  private rejectionFields(step: RequestStep): Record<string, unknown> {
    if (step.kind !== 'attempt' || step.candidate.destination.kind !== 'target') return {};
    const entry = this.state.target(step.candidate.destination.id);
    const assumed = entry && this.router.rejections.assumption(entry);
    if (!assumed) return {};
    return {
      rejections_per_s: assumed.rejectionsPerS,
      rejections: assumed.rejections,
      slot_share: assumed.slotShare,
      own_requests: assumed.ownRequests,
    };
  }

  /** Number of the latest poll of the sockets; entries with one number follow the same poll. */
  private pollNumber(): number {
    if (!this.awaitsPoll) {
      this.awaitsPoll = true;
      this.polls += 1;
      // Immediates run after the events of a poll, before the next one.
      setImmediate(() => {
        this.awaitsPoll = false;
      });
    }
    return this.polls;
  }

  private ageMs({ call }: CallProgress): number {
    return Math.round(this.timers.now() - call.facts.arrivedAt);
  }
}

/** Inputs on which the decision for a step was based. */
function inputsOf(step: RequestStep, best: Candidate | undefined): Record<string, unknown> {
  return match(step)
    .with({ kind: 'attempt' }, ({ candidate, retry, deferred }) => ({
      to:
        candidate.destination.kind === 'target'
          ? candidate.destination.id
          : candidate.destination.node,
      region: candidate.destination.kind === 'peer' ? candidate.destination.region : undefined,
      ...expectedTimes(candidate),
      fetch_from: candidate.fetchFrom,
      deferred: deferred || undefined,
      retry: retry || undefined,
    }))
    .with({ kind: 'refuse' }, ({ reason, retryAfterMs }) => ({
      reason,
      come_back_ms: Math.round(retryAfterMs),
      ...(best ? expectedTimes(best) : {}),
    }))
    .with({ kind: 'wait' }, ({ delayMs }) => ({ delay_ms: delayMs }))
    .with({ kind: 'fail' }, ({ timedOut }) => ({ timed_out: timedOut }))
    .otherwise(() => ({}));
}

function verdictFields(verdict: CrashVerdict | undefined): Record<string, unknown> {
  return verdict
    ? {
        suspect: verdict.key,
        deaths: verdict.deaths,
        last_death_ms: Math.round(verdict.lastDeathAgeMs),
      }
    : {};
}

function budgetFields(budget: RetryBudgetState | undefined): Record<string, unknown> {
  if (!budget) return {};
  const { retries, requests, allowed, slackShare, gateways } = budget;
  return {
    budget_retries: retries,
    budget_requests: requests,
    budget_allowed: Number(allowed.toFixed(1)),
    budget_slack: Number(slackShare.toFixed(1)),
    budget_gateways: gateways,
  };
}

function expectedTimes(candidate: Candidate): Record<string, number | undefined> {
  const { expectedFirstByteMs, expectedWaitMs, uncachedTokens, loadAgeMs, paceMs } = candidate;
  return {
    expected_ms: Math.round(expectedFirstByteMs),
    wait_ms: Math.round(expectedWaitMs),
    tokens: uncachedTokens,
    pace_ms: paceMs === undefined ? undefined : Math.round(paceMs),
    load_age_ms: loadAgeMs === undefined ? undefined : Math.round(loadAgeMs),
  };
}
