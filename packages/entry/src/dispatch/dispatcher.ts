/** Dispatches calls: chooses a target or an entry, sends the call and retries within a budget. */
import {
  ResultCodes,
  RunState,
  SuspicionLevel,
  type RandomSource,
  type ResultCode,
  type RetryBudget,
  type SuspectTable,
  type TargetPolicy,
  type TargetState,
} from '@marjoramcart/core';
import type { Logger, TimerService } from '@marjoramcart/runtime';
import type { AdmissionSlot } from '../admission/admission-slot.js';
import type { ForwardExchange } from '../forward/forward-exchange.js';
import type { EntryMetrics } from '../metrics/entry-metrics.js';
import type { CallerResponse } from '../relay/caller-response.js';
import type { Call } from '../request/call.js';
import type { DomainChooser } from '../routing/domain-chooser.js';
import type { TargetTable } from '../routing/target-table.js';
import type { AttemptResult, TargetExchange } from './target-exchange.js';
import type { DeathProbe } from './death-probe.js';
import { DispatchProgress, type KeySendTracker } from './dispatch-progress.js';
import type { SuspectQueue } from './suspect-queue.js';

const MAX_ATTEMPTS = 4;
const BUDGET_POLL_MS = 100;

export type DispatchResult =
  | { readonly kind: 'complete'; readonly status: number; readonly attempts: number }
  /** The response was ended with an error event that came from the target or from another entry. */
  | { readonly kind: 'error-relayed'; readonly run: RunState; readonly attempts: number }
  | { readonly kind: 'abandoned'; readonly run: RunState; readonly attempts: number }
  | {
      readonly kind: 'failed';
      readonly code: ResultCode;
      readonly run: RunState;
      readonly attempts: number;
      readonly target?: string;
      /** The target died while running the call. */
      readonly died?: boolean;
    };

export interface DispatcherOptions {
  readonly targets: TargetTable;
  readonly targetPolicy: TargetPolicy;
  readonly domains: DomainChooser;
  readonly exchange: TargetExchange;
  readonly forwards: ForwardExchange;
  readonly probe: DeathProbe;
  /** Why the configuration in force excludes a call from the local region; undefined if it doesn't. */
  readonly exclusionOf: (call: Call) => ResultCode | undefined;
  readonly suspects: SuspectTable;
  readonly suspectQueue: SuspectQueue;
  readonly budget: RetryBudget;
  readonly random: RandomSource;
  readonly timers: TimerService;
  readonly log: Logger;
  readonly metrics: EntryMetrics;
  /** Reports a request that crashed a target to other entries. */
  readonly announceSuspect: (call: Call) => Promise<void>;
  /** Resolves after the sync that follows a pause; undefined when the state is not stale. */
  readonly syncAfterPause: () => Promise<void> | undefined;
  /**
   * Checks for a pause without waiting for the next timer: after a pause, socket data may be
   * handled before the first timer.
   */
  readonly checkPause: () => void;
}

export class Dispatcher {
  constructor(private readonly options: DispatcherOptions) {}

  /** Acquires `admissionSlot` for a run in the local failure domain; the caller releases it. */
  async dispatch(
    call: Call,
    response: CallerResponse,
    key: KeySendTracker,
    admissionSlot: AdmissionSlot,
    onEvents: (events: number) => void,
  ): Promise<DispatchResult> {
    const { timers, budget, metrics } = this.options;
    const abort = new AbortController();
    const stopTimer = timers.after(Math.max(0, call.deadlineAt - timers.now()), () =>
      abort.abort(),
    );
    const stopListening = response.onAbandoned(() => abort.abort());
    budget.onRequest();
    metrics.onRequest();
    try {
      return await this.proceed(
        new DispatchProgress(call, response, key, admissionSlot, abort.signal, onEvents),
      );
    } finally {
      stopTimer();
      stopListening();
    }
  }

