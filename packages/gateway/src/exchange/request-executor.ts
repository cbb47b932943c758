/** Executor of request steps: asks for the next step of a call, carries it out, reports its outcome. */
import {
  RefusalReason,
  ResultCodes,
  SharedRetryBudget,
  nextRequestStep,
  runsOf,
  type AttemptOutcome,
  type AttemptRecord,
  type Candidate,
  type RequestStep,
  type ResultCode,
} from '@marjoramcart/core';
import type { Logger, TimerService } from '@marjoramcart/runtime';
import { match } from 'ts-pattern';
import type { GatewayMetrics } from '../metrics/gateway-metrics.js';
import type { RequestProtocol } from '../ports/request-protocol.js';
import type { GossipTask } from '../peers/gossip-task.js';
import type { Router } from '../routing/router.js';
import type { GatewaySettings } from '../settings.js';
import type { GatewayState } from '../state/gateway-state.js';
import type { TargetEntry } from '../state/target-entry.js';
import {
  isSuccess,
  type AttemptEnd,
  type AttemptRunner,
  type StreamProgress,
} from './attempt-runner.js';
import type { Call } from './call.js';
import { ATTEMPTS_HEADER, type CallerAnswer } from './caller-answer.js';
import { sendResult } from './send-result.js';
import { StallWatch } from './stall-watch.js';

/** Callers that are told to return are spread over this multiple of the time. */
const COME_BACK_SPREAD = 0.6;
/** A retry is admitted before requests that have not been served at all. */
const RETRY_PRIORITY = 0;

export interface ExecutorParts {
  readonly settings: GatewaySettings;
  readonly state: GatewayState;
  readonly router: Router;
  readonly runner: AttemptRunner;
  readonly protocol: RequestProtocol;
  readonly gossip: Pick<GossipTask, 'table'>;
  readonly timers: TimerService;
  readonly random: { next(): number };
  readonly metrics: GatewayMetrics;
  readonly log: Logger;
}

/** What is known of a call while it is handled. */
interface Progress extends StreamProgress {
  readonly attempts: AttemptRecord[];
  /** Failure answer of a target that can be passed on. */
  failure: Extract<AttemptEnd, { kind: 'answered' }> | undefined;
}

export class RequestExecutor {
  private readonly budgets = new Map<string, SharedRetryBudget>();

  constructor(private readonly parts: ExecutorParts) {}

  async run(call: Call, answer: CallerAnswer): Promise<void> {
    const { timers, metrics } = this.parts;
    if (call.forwardedBy === undefined) this.budget(call.service).onRequest(timers.now());
    const progress: Progress = {
      attempts: [],
      lastEvent: call.head.resumeAfter,
      failure: undefined,
    };
    const measure = metrics.start(call.route.name, call.facts.arrivedAt);
    const end = await this.steps(call, answer, progress);
    measure(end);
  }

  /** Takes steps until one ends the call; returns how it ended. */
  private async steps(call: Call, answer: CallerAnswer, progress: Progress): Promise<string> {
    const step = this.nextStep(call, answer, progress);
    const done = await this.carryOut(step, call, answer, progress);
    return done ?? this.steps(call, answer, progress);
  }

  private nextStep(call: Call, answer: CallerAnswer, progress: Progress): RequestStep {
    const { router, timers } = this.parts;
    const now = timers.now();
    const { candidates, closed } = router.places(call);
    const step = nextRequestStep(call.facts, {
      now,
      attempts: progress.attempts,
      headSent: answer.started,
      callerGone: answer.gone,
      candidates,
      closed,
      takeRetry: () => this.budget(call.service).tryTake(now),
    });
    this.logStep(step, call, candidates, progress);
    return step;
  }

  private async carryOut(
    step: RequestStep,
    call: Call,
    answer: CallerAnswer,
    progress: Progress,
  ): Promise<string | undefined> {
    switch (step.kind) {
      case 'attempt':
        return this.attempt(step.candidate, step.retry, call, answer, progress);
      case 'wait':
        await this.wait(step.delayMs, answer);
        return undefined;
      case 'refuse': {
        const { random } = this.parts;
        const spreadMs = step.comeBackMs * (1 + random.next() * COME_BACK_SPREAD);
        const code = refusalCode(step.reason);
        sendResult(answer, code, spreadMs);
        return code.name;
      }
      case 'pass-on':
        return this.passOn(answer, progress);
      case 'fail': {
        const code = step.timedOut ? ResultCodes.TargetTimeout : ResultCodes.TargetFailed;
        sendResult(answer, code);
        return code.name;
      }
      case 'cut':
        answer.cut();
        return ResultCodes.StreamInterrupted.name;
      default:
        return 'caller_gone';
    }
  }

