/** Executor of request steps: asks for the next step of a call, carries it out, reports its outcome. */
import {
  RefusalReason,
  ResultCodes,
  SharedRetryBudget,
  nextRequestStep,
  type RandomSource,
  type RequestStep,
  type ResultCode,
} from '@marjoramcart/core';
import type { Logger } from '@marjoramcart/runtime';
import { match } from 'ts-pattern';
import type { GatewayMetrics } from '../metrics/gateway-metrics.js';
import { isSuccess, isTargetFailure, outcomeOf } from './attempt-end.js';
import type { Call } from './call.js';
import { attemptsLeft, runsSoFar, type CallProgress } from './call-progress.js';
import type { CallerResponse } from './caller-answer.js';
import { DecisionLog } from './decision-log.js';
import { DestinationSender, type AttemptStep, type SenderDeps } from './place-sender.js';
import { sendResult } from './send-result.js';

/** Callers that are told to return are spread over this part of the time beyond it. */
const COME_BACK_SPREAD = 0.6;
/** Result of calls that a target ended with a failure of its own. */
const TARGET_STATUS = 'target_status';

export interface ExecutorDeps extends SenderDeps {
  readonly random: RandomSource;
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
}

export class RequestExecutor {
  private readonly budgets = new Map<string, SharedRetryBudget>();

  private readonly sender: DestinationSender;

  private readonly decisions: DecisionLog;

  constructor(private readonly parts: ExecutorDeps) {
    this.sender = new DestinationSender(parts, {
      allowsRetry: (service) => this.budget(service).allows(parts.timers.now()),
    });
    this.decisions = new DecisionLog(parts.log, parts.state, parts.timers);
  }

  /** Handles a call to the end of its answer. */
  async run(call: Call, answer: CallerResponse): Promise<void> {
    const { timers, metrics } = this.parts;
    if (call.forwardedBy === undefined) this.budget(call.service).onRequest(timers.now());
    const measure = metrics.start(call.route.name, call.facts.arrivedAt);
    const result = await this.takeSteps({
      call,
      response: answer,
      attempts: [],
      lastEvent: call.head.resumeAfter,
      failure: undefined,
    });
    measure(result);
  }

  /** Takes steps until one ends the call; returns its result. */
  private async takeSteps(progress: CallProgress): Promise<string> {
    const result = await this.carryOut(this.nextStep(progress), progress);
    return result ?? this.takeSteps(progress);
  }

  private nextStep(progress: CallProgress): RequestStep {
    const { router, timers } = this.parts;
    const { call, response: answer, attempts } = progress;
    const now = timers.now();
    const { candidates, closed } = router.destinations(call);
    const step = nextRequestStep(call.facts, {
      now,
      attempts,
      headSent: answer.started,
      callerGone: answer.disconnected,
      candidates,
      closed,
      takeRetry: () => this.budget(call.service).tryTake(now),
    });
    this.decisions.onStep(step, progress, candidates);
    return step;
  }

  /** Returns the result of the call if the step ends it. */
  private async carryOut(step: RequestStep, progress: CallProgress): Promise<string | undefined> {
    const { response: answer } = progress;
    switch (step.kind) {
      case 'attempt':
        return this.attempt(step, progress);
      case 'wait':
        await this.wait(step.delayMs, answer);
        return undefined;
      case 'refuse':
        return this.refuse(step.reason, step.retryAfterMs, answer);
      case 'pass-on':
        return passOn(progress);
      case 'fail': {
        const code = step.timedOut ? ResultCodes.TargetTimeout : ResultCodes.TargetFailed;
        sendResult(answer, code);
        return code.name;
      }
      case 'cut':
        answer.abort();
        return ResultCodes.StreamInterrupted.name;
      default:
        return 'caller_gone';
    }
  }

  private async attempt(step: AttemptStep, progress: CallProgress): Promise<string | undefined> {
    const { candidate, retry } = step;
    const { destination: place } = candidate;
    const { response: answer, attempts } = progress;
    const runsBefore = runsSoFar(progress);
    // A gateway that does not answer may have used all the attempts that it was given.
    const lostRuns = place.kind === 'peer' ? attemptsLeft(progress) : 1;
    this.parts.metrics.onAttempt(place.kind, retry);
    answer.setRuns(runsBefore + 1);
    const { end, firstByteMs } = await this.sender.send(step, progress);
    this.decisions.onAttemptEnd(end, progress, candidate, firstByteMs);
    if (end.kind === 'streamed') {
      answer.end();
      return ResultCodes.Ok.name;
    }
    if (end.kind === 'answered') {
      if (!isTargetFailure(end)) {
        answer.setRuns(runsBefore + end.runs);
        answer.send(end.status, end.headers, end.body);
        return isSuccess(end.status) ? ResultCodes.Ok.name : TARGET_STATUS;
      }
      Object.assign(progress, { failure: end });
    }
    attempts.push({ destination: place, outcome: outcomeOf(end, lostRuns) });
    return undefined;
  }

  private refuse(reason: RefusalReason, comeBackMs: number, answer: CallerResponse): string {
    const code = refusalCode(reason);
    sendResult(answer, code, comeBackMs * (1 + this.parts.random.next() * COME_BACK_SPREAD));
    return code.name;
  }

  private wait(delayMs: number, answer: CallerResponse): Promise<void> {
    return new Promise((resolve) => {
      const stop = this.parts.timers.after(delayMs, resolve);
      answer.onDisconnect(() => {
        stop();
        resolve();
      });
    });
  }

  private budget(service: string): SharedRetryBudget {
    const { settings, gossip, timers } = this.parts;
    const budget = this.budgets.get(service) ?? new SharedRetryBudget(settings.retryBudget);
    this.budgets.set(service, budget);
    budget.setGateways(gossip.table.alive(timers.now()).length + 1);
    return budget;
  }
}

/** Passes on the failure that a target answered with. */
function passOn(progress: CallProgress): string {
  const { response: answer, failure } = progress;
  if (!failure) {
    sendResult(answer, ResultCodes.TargetFailed);
    return ResultCodes.TargetFailed.name;
  }
  answer.setRuns(runsSoFar(progress));
  answer.send(failure.status, failure.headers, failure.body);
  return TARGET_STATUS;
}

function refusalCode(reason: RefusalReason): ResultCode {
  return match(reason)
    .with(RefusalReason.NoTarget, () => ResultCodes.NoReadyTarget)
    .with(RefusalReason.Overload, RefusalReason.Deadline, () => ResultCodes.DeadlineUnreachable)
    .with(RefusalReason.RetryBudget, () => ResultCodes.RetriesSpent)
    .exhaustive();
}