  /** Decides how the call continues; called again after each wait, vetoed write and retry. */
  private async proceed(progress: DispatchProgress): Promise<DispatchResult> {
    await this.waitForFreshState();
    const { call } = progress;
    const { suspects, timers } = this.options;
    const ended = this.endedEarly(progress);
    if (ended) return ended;
    const exclusion = this.options.exclusionOf(call);
    if (exclusion) return this.fail(progress, progress.sent ? ResultCodes.TargetFailed : exclusion);
    const level = suspects.level(call.digest, timers.now());
    if (level === SuspicionLevel.Refused) return this.refusedSuspect(progress);
    const isSuspect = level === SuspicionLevel.Suspect;
    const localReady = this.options.targets.hasCandidate(call.service, progress.excluded);
    const forwarded = isSuspect ? undefined : await this.tryForward(progress, localReady);
    if (forwarded) return forwarded;
    if (!localReady) return this.noTarget(progress);
    if (!progress.admissionSlot.held) return this.waitForAdmission(progress);
    if (isSuspect) return this.runSuspect(progress);
    const target = this.chooseTarget(progress);
    return target ? this.attempt(progress, target) : this.noTarget(progress);
  }

  /** Waits for admission to the local window. All decisions are made again after the wait. */
  private async waitForAdmission(progress: DispatchProgress): Promise<DispatchResult> {
    const refusal = await progress.admissionSlot.acquire();
    return refusal ? this.fail(progress, refusal) : this.proceed(progress);
  }

  /** After a pause the state is stale, so nothing is sent before the next sync. */
  async waitForFreshState(): Promise<void> {
    this.options.checkPause();
    const pending = this.options.syncAfterPause();
    if (!pending) return;
    await pending;
    await this.waitForFreshState();
  }

  /** Whether the state is from before a pause. */
  hasStaleState(): boolean {
    this.options.checkPause();
    return this.options.syncAfterPause() !== undefined;
  }

  private chooseTarget({ call, excluded }: DispatchProgress): TargetState | undefined {
    const { targets, targetPolicy, random } = this.options;
    const candidates = targets.candidates(call.service, excluded);
    return targetPolicy.choose(call.routed, candidates, random, call.config.weights)?.state;
  }

  private async tryForward(
    progress: DispatchProgress,
    localReady: boolean,
  ): Promise<DispatchResult | undefined> {
    const { domains, forwards, metrics, log } = this.options;
    const entry = domains.choose(
      progress.call,
      progress.excluded,
      localReady,
      progress.admissionSlot.waitMs,
    );
    if (!entry) return undefined;
    this.countAttempt(progress);
    metrics.onForward();
    const result = await forwards.run({
      call: progress.call,
      response: progress.response,
      entry,
      reason: 'load',
      signal: progress.signal,
      mayWrite: () => this.mayWrite(progress, () => true),
      onEvents: progress.onEvents,
    });
    progress.excluded.add(entry.failureDomain);
    if (result.kind === 'complete') return { ...result, attempts: progress.attempts };
    if (result.kind === 'error-relayed') return { ...result, attempts: progress.attempts };
    if (result.kind === 'vetoed') return this.onVetoedWrite(progress);
    if (result.kind === 'not-run') {
      progress.markUnsent();
      log.debug('forwarded request was not run', { entry: entry.bootId, reason: result.message });
      return this.retry(progress, ResultCodes.TargetUnreachable);
    }
    progress.onSent();
    if (result.died) await this.recordRemoteDeath(progress.call);
    return this.retry(progress, ResultCodes.TargetFailed, entry.bootId);
  }

  /** The entry that detected the death has reported it; one death must not count twice. */
  private async recordRemoteDeath(call: Call): Promise<void> {
    const { suspects, timers, announceSuspect } = this.options;
    if (suspects.level(call.digest, timers.now()) !== SuspicionLevel.None) return;
    suspects.onDeath(suspectIdentity(call), timers.now());
    await announceSuspect(call);
  }