  private async attempt(
    candidate: Candidate,
    retry: boolean,
    call: Call,
    answer: CallerAnswer,
    progress: Progress,
  ): Promise<string | undefined> {
    const { place } = candidate;
    // A gateway that does not answer may have used all the attempts that it was given.
    const lostRuns = place.kind === 'peer' ? attemptsLeft(call, progress) : 1;
    const ranSoFar = progress.attempts.reduce((sum, attempt) => sum + runsOf(attempt), 0);
    answer.setRuns(ranSoFar + 1);
    this.parts.metrics.onAttempt(place.kind, retry);
    const end =
      place.kind === 'target'
        ? await this.toTarget(place.id, candidate, retry, call, answer, progress)
        : await this.toPeer(place.node, place.region, retry, candidate, call, answer, progress);
    this.logEnd(end, candidate, call);
    if (end.kind === 'streamed') {
      answer.end();
      return 'ok';
    }
    if (end.kind === 'answered' && (isSuccess(end.status) || !worthRetry(end.status))) {
      answer.setRuns(ranSoFar + end.runs);
      answer.send(end.status, end.headers, end.body);
      return isSuccess(end.status) ? 'ok' : 'target_status';
    }
    if (end.kind === 'answered') Object.assign(progress, { failure: end });
    progress.attempts.push({ place, outcome: outcomeOf(end, lostRuns) });
    return undefined;
  }

  private async toTarget(
    id: string,
    candidate: Candidate,
    retry: boolean,
    call: Call,
    answer: CallerAnswer,
    progress: Progress,
  ): Promise<AttemptEnd> {
    const { state, timers, router, protocol } = this.parts;
    const entry = state.target(id);
    if (!entry) return { kind: 'not-sent', message: 'target no longer listed' };
    const { record, work } = entry;
    const { prompt } = call.head;
    const startedAt = timers.now();
    const expectedMs = candidate.expectedFirstByteMs;
    router.onSendToTarget(entry);
    const priority = retry ? RETRY_PRIORITY : call.route.priority;
    const tokens = candidate.tokensToRead;
    work.onSend(call.head.id, { tokens, priority, expectedMs }, prompt, startedAt);
    let first = true;
    const end = await this.exchange(call, answer, progress, candidate, {
      address: record.address,
      headers: protocol.targetHeaders(call.head, this.fields(call, priority, progress), record),
      toPeer: false,
      onBytes: () => {
        if (first) work.onFirstByte(call.head.id, timers.now());
        else work.onByte(timers.now());
        first = false;
      },
    });
    work.onEnd(call.head.id);
    this.learn(entry, end, call, startedAt);
    return end;
  }

  private async toPeer(
    node: string,
    region: string,
    retry: boolean,
    candidate: Candidate,
    call: Call,
    answer: CallerAnswer,
    progress: Progress,
  ): Promise<AttemptEnd> {
    const { gossip, settings, router, protocol } = this.parts;
    const peer = gossip.table.get(node);
    if (!peer) return { kind: 'not-sent', message: 'gateway no longer known' };
    router.onSendToPeer(call, region, candidate.tokensToRead);
    const priority = retry ? RETRY_PRIORITY : call.route.priority;
    return this.exchange(call, answer, progress, candidate, {
      address: `${peer.ip}:${settings.forwardPort}`,
      headers: [
        ...protocol.peerHeaders(call.head, this.fields(call, priority, progress)),
        ATTEMPTS_HEADER,
        String(attemptsLeft(call, progress)),
      ],
      toPeer: true,
      onBytes: () => undefined,
    });
  }

  private async exchange(
    call: Call,
    answer: CallerAnswer,
    progress: Progress,
    candidate: Candidate,
    to: { address: string; headers: string[]; toPeer: boolean; onBytes: () => void },
  ): Promise<AttemptEnd> {
    const { timers, runner } = this.parts;
    const abort = new AbortController();
    const stall = new StallWatch(call.facts, candidate, timers, progress.attempts.length);
    const stopDeadline = timers.after(call.facts.deadlineAt - timers.now(), () => abort.abort());
    stall.start(() => abort.abort());
    answer.onGone(() => abort.abort());
    try {
      return await runner.run({
        ...to,
        call,
        answer,
        progress,
        signal: abort.signal,
        onBytes: () => {
          stall.onBytes();
          to.onBytes();
        },
        onLoad: () => undefined,
      });
    } finally {
      stall.stop();
      stopDeadline();
      answer.onGone(undefined);
    }
  }

  private fields(
    call: Call,
    priority: number,
    progress: Progress,
  ): { remainingMs: number; priority: number; resumeAfter?: number } {
    const remainingMs = Math.max(1, Math.floor(call.facts.deadlineAt - this.parts.timers.now()));
    return {
      remainingMs,
      priority,
      ...(progress.lastEvent === undefined ? {} : { resumeAfter: progress.lastEvent }),
    };
  }

