/** Runs a call: chooses a place, checks right before the write, retries within the budget. */
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
import type { AdmissionSlot } from '../admission/home-place.js';
import type { ForwardExchange } from '../forward/forward-exchange.js';
import type { EntryMetrics } from '../metrics/entry-metrics.js';
import type { CallerResponse } from '../relay/answer.js';
import type { Call } from '../request/call.js';
import type { DomainChooser } from '../routing/domain-chooser.js';
import type { TargetTable } from '../routing/target-table.js';
import type { AttemptResult, TargetExchange } from './attempt.js';
import type { DeathProbe } from './death-probe.js';
import { DispatchProgress, type KeySendTracker } from './dispatch-progress.js';
import type { SuspectQueue } from './suspect-lane.js';

const MAX_ATTEMPTS = 4;
const BUDGET_POLL_MS = 100;

export type DispatchResult =
  | { readonly kind: 'complete'; readonly status: number; readonly attempts: number }
  /** The answer was ended with an error that came from another entry. */
  | { readonly kind: 'passed-on'; readonly run: RunState; readonly attempts: number }
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
  readonly suspects: SuspectTable;
  readonly suspectQueue: SuspectQueue;
  readonly budget: RetryBudget;
  readonly random: RandomSource;
  readonly timers: TimerService;
  readonly log: Logger;
  readonly metrics: EntryMetrics;
  /** Tells other entries of a request that a target died of. */
  readonly announceSuspect: (call: Call) => Promise<void>;
  /** Waits for the sync after a pause; undefined when the state is fresh. */
  readonly syncAfterPause: () => Promise<void> | undefined;
  /**
   * Looks for a pause without waiting for the next tick: data of sockets may be handled before
   * the first timer after a pause.
   */
  readonly checkPause: () => void;
}

export class Dispatcher {
  constructor(private readonly options: DispatcherOptions) {}

  /** `place` is taken when the call is to run in the own failure domain; the caller releases it. */
  async dispatch(
    call: Call,
    answer: CallerResponse,
    key: KeySendTracker,
    place: AdmissionSlot,
    onEvents: (events: number) => void,
  ): Promise<DispatchResult> {
    const { timers, budget, metrics } = this.options;
    const abort = new AbortController();
    const stopTimer = timers.after(Math.max(0, call.deadlineAt - timers.now()), () =>
      abort.abort(),
    );
    const stopWatch = answer.onAbandoned(() => abort.abort());
    budget.onRequest();
    metrics.onRequest();
    try {
      return await this.next(
        new DispatchProgress(call, answer, key, place, abort.signal, onEvents),
      );
    } finally {
      stopTimer();
      stopWatch();
    }
  }

  private async next(p: DispatchProgress): Promise<DispatchResult> {
    await this.freshState();
    const { call } = p;
    const { suspects, timers } = this.options;
    const ended = this.endedEarly(p);
    if (ended) return ended;
    const level = suspects.level(call.digest, timers.now());
    if (level === SuspicionLevel.Refused) return this.refusedSuspect(p);
    const isSuspect = level === SuspicionLevel.Suspect;
    const localReady = this.options.targets.hasCandidate(call.service, p.excluded);
    const forwarded = isSuspect ? undefined : await this.tryForward(p, localReady);
    if (forwarded) return forwarded;
    if (!localReady) return this.noTarget(p);
    if (!p.admissionSlot.held) return this.enter(p);
    if (isSuspect) return this.runSuspect(p);
    const target = this.chooseTarget(p);
    return target ? this.attempt(p, target) : this.noTarget(p);
  }

  /** Waits for a place in the own window. Everything is decided anew after the wait. */
  private async enter(p: DispatchProgress): Promise<DispatchResult> {
    const refusal = await p.admissionSlot.acquire();
    return refusal ? this.fail(p, refusal) : this.next(p);
  }

  /** After a pause the held state is stale; nothing is sent before the sync that follows it. */
  private async freshState(): Promise<void> {
    this.options.checkPause();
    const pending = this.options.syncAfterPause();
    if (!pending) return;
    await pending;
    await this.freshState();
  }

  private chooseTarget({ call, excluded }: DispatchProgress): TargetState | undefined {
    const { targets, targetPolicy, random } = this.options;
    const candidates = targets.candidates(call.service, excluded);
    return targetPolicy.choose(call.routed, candidates, random, call.config.weights)?.state;
  }