  /** `release` is called when the target no longer runs the call and before the next attempt. */
  private async attempt(
    progress: DispatchProgress,
    target: TargetState,
    release?: () => void,
  ): Promise<DispatchResult> {
    const { targets, exchange, suspects, timers } = this.options;
    this.countAttempt(progress);
    targets.begin(target.vm);
    const result = await exchange.run({
      call: progress.call,
      target,
      response: progress.response,
      attempts: progress.attempts,
      signal: progress.signal,
      mayWrite: () =>
        this.mayWrite(progress, () => targets.isReady(target.vm, progress.call.service)),
      onEvents: progress.onEvents,
    });
    targets.end(target.vm, failedTarget(result, progress.signal.aborted));
    release?.();
    if (result.kind === 'complete') {
      suspects.onCompleted(progress.call.digest, timers.now());
      return { ...result, attempts: progress.attempts };
    }
    if (result.kind === 'error-relayed') {
      return { kind: 'error-relayed', run: RunState.Unknown, attempts: progress.attempts };
    }
    if (result.kind === 'vetoed') return this.onVetoedWrite(progress);
    if (result.kind === 'not-sent') {
      progress.excluded.add(target.vm);
      progress.markUnsent();
      return this.retry(progress, ResultCodes.TargetUnreachable, target.vm);
    }
    progress.onSent();
    if (result.kind === 'too-large')
      return this.fail(progress, ResultCodes.AnswerTooLarge, target.vm);
    if (result.kind === 'busy') {
      progress.excluded.add(target.vm);
      return this.retry(progress, ResultCodes.TargetFailed, target.vm);
    }
    return this.onBrokenAttempt(progress, target, result);
  }

  private async onBrokenAttempt(
    progress: DispatchProgress,
    target: TargetState,
    result: Extract<AttemptResult, { kind: 'broken' }>,
  ): Promise<DispatchResult> {
    const { probe, suspects, timers, log } = this.options;
    const ended = this.endedEarly(progress);
    if (ended) return ended;
    log.debug('response was interrupted', {
      target: target.vm,
      reason: result.message,
      reused: result.reused,
    });
    const liveness = await probe.check(target.address, target.sequence);
    // A live target may close idle connections, so a call that failed on a reused connection may be
    // sent to it again. A death counts on any connection, or crashing requests would go undetected.
    if (liveness !== 'alive' || !result.reused) progress.excluded.add(target.vm);
    if (liveness !== 'died') return this.retry(progress, ResultCodes.TargetFailed, target.vm);
    const level = suspects.onDeath(suspectIdentity(progress.call), timers.now());
    log.warn('target died while running a request', { target: target.vm, level });
    await this.options.announceSuspect(progress.call);
    if (level === SuspicionLevel.Refused) return this.refusedSuspect(progress, target.vm);
    return this.retry(progress, ResultCodes.TargetFailed, target.vm, true);
  }

  private async runSuspect(progress: DispatchProgress): Promise<DispatchResult> {
    const { suspectQueue, targets } = this.options;
    const { call, signal } = progress;
    const vm = await suspectQueue.acquire(call.service, progress.excluded, call.deadlineAt, signal);
    if (vm === undefined) return this.endedEarly(progress) ?? this.noTarget(progress);
    const release = (): void => suspectQueue.release(vm);
    await this.waitForFreshState();
    const target = targets.find(vm);
    const ended = this.endedEarly(progress);
    if (target && !ended) return this.attempt(progress, target, release);
    release();
    return ended ?? this.onVetoedWrite(progress);
  }

  /** Retries if that is safe, useful and within the retry budget; else ends the call. */
  private async retry(
    progress: DispatchProgress,
    code: ResultCode,
    target?: string,
    died = false,
  ): Promise<DispatchResult> {
    const { call, response } = progress;
    const safe = !progress.sent || call.repeatable;
    // Only the entry that accepted the call retries it.
    const acceptedHere = call.visited.length === 0;
    const allowed =
      safe && acceptedHere && !response.hasStarted && progress.attempts < MAX_ATTEMPTS;
    if (allowed && (await this.takeRetryBudget(progress, died))) return this.proceed(progress);
    return (
      this.endedEarly(progress) ??
      this.fail(progress, response.hasStarted ? ResultCodes.StreamInterrupted : code, target, died)
    );
  }

