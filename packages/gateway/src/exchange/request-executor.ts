/** Asks for the next step of a call, carries it out and records the outcome, until the call ends. */
import {
  GatewayPhase,
  RefusalReason,
  ResultCodes,
  SharedRetryBudget,
  mayHaveArrived,
  nextRequestStep,
  scopeOfVersion,
  type Destination,
  type RandomSource,
  type RequestStep,
  type ResultCode,
} from '@marjoramcart/core';
import {
  SMALL_RESPONSE_BYTES,
  type BodyAllocation,
  type BodyMemory,
  type ConnectionShare,
  type Logger,
} from '@marjoramcart/runtime';
import { match } from 'ts-pattern';
import type { GatewayMetrics } from '../metrics/gateway-metrics.js';
import type { CapacitySharing } from '../sharing/capacity-sharing.js';
import { isSuccess, isTargetFailure, outcomeOf, type AttemptEnd } from './attempt-end.js';
import type { Call } from './call.js';
import { attemptsLeft, runsSoFar, type CallProgress } from './call-progress.js';
import type { CallerResponse } from './caller-response.js';
import { DecisionLog } from './decision-log.js';
import { DestinationSender, type AttemptStep, type SenderDeps } from './destination-sender.js';
import { sendResult } from './send-result.js';

/** Upper bound of the random share that is added to Retry-After, so that retries are spread. */
const RETRY_AFTER_SPREAD = 0.6;
const UNKNOWN_VERSION_RETRY_MS = 500;
const NO_CONNECTION_RETRY_MS = 500;
/** A stream that broke off waits this long to learn which version wrote it. */
const PROVE_WAIT_MS = 500;
/** The same where no other version is known. */
const ONE_VERSION_WAIT_MS = 150;
/** Result in the metrics when a target responded with an unsuccessful status. */
const TARGET_STATUS = 'target_status';

export interface ExecutorDeps extends SenderDeps {
  readonly random: RandomSource;
  readonly sharing: Pick<CapacitySharing, 'start'>;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
  /** Limits the responses of targets that are held at the same time. */
  readonly responseMemory: BodyMemory;
  /** Connections to targets and gateways. */
  readonly outgoing: Pick<ConnectionShare, 'startCall' | 'endCall'>;
}

export class RequestExecutor {
  private readonly budgets = new Map<string, SharedRetryBudget>();

  private readonly sender: DestinationSender;

  private readonly decisions: DecisionLog;

  private readonly startedAt: number;

  constructor(private readonly deps: ExecutorDeps) {
    this.startedAt = deps.timers.now();
    this.sender = new DestinationSender(deps, {
      allowsRetry: (service) => this.budget(service).allows(deps.timers.now()),
    });
    this.decisions = new DecisionLog(deps.log, deps.state, deps.timers, deps.router);
  }

  /** Handles a call until its response is complete. */
  async run(call: Call, response: CallerResponse): Promise<void> {
    const { timers, metrics, responseMemory } = this.deps;
    const memory = responseMemory.allocate();
    void response.closed.then(() => memory.release());
    // What waits for an earlier response is held however small it is, and one read may have hundreds of requests.
    if (response.isQueued && !memory.grow(SMALL_RESPONSE_BYTES)) await response.turn();
    if (call.forwardedBy === undefined) this.budget(call.service).onRequest(timers.now());
    this.deps.crashes.onRequest(call);
    const { prompt } = call.head;
    if (prompt) this.deps.router.lengths.onRequest(call.route.name, prompt.expectedOutputTokens);
    const recordResult = metrics.startRequest(call.route.name, call.facts.arrivedAt);
    if (!this.deps.outgoing.startCall()) {
      // A connection that fails for want of descriptors would be taken for the failure of a target.
      this.deps.log.info('refuse', { id: call.head.id, cause: 'too many connections' });
      recordResult(this.refuse(RefusalReason.Overload, NO_CONNECTION_RETRY_MS, response));
      return;
    }
    try {
      const result = await this.runStarted(call, response, memory);
      recordResult(result);
      this.decisions.onEnd(call, result);
    } finally {
      this.deps.outgoing.endCall();
    }
  }