  private async tryForward(
    p: DispatchProgress,
    localReady: boolean,
  ): Promise<DispatchResult | undefined> {
    const { domains, forwards, metrics, log } = this.options;
    const entry = domains.choose(p.call, p.excluded, localReady, p.admissionSlot.waitMs);
    if (!entry) return undefined;
    this.countAttempt(p);
    metrics.onForward();
    const end = await forwards.run({
      call: p.call,
      response: p.response,
      entry,
      reason: 'load',
      signal: p.signal,
      mayWrite: () => this.mayWrite(p, () => true),
      onEvents: p.onEvents,
    });
    p.excluded.add(entry.failureDomain);
    if (end.kind === 'complete') return { ...end, attempts: p.attempts };
    if (end.kind === 'passed-on') return { ...end, attempts: p.attempts };
    if (end.kind === 'vetoed') return this.vetoed(p);
    if (end.kind === 'not-run') {
      p.markUnsent();
      log.debug('forward was not run', { entry: entry.bootId, reason: end.message });
      return this.retry(p, ResultCodes.TargetUnreachable);
    }
    p.onSent();
    if (end.died) await this.noteDeathElsewhere(p.call);
    return this.retry(p, ResultCodes.TargetFailed, entry.bootId);
  }

  /** The entry that saw the death has reported it, and one death must not count as two. */
  private async noteDeathElsewhere(call: Call): Promise<void> {
    const { suspects, timers, announceSuspect } = this.options;
    if (suspects.level(call.digest, timers.now()) !== SuspicionLevel.None) return;
    suspects.onDeath(identity(call), timers.now());
    await announceSuspect(call);
  }

  /** `release` is called when the target no longer runs the call, before any further attempt. */
  private async attempt(
    p: DispatchProgress,
    target: TargetState,
    release?: () => void,
  ): Promise<DispatchResult> {
    const { targets, exchange, suspects, timers } = this.options;
    this.countAttempt(p);
    targets.begin(target.vm);
    const end = await exchange.run({
      call: p.call,
      target,
      response: p.response,
      attempts: p.attempts,
      signal: p.signal,
      mayWrite: () => this.mayWrite(p, () => targets.isReady(target.vm, p.call.service)),
      onEvents: p.onEvents,
    });
    targets.end(target.vm, failedTarget(end, p.signal.aborted));
    release?.();
    if (end.kind === 'complete') {
      suspects.onCompleted(p.call.digest, timers.now());
      return { ...end, attempts: p.attempts };
    }
    if (end.kind === 'error-passed-on') {
      return { kind: 'passed-on', run: RunState.Unknown, attempts: p.attempts };
    }
    if (end.kind === 'vetoed') return this.vetoed(p);
    if (end.kind === 'not-sent') {
      p.excluded.add(target.vm);
      p.markUnsent();
      return this.retry(p, ResultCodes.TargetUnreachable, target.vm);
    }
    p.onSent();
    if (end.kind === 'too-large') return this.fail(p, ResultCodes.AnswerTooLarge, target.vm);
    if (end.kind === 'busy') {
      p.excluded.add(target.vm);
      return this.retry(p, ResultCodes.TargetFailed, target.vm);
    }
    return this.broken(p, target, end);
  }

  private async broken(
    p: DispatchProgress,
    target: TargetState,
    end: Extract<AttemptResult, { kind: 'broken' }>,
  ): Promise<DispatchResult> {
    const { probe, suspects, timers, log } = this.options;
    const ended = this.endedEarly(p);
    if (ended) return ended;
    log.debug('answer broken', { target: target.vm, reason: end.message, reused: end.reused });
    const verdict = await probe.check(target.address, target.sequence);
    // A live target closes idle connections without a fault, so it may get the call again. A dead
    // one is judged whatever the connection, or a request that crashes targets would go unseen.
    if (verdict !== 'alive' || !end.reused) p.excluded.add(target.vm);
    if (verdict !== 'died') return this.retry(p, ResultCodes.TargetFailed, target.vm);
    const level = suspects.onDeath(identity(p.call), timers.now());
    log.warn('target died while running a request', { target: target.vm, level });
    await this.options.announceSuspect(p.call);
    if (level === SuspicionLevel.Refused) return this.refusedSuspect(p, target.vm);
    return this.retry(p, ResultCodes.TargetFailed, target.vm, true);
  }