  /** Takes what an attempt says of the target and the service. */
  private learn(entry: TargetEntry, end: AttemptEnd, call: Call, startedAt: number): void {
    const { state, timers, router } = this.parts;
    const { work, record } = entry;
    const now = timers.now();
    const failed = end.kind === 'lost' || (end.kind === 'answered' && worthRetry(end.status));
    if (end.kind !== 'not-run') {
      work.onOutcome(failed, now);
      router.paces.onOutcome(call.service, failed);
    }
    if (end.kind === 'answered' && !call.head.prompt) {
      router.paces.onPlainTime(call.service, now - startedAt);
    }
    if (end.kind === 'not-run' && end.misdirected) state.onMisdirected(record.id);
    if (end.kind === 'not-sent') {
      work.onUnreachable(now);
      state.suspectRestart(record.id);
    }
  }

  private passOn(answer: CallerAnswer, progress: Progress): string {
    const { failure } = progress;
    if (!failure) {
      sendResult(answer, ResultCodes.TargetFailed);
      return ResultCodes.TargetFailed.name;
    }
    answer.setRuns(progress.attempts.reduce((sum, attempt) => sum + runsOf(attempt), 0));
    answer.send(failure.status, failure.headers, failure.body);
    return 'target_status';
  }

  private wait(delayMs: number, answer: CallerAnswer): Promise<void> {
    return new Promise((resolve) => {
      const stop = this.parts.timers.after(delayMs, resolve);
      answer.onGone(() => {
        stop();
        resolve();
      });
    });
  }

  private budget(service: string): SharedRetryBudget {
    const { settings, gossip, timers } = this.parts;
    const known = this.budgets.get(service) ?? new SharedRetryBudget(settings.retryBudget);
    this.budgets.set(service, known);
    known.setGateways(gossip.table.alive(timers.now()).length + 1);
    return known;
  }

  private logStep(
    step: RequestStep,
    call: Call,
    candidates: readonly Candidate[],
    progress: Progress,
  ): void {
    const { state, log, timers } = this.parts;
    const [best] = candidates;
    const detail = match(step)
      .with({ kind: 'attempt' }, ({ candidate: { place, ...expected }, retry }) => ({
        to: place.kind === 'target' ? place.id : place.node,
        region: place.kind === 'peer' ? place.region : undefined,
        expected_ms: Math.round(expected.expectedFirstByteMs),
        wait_ms: Math.round(expected.expectedWaitMs),
        retry: retry || undefined,
      }))
      .with({ kind: 'refuse' }, ({ reason, comeBackMs }) => ({
        reason,
        come_back_ms: Math.round(comeBackMs),
        expected_ms: best && Math.round(best.expectedFirstByteMs),
        wait_ms: best && Math.round(best.expectedWaitMs),
      }))
      .with({ kind: 'wait' }, ({ delayMs }) => ({ delay_ms: delayMs }))
      .otherwise(() => ({}));
    log.info(step.kind, {
      id: call.head.id,
      route: call.route.name,
      ...detail,
      attempts: progress.attempts.length || undefined,
      candidates: candidates.length,
      age_ms: Math.round(timers.now() - call.facts.arrivedAt),
      from: call.forwardedBy,
      config: call.configVersion,
      revision: state.revision,
      source_age_ms: Math.round(state.sourceAgeMs),
    });
  }

  private logEnd(end: AttemptEnd, { place }: Candidate, call: Call): void {
    const { log, timers } = this.parts;
    log.info('attempt ended', {
      id: call.head.id,
      to: place.kind === 'target' ? place.id : place.node,
      end: end.kind,
      status: end.kind === 'answered' ? end.status : undefined,
      message: undefined,
      cause: 'message' in end ? end.message : undefined,
      age_ms: Math.round(timers.now() - call.facts.arrivedAt),
    });
  }
}

const INTERNAL_ERROR = 500;

/** Targets that may still run the call. */
function attemptsLeft(call: Call, { attempts }: Progress): number {
  const runs = attempts.reduce((sum, attempt) => sum + runsOf(attempt), 0);
  return Math.max(1, call.facts.maxAttempts - runs);
}

/** Whether a target's failure may be gone at another target. */
function worthRetry(status: number): boolean {
  return status >= INTERNAL_ERROR;
}

function outcomeOf(end: AttemptEnd, lostRuns: number): AttemptOutcome {
  switch (end.kind) {
    case 'answered':
      return { kind: 'failed', status: end.status, runs: end.runs };
    case 'not-run':
      return {
        kind: 'not-run',
        ...(end.comeBackMs === undefined ? {} : { comeBackMs: end.comeBackMs }),
      };
    case 'not-sent':
      return { kind: 'not-sent' };
    default:
      return { kind: 'lost', runs: lostRuns };
  }
}

function refusalCode(reason: RefusalReason): ResultCode {
  return match(reason)
    .with(RefusalReason.NoTarget, () => ResultCodes.NoReadyTarget)
    .with(RefusalReason.Overload, RefusalReason.Deadline, () => ResultCodes.DeadlineUnreachable)
    .with(RefusalReason.RetryBudget, () => ResultCodes.RetriesSpent)
    .exhaustive();
}