  /** Looks for a destination and carries out steps; returns the result of the call. */
  private async runStarted(
    call: Call,
    response: CallerResponse,
    memory: BodyAllocation,
  ): Promise<string> {
    const scope = await this.deps.streams.scopeOf(call);
    if (scope.kind === 'none') return this.refuseUnknownVersion(response);
    const shared = this.deps.sharing.start(call);
    if (shared?.refusal) {
      this.decisions.onSharingRefusal(call, shared.refusal);
      response.setRuns(0);
      const { retryAfterMs } = shared.refusal;
      return this.refuse(RefusalReason.Overload, retryAfterMs, response);
    }
    return this.takeSteps({
      call,
      ...(shared ? { shared } : {}),
      scope,
      source: undefined,
      response,
      attempts: [],
      memory,
      lastEventId: call.head.resumeAfter,
      failure: undefined,
    });
  }

  /** Carries out steps until one ends the call; returns the result of the call. */
  private async takeSteps(progress: CallProgress): Promise<string> {
    await this.settleScope(progress);
    const result = await this.carryOut(this.nextStep(progress), progress);
    return result ?? this.takeSteps(progress);
  }

  /** Sets the scope of a stream whose version has become known, or uncertain, since its first event. */
  private async settleScope(progress: CallProgress): Promise<void> {
    const { call, scope, source } = progress;
    const { streams } = this.deps;
    if (streams.isUncertain(call) && scope.kind === 'only') {
      Object.assign(progress, { scope: scopeOfVersion(undefined), source: undefined });
      return;
    }
    if (!source?.check) return;
    const isMixed = (): boolean => streams.isMixedNow(call.service);
    const wait = isMixed() ? PROVE_WAIT_MS : ONE_VERSION_WAIT_MS;
    if (source.check().kind === 'pending') await source.prove?.(wait);
    const check = source.check();
    const version = check.kind === 'settled' ? check.version : undefined;
    // With one version, that is its version although its start is not known.
    if (version === undefined && !isMixed()) return;
    Object.assign(progress, {
      scope: scopeOfVersion(version),
      ...(check.kind === 'settled' ? { source: undefined } : {}),
    });
  }

  private nextStep(progress: CallProgress): RequestStep {
    const { router, timers, crashes } = this.deps;
    const { call, response, attempts } = progress;
    const verdict = crashes.verdict(call);
    const now = timers.now();
    const destinations = router.destinations(call, progress.scope);
    const step = nextRequestStep(call.facts, {
      now,
      attempts,
      headSent: response.started,
      callerDisconnected: response.disconnected,
      ...destinations,
      ...(verdict ? { refusedForMs: verdict.retryAfterMs } : {}),
      takeRetry: () => this.budget(call.service).tryTake(now),
    });
    const isRetry = step.kind === 'attempt' && step.retry;
    const isOverBudget = step.kind === 'refuse' && step.reason === RefusalReason.RetryBudget;
    const budget = isRetry || isOverBudget ? this.budget(call.service).state(now) : undefined;
    this.decisions.onStep(step, progress, destinations, verdict, budget);
    return step;
  }

  /** Carries out a step; returns the result of the call if the step ends it. */
  private async carryOut(step: RequestStep, progress: CallProgress): Promise<string | undefined> {
    const { response } = progress;
    switch (step.kind) {
      case 'attempt':
        return this.attempt(step, progress);
      case 'wait':
        await this.wait(step.delayMs, response);
        return undefined;
      case 'refuse':
        // A gateway that forwarded the call may try another one without a retry if none got it.
        if (!progress.attempts.some(mayHaveArrived)) response.setRuns(0);
        if (refusalCode(step.reason) === ResultCodes.DeadlineUnreachable) {
          progress.shared?.onOverload();
        }
        return this.refuse(step.reason, step.retryAfterMs, response);
      case 'pass-on':
        return passOn(progress);
      case 'fail': {
        const code = step.timedOut ? ResultCodes.TargetTimeout : ResultCodes.TargetFailed;
        sendResult(response, code);
        return code.name;
      }
      case 'cut':
        response.abort();
        return ResultCodes.StreamInterrupted.name;
      default:
        return 'caller_gone';
    }
  }

