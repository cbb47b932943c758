/** Runs calls: idempotency key, limits, admission, dispatch, answer. */
import { createHash } from 'node:crypto';
import {
  ResultCodes,
  RunState,
  allowedRegions,
  type CustomerLimits,
  type IdempotencyKey,
  type KeyOutcome,
  type KeyTable,
  type ResultCode,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/runtime';
import { callCost, type AdmissionGate } from '../admission/admission-gate.js';
import { AdmissionSlot } from '../admission/home-place.js';
import type { KeySendTracker } from '../dispatch/dispatch-progress.js';
import type { DispatchResult, Dispatcher } from '../dispatch/dispatcher.js';
import { TARGET_DIED_HEADER } from '../forward/forward-envelope.js';
import type { ForwardResult, ForwardExchange, ForwardTarget } from '../forward/forward-exchange.js';
import type { CallTimer, EntryMetrics } from '../metrics/entry-metrics.js';
import type { CallerResponse, RecordedResponse } from '../relay/answer.js';
import { linkOf } from '../routing/links.js';
import type { EntryState } from '../state/entry-state.js';
import type { Call } from './call.js';
import type { OpenCalls } from './open-calls.js';

export interface RunnerOptions {
  readonly state: EntryState;
  readonly timers: TimerService;
  readonly keys: KeyTable<RecordedResponse>;
  readonly limits: CustomerLimits;
  readonly gate: AdmissionGate;
  readonly dispatcher: Dispatcher;
  readonly forwards: ForwardExchange;
  readonly metrics: EntryMetrics;
  readonly openCalls: OpenCalls;
}

const NO_KEY: KeySendTracker = { markSent: () => true, markUnsent: () => undefined };

const CLAIM_CODES = {
  expired: ResultCodes.KeyExpired,
  'expiry-too-far': ResultCodes.KeyExpiryTooFar,
  reused: ResultCodes.KeyReused,
  full: ResultCodes.KeyTableFull,
} as const;

export class CallRunner {
  constructor(private readonly options: RunnerOptions) {}

  /** Requests that this entry works on. */
  get openCalls(): number {
    return this.options.openCalls.count;
  }

  /**
   * Runs a call and ends its answer. `handedOver` means that the owner of the key sent it here and
   * dispatches it nowhere else.
   */
  async run(call: Call, answer: CallerResponse, handedOver = false): Promise<void> {
    const { state, timers, metrics, openCalls: open } = this.options;
    if (!state.config) throw new Error('a call needs a configuration');
    const timer = metrics.timer(state.config, call.customer, call.arrivedAt, () => timers.now());
    open.begin();
    try {
      const { key } = call;
      if (!key) await this.runUnkeyed(call, answer, timer);
      else if (handedOver || key.bootId === state.self.bootId) {
        await this.runKeyed(call, key, answer, timer);
      } else await this.forwardToOwner(call, key, answer, timer);
    } finally {
      open.end();
    }
  }

  private async runUnkeyed(call: Call, answer: CallerResponse, timer: CallTimer): Promise<void> {
    const end = await this.admitAndDispatch(call, answer, NO_KEY, timer);
    finish(answer, end, timer);
  }

  private async runKeyed(
    call: Call,
    key: IdempotencyKey,
    answer: CallerResponse,
    timer: CallTimer,
  ): Promise<void> {
    const { keys, timers } = this.options;
    const claim = keys.claim(key, call.customer.id, bindingDigest(call), timers.wall());
    switch (claim.kind) {
      case 'new':
        await this.runNewKey(call, key, answer, timer);
        return;
      case 'join':
        replay(answer, await this.orDeadline(claim.settled, call), timer);
        return;
      case 'settled':
        replay(answer, claim.outcome, timer);
        return;
      default:
        refuse(answer, CLAIM_CODES[claim.kind], timer);
    }
  }

  /** Waits for the call in flight, but not beyond the deadline of the re-send. */
  private async orDeadline(
    settled: Promise<KeyOutcome<RecordedResponse>>,
    call: Call,
  ): Promise<KeyOutcome<RecordedResponse>> {
    const { timers } = this.options;
    const timer = { stop: (): void => undefined };
    const late = new Promise<KeyOutcome<RecordedResponse>>((resolve) => {
      const remainingMs = Math.max(0, call.deadlineAt - timers.now());
      timer.stop = timers.after(remainingMs, () => resolve({ kind: 'unknown' }));
    });
    const outcome = await Promise.race([settled, late]);
    timer.stop();
    return outcome;
  }

  private async runNewKey(
    call: Call,
    key: IdempotencyKey,
    answer: CallerResponse,
    timer: CallTimer,
  ): Promise<void> {
    const { keys, timers } = this.options;
    const marks: KeySendTracker = {
      markSent: () => keys.markSent(key.text, timers.wall()),
      markUnsent: () => keys.markUnsent(key.text),
    };
    try {
      const end = await this.admitAndDispatch(call, answer, marks, timer);
      // Only a burned key is certain never to run.
      const notRun = end.kind !== 'complete' && keys.revoke(key.text);
      const certain = certainEnd(end, notRun);
      if (!notRun) keys.finish(key.text, outcomeOf(certain, answer));
      finish(answer, certain, timer);
    } finally {
      // After an unforeseen error the key must not stay in flight for ever.
      if (!keys.revoke(key.text)) keys.finish(key.text, { kind: 'unknown' });
    }
  }

  private async forwardToOwner(
    call: Call,
    key: IdempotencyKey,
    answer: CallerResponse,
    timer: CallTimer,
  ): Promise<void> {
    const owner = this.findEntry(key.bootId);
    const unknown: DispatchResult = {
      kind: 'failed',
      code: ResultCodes.OutcomeUnknown,
      run: RunState.Unknown,
      attempts: 0,
    };
    if (!owner) {
      finish(answer, unknown, timer);
      return;
    }
    const end = await this.forward(call, owner, answer, timer);
    if (end.kind === 'complete') timer.end(ResultCodes.Ok.code, RunState.Ran);
    else if (end.kind === 'passed-on') timer.end(ResultCodes.StreamInterrupted.code, end.run);
    else finish(answer, unknown, timer);
  }

  private async forward(
    call: Call,
    entry: ForwardTarget,
    answer: CallerResponse,
    timer: CallTimer,
  ): Promise<ForwardResult> {
    const { forwards, timers } = this.options;
    const abort = new AbortController();
    const stopTimer = timers.after(Math.max(0, call.deadlineAt - timers.now()), () =>
      abort.abort(),
    );
    const stopWatch = answer.onAbandoned(() => abort.abort());
    try {
      return await forwards.run({
        call,
        response: answer,
        entry,
        reason: 'key',
        signal: abort.signal,
        mayWrite: () => call.deadlineAt > timers.now(),
        onEvents: timer.onEvents,
      });
    } finally {
      stopTimer();
      stopWatch();
    }
  }

  private findEntry(bootId: string): ForwardTarget | undefined {
    const { state } = this.options;
    const { processes, summaries } = state.view;
    const near = processes.find(({ process }) => process.bootId === bootId)?.process;
    const far = summaries
      .flatMap((summary) => summary.entries.map((entry) => ({ ...summary, ...entry })))
      .find((entry) => entry.bootId === bootId);
    const found = near ?? far;
    return (
      found && {
        bootId,
        failureDomain: found.failureDomain,
        region: found.region,
        peerAddress: found.peerAddress,
        oneWayMs: linkOf(state, state.self.region, found.region).oneWayMs,
      }
    );
  }

  private async admitAndDispatch(
    call: Call,
    answer: CallerResponse,
    marks: KeySendTracker,
    timer: CallTimer,
  ): Promise<DispatchResult> {
    const { gate, limits, dispatcher, timers } = this.options;
    // The entry that accepted a call has counted it already.
    const counted = call.visited.length === 0;
    const limited = counted ? this.limit(call) : undefined;
    if (limited) return notRunEnd(limited);
    const place = new AdmissionSlot(gate, call, (listener) => answer.onAbandoned(listener));
    const seen = { firstAt: undefined as number | undefined, events: 0 };
    try {
      return await dispatcher.dispatch(call, answer, marks, place, (events) => {
        seen.firstAt ??= timers.now();
        seen.events += events;
        timer.onEvents();
      });
    } finally {
      const firstTokenMs = seen.firstAt === undefined ? undefined : seen.firstAt - call.arrivedAt;
      // A stream has one event for each token; the length of other answers is not known.
      const outputTokens = call.stream ? seen.events : call.routed.maxTokens;
      place.release({ cost: callCost(call, outputTokens), firstTokenMs });
      if (counted && call.stream) limits.endStream(call.customer.id);
    }
  }

  /** Takes the call from the customer's limits; a code when one of them is reached. */
  private limit(call: Call): ResultCode | undefined {
    const { limits, timers } = this.options;
    const { customer, routed, stream } = call;
    if (!customer.limits) return undefined;
    const decision = limits.tryStart(
      customer.id,
      customer.limits,
      { share: this.share(call), tokens: routed.promptTokens + routed.maxTokens, stream },
      timers.now(),
    );
    if (decision.kind === 'allowed') return undefined;
    return decision.limit === 'streams' ? ResultCodes.StreamsLimited : ResultCodes.RateLimited;
  }

  /** This entry's part of a customer's limits: one of the live entries of the allowed regions. */
  private share(call: Call): number {
    const { config, view } = this.options.state;
    if (!config) return 1;
    const entries = allowedRegions(config, call.customer, call.config)
      .map((region) => view.entriesPerRegion[region] ?? 0)
      .reduce((sum, count) => sum + count, 0);
    return 1 / Math.max(1, entries);
  }
}

/** Digest that binds a key to its request. */
function bindingDigest(call: Call): string {
  return createHash('sha256')
    .update([call.digest, call.method, call.path].join('\n'))
    .digest('hex');
}

function notRunEnd(code: ResultCode): DispatchResult {
  return { kind: 'failed', code, run: RunState.NotRun, attempts: 0 };
}

function certainEnd(end: DispatchResult, notRun: boolean): DispatchResult {
  if (end.kind !== 'failed' || notRun || end.run !== RunState.NotRun) return end;
  return { ...end, code: ResultCodes.OutcomeUnknown, run: RunState.Unknown };
}

function outcomeOf(end: DispatchResult, answer: CallerResponse): KeyOutcome<RecordedResponse> {
  const { recording } = answer;
  if (end.kind === 'failed' && end.code.run === RunState.Ran) return { kind: 'answer-dropped' };
  if (end.kind !== 'complete') return { kind: 'unknown' };
  if (!recording) return { kind: 'answer-dropped' };
  return { kind: 'answer', answer: recording, bytes: recording.body.length };
}

function finish(answer: CallerResponse, end: DispatchResult, timer: CallTimer): void {
  switch (end.kind) {
    case 'complete':
      timer.end(ResultCodes.Ok.code, RunState.Ran);
      return;
    case 'passed-on':
      timer.end(ResultCodes.StreamInterrupted.code, end.run);
      return;
    case 'abandoned':
      timer.end(0, end.run);
      return;
    default:
      answer.fail(
        { code: end.code, run: end.run, target: end.target, attempts: end.attempts },
        { headers: end.died ? { [TARGET_DIED_HEADER]: '1' } : {} },
      );
      timer.end(end.code.code, end.run);
  }
}

function refuse(answer: CallerResponse, code: ResultCode, timer: CallTimer): void {
  answer.fail({ code, run: code.run, attempts: 0 });
  timer.end(code.code, code.run);
}

/** Answers a re-send with the outcome of the first request. */
function replay(answer: CallerResponse, outcome: KeyOutcome<RecordedResponse>, timer: CallTimer): void {
  if (outcome.kind === 'answer') {
    const { status, headers, body, meta } = outcome.answer;
    answer.send(status, headers, body, meta);
    timer.end(meta.code.code, meta.run);
    return;
  }
  const codes = {
    'answer-dropped': ResultCodes.AnswerTooLarge,
    unknown: ResultCodes.OutcomeUnknown,
    'not-run': ResultCodes.KeyBurned,
  } as const;
  refuse(answer, codes[outcome.kind], timer);
}