  private async runSuspect(p: DispatchProgress): Promise<DispatchResult> {
    const { suspectQueue: lane, targets } = this.options;
    const { call, signal } = p;
    const vm = await lane.acquire(call.service, p.excluded, call.deadlineAt, signal);
    if (vm === undefined) return this.endedEarly(p) ?? this.noTarget(p);
    const release = (): void => lane.release(vm);
    await this.freshState();
    const target = targets.find(vm);
    const ended = this.endedEarly(p);
    if (target && !ended) return this.attempt(p, target, release);
    release();
    return ended ?? this.vetoed(p);
  }

  /** Tries again if that is safe, useful and within the budget; else ends the call. */
  private async retry(
    p: DispatchProgress,
    code: ResultCode,
    target?: string,
    died = false,
  ): Promise<DispatchResult> {
    const { call, response: answer } = p;
    const safe = !p.sent || call.repeatable;
    // Retries happen in the entry that accepted the call.
    const ownCall = call.visited.length === 0;
    const allowed = safe && ownCall && !answer.hasStarted && p.attempts < MAX_ATTEMPTS;
    if (allowed && (await this.takeBudget(p, died))) return this.next(p);
    return (
      this.endedEarly(p) ??
      this.fail(p, answer.hasStarted ? ResultCodes.StreamInterrupted : code, target, died)
    );
  }

  /** Suspects wait for the budget, since all but one of them are innocent. */
  private async takeBudget(p: DispatchProgress, wait: boolean): Promise<boolean> {
    const { budget, timers } = this.options;
    if (budget.tryTake(timers.now())) return true;
    if (!wait || p.signal.aborted) return false;
    await new Promise<void>((resolve) => {
      timers.after(BUDGET_POLL_MS, resolve);
    });
    return this.takeBudget(p, wait);
  }

  /** All checks that may have changed during a wait; called immediately before the write. */
  private mayWrite(p: DispatchProgress, placeReady: () => boolean): boolean {
    const { timers, suspects, syncAfterPause: afterPause, checkPause } = this.options;
    checkPause();
    const now = timers.now();
    if (p.signal.aborted || p.call.deadlineAt <= now || afterPause() !== undefined) return false;
    if (suspects.level(p.call.digest, now) === SuspicionLevel.Refused) return false;
    if (!placeReady()) return false;
    return p.markSent();
  }

  /** A refused write is no failure of a target: the call goes on elsewhere without a retry. */
  private vetoed(p: DispatchProgress): Promise<DispatchResult> {
    const ended = this.endedEarly(p);
    if (ended) return Promise.resolve(ended);
    if (p.attempts >= MAX_ATTEMPTS) return Promise.resolve(this.noTarget(p));
    return this.next(p);
  }

  private endedEarly(p: DispatchProgress): DispatchResult | undefined {
    const { response: answer, call } = p;
    const run = p.sent ? RunState.Unknown : RunState.NotRun;
    if (answer.abandoned) return { kind: 'abandoned', run, attempts: p.attempts };
    if (call.deadlineAt > this.options.timers.now() && !p.signal.aborted) return undefined;
    return this.fail(p, p.sent ? ResultCodes.TargetTimeout : ResultCodes.DeadlineExpired);
  }

  private noTarget(p: DispatchProgress): DispatchResult {
    if (p.sent) return this.fail(p, ResultCodes.TargetFailed);
    const tried = p.attempts > 0;
    return this.fail(p, tried ? ResultCodes.TargetUnreachable : ResultCodes.NoReadyTarget);
  }

  private refusedSuspect(p: DispatchProgress, target?: string): DispatchResult {
    return this.fail(p, ResultCodes.RequestRefusedSuspect, target);
  }

  private fail(p: DispatchProgress, code: ResultCode, target?: string, died = false): DispatchResult {
    const run = p.sent && code.run === RunState.NotRun ? RunState.Unknown : code.run;
    return { kind: 'failed', code, run, attempts: p.attempts, target, died };
  }

  private countAttempt(p: DispatchProgress): void {
    p.onAttempt();
    this.options.metrics.onAttempt();
  }
}

function identity({ digest, customer, service }: Call): {
  digest: string;
  customer: string;
  service: string;
} {
  return { digest, customer: customer.id, service };
}

/** What the end of an attempt tells about the target; undefined when it tells nothing. */
function failedTarget(end: AttemptResult, aborted: boolean): boolean | undefined {
  if (end.kind === 'complete' || end.kind === 'error-passed-on') return false;
  if (end.kind === 'vetoed' || aborted) return undefined;
  if (end.kind === 'broken') return end.reused ? undefined : true;
  return end.kind === 'not-sent' ? true : undefined;
}