  private async attempt(step: AttemptStep, progress: CallProgress): Promise<string | undefined> {
    const { candidate, retry } = step;
    const { destination } = candidate;
    const { response, attempts } = progress;
    const runsBefore = runsSoFar(progress);
    progress.shared?.onAttempt();
    this.deps.metrics.onAttempt(destination.kind, retry, this.isCold(destination));
    response.setRuns(runsBefore + 1);
    const sent = await this.sender.send(step, progress);
    const { end } = sent;
    this.decisions.onAttemptEnd(sent, progress, candidate);
    if (end.kind === 'streamed') {
      response.end();
      return ResultCodes.Ok.name;
    }
    if (end.kind === 'relayed') {
      if (!end.complete) {
        response.abort();
        return ResultCodes.StreamInterrupted.name;
      }
      response.end();
      return isSuccess(end.status) ? ResultCodes.Ok.name : TARGET_STATUS;
    }
    if (end.kind === 'answered') {
      if (!isTargetFailure(end)) {
        response.setRuns(runsBefore + end.runs);
        response.send(end.status, end.headers, end.body);
        return isSuccess(end.status) ? ResultCodes.Ok.name : TARGET_STATUS;
      }
      Object.assign(progress, { failure: end });
    }
    attempts.push({ destination, outcome: outcomeOf(end, this.lostRuns(step, end, progress)) });
    return undefined;
  }

  /** Number of targets that may have run a request whose response was lost. */
  private lostRuns(
    { candidate: { destination } }: AttemptStep,
    end: AttemptEnd,
    progress: CallProgress,
  ): number {
    if (destination.kind === 'target') return 1;
    const phase = this.deps.gossip.table.get(destination.node)?.phase;
    const isLeaving = phase !== GatewayPhase.Ready && phase !== GatewayPhase.Starting;
    // A gateway that leaves breaks off the streams that it still forwards.
    if (end.kind === 'lost' && end.runs !== undefined && isLeaving) return end.runs;
    // Another one may have used all remaining attempts.
    return attemptsLeft(progress);
  }

  private isCold(destination: Destination): boolean {
    return (
      destination.kind === 'target' &&
      (this.deps.router.coldAssumption(destination.id)?.coldForMs ?? 0) > 0
    );
  }

  private refuse(reason: RefusalReason, retryAfterMs: number, response: CallerResponse): string {
    const code = refusalCode(reason);
    sendResult(response, code, retryAfterMs * (1 + this.deps.random.next() * RETRY_AFTER_SPREAD));
    return code.name;
  }

  /** Nothing more can be learned about a stream later on, so callers are asked to return only at first. */
  private refuseUnknownVersion(response: CallerResponse): string {
    if (this.deps.streams.isLearning) {
      return this.refuse(RefusalReason.UnknownVersion, UNKNOWN_VERSION_RETRY_MS, response);
    }
    sendResult(response, ResultCodes.StreamVersionUnknown);
    return ResultCodes.StreamVersionUnknown.name;
  }

  private wait(delayMs: number, response: CallerResponse): Promise<void> {
    return new Promise((resolve) => {
      const stop = this.deps.timers.after(delayMs, resolve);
      response.onDisconnect(() => {
        stop();
        resolve();
      });
    });
  }

  private budget(service: string): SharedRetryBudget {
    const { settings, gossip, timers } = this.deps;
    const budget =
      this.budgets.get(service) ?? new SharedRetryBudget(settings.retryBudget, this.startedAt);
    this.budgets.set(service, budget);
    const now = timers.now();
    if (gossip.roster.isComplete(now)) {
      // Gateways of other regions may not be known yet; regions are assumed to be of similar size.
      const estimated = gossip.roster.size * new Set(settings.regionOfDomain.values()).size;
      budget.setGateways(Math.max(gossip.table.alive(now).length + 1, estimated));
    }
    return budget;
  }
}

/** Sends the error response of the target to the caller. */
function passOn(progress: CallProgress): string {
  const { response, failure } = progress;
  if (!failure) {
    sendResult(response, ResultCodes.TargetFailed);
    return ResultCodes.TargetFailed.name;
  }
  response.setRuns(runsSoFar(progress));
  response.send(failure.status, failure.headers, failure.body);
  return TARGET_STATUS;
}

function refusalCode(reason: RefusalReason): ResultCode {
  return match(reason)
    .with(RefusalReason.NoTarget, () => ResultCodes.NoReadyTarget)
    .with(RefusalReason.Overload, RefusalReason.Deadline, () => ResultCodes.DeadlineUnreachable)
    .with(RefusalReason.RetryBudget, () => ResultCodes.RetriesSpent)
    .with(RefusalReason.UnknownVersion, () => ResultCodes.StreamVersionUnknown)
    .with(RefusalReason.CrashesTargets, () => ResultCodes.PromptCrashesTargets)
    .exhaustive();
}