  /** Calls on a crashed target wait for the budget, since at most one of them caused the crash. */
  private async takeRetryBudget(progress: DispatchProgress, wait: boolean): Promise<boolean> {
    const { budget, timers } = this.options;
    if (budget.tryTake(timers.now())) return true;
    if (!wait || progress.signal.aborted) return false;
    await new Promise<void>((resolve) => {
      timers.after(BUDGET_POLL_MS, resolve);
    });
    return this.takeRetryBudget(progress, wait);
  }

  /** Repeats the checks whose results may have changed; called immediately before the write. */
  private mayWrite(progress: DispatchProgress, destinationReady: () => boolean): boolean {
    const { timers, suspects } = this.options;
    const isStale = this.hasStaleState();
    const now = timers.now();
    if (isStale || progress.signal.aborted || progress.call.deadlineAt <= now) return false;
    if (suspects.level(progress.call.digest, now) === SuspicionLevel.Refused) return false;
    if (this.options.exclusionOf(progress.call) || !destinationReady()) return false;
    return progress.markSent();
  }

  /** A vetoed write is no target failure: the call is dispatched again without using the budget. */
  private onVetoedWrite(progress: DispatchProgress): Promise<DispatchResult> {
    progress.markUnsent();
    const ended = this.endedEarly(progress);
    if (ended) return Promise.resolve(ended);
    if (progress.attempts >= MAX_ATTEMPTS) return Promise.resolve(this.noTarget(progress));
    return this.proceed(progress);
  }

  /** Result of a call that was abandoned or whose deadline has passed; undefined otherwise. */
  private endedEarly(progress: DispatchProgress): DispatchResult | undefined {
    const { response, call } = progress;
    const run = progress.sent ? RunState.Unknown : RunState.NotRun;
    if (response.abandoned) return { kind: 'abandoned', run, attempts: progress.attempts };
    if (call.deadlineAt > this.options.timers.now() && !progress.signal.aborted) return undefined;
    return this.fail(
      progress,
      progress.sent ? ResultCodes.TargetTimeout : ResultCodes.DeadlineExpired,
    );
  }

  private noTarget(progress: DispatchProgress): DispatchResult {
    if (progress.sent) return this.fail(progress, ResultCodes.TargetFailed);
    const tried = progress.attempts > 0;
    return this.fail(progress, tried ? ResultCodes.TargetUnreachable : ResultCodes.NoReadyTarget);
  }

  private refusedSuspect(progress: DispatchProgress, target?: string): DispatchResult {
    return this.fail(progress, ResultCodes.RequestCrashesTargets, target);
  }

  private fail(
    progress: DispatchProgress,
    code: ResultCode,
    target?: string,
    died = false,
  ): DispatchResult {
    const run = progress.sent && code.run === RunState.NotRun ? RunState.Unknown : code.run;
    return { kind: 'failed', code, run, attempts: progress.attempts, target, died };
  }

  private countAttempt(progress: DispatchProgress): void {
    progress.onAttempt();
    this.options.metrics.onAttempt();
  }
}

function suspectIdentity({ digest, customer, service }: Call): {
  digest: string;
  customer: string;
  service: string;
} {
  return { digest, customer: customer.id, service };
}

/** Whether the attempt is a target failure; undefined if it says nothing about the target. */
function failedTarget(result: AttemptResult, aborted: boolean): boolean | undefined {
  if (result.kind === 'complete' || result.kind === 'error-relayed') return false;
  if (result.kind === 'vetoed' || aborted) return undefined;
  if (result.kind === 'broken') return result.reused ? undefined : true;
  return result.kind === 'not-sent' ? true : undefined;
}
