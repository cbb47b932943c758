/** Runs a call: checks its idempotency key and limits, admits and dispatches it, and responds. */
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
import { AdmissionSlot } from '../admission/admission-slot.js';
import type { KeySendTracker } from '../dispatch/dispatch-progress.js';
import type { DispatchResult, Dispatcher } from '../dispatch/dispatcher.js';
import { TARGET_DIED_HEADER } from '../forward/forward-envelope.js';
import type { ForwardResult, ForwardExchange, ForwardTarget } from '../forward/forward-exchange.js';
import type { CallTimer, EntryMetrics } from '../metrics/entry-metrics.js';
import type { CallerResponse, RecordedResponse } from '../relay/caller-response.js';
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

const UNKEYED_TRACKER: KeySendTracker = { markSent: () => true, markUnsent: () => undefined };

const CLAIM_CODES = {
  expired: ResultCodes.KeyExpired,
  'expiry-too-far': ResultCodes.KeyExpiryTooFar,
  reused: ResultCodes.KeyReused,
  full: ResultCodes.KeyTableFull,
} as const;

export class CallRunner {
  constructor(private readonly options: RunnerOptions) {}

  /** Number of requests in progress at this entry. */
  get openCalls(): number {
    return this.options.openCalls.count;
  }

  /**
   * Runs a call and ends its response. `forwardedByOwner` means that the owner of the key forwarded
   * the call here and dispatches it nowhere else.
   */
  async run(call: Call, response: CallerResponse, forwardedByOwner = false): Promise<void> {
    const { state, timers, metrics, openCalls } = this.options;
    if (!state.config) throw new Error('a call needs a configuration');
    const timer = metrics.timer(state.config, call.customer, call.arrivedAt, () => timers.now());
    openCalls.begin();
    try {
      const { key } = call;
      if (!key) await this.runUnkeyed(call, response, timer);
      else if (forwardedByOwner || key.bootId === state.self.bootId) {
        await this.runKeyed(call, key, response, timer);
      } else await this.forwardToOwner(call, key, response, timer);
    } finally {
      openCalls.end();
    }
  }

  private async runUnkeyed(call: Call, response: CallerResponse, timer: CallTimer): Promise<void> {
    const result = await this.admitAndDispatch(call, response, UNKEYED_TRACKER, timer);
    finish(response, result, timer);
  }

  private async runKeyed(
    call: Call,
    key: IdempotencyKey,
    response: CallerResponse,
    timer: CallTimer,
  ): Promise<void> {
    const { keys, timers } = this.options;
    const claim = keys.claim(key, call.customer.id, bindingDigest(call), timers.wall());
    switch (claim.kind) {
      case 'new':
        await this.runNewKey(call, key, response, timer);
        return;
      case 'join':
        replay(response, await this.awaitOutcome(claim.settled, call), timer);
        return;
      case 'settled':
        replay(response, claim.outcome, timer);
        return;
      default:
        refuse(response, CLAIM_CODES[claim.kind], timer);
    }
  }

  /** Waits for the call in progress until the deadline of the retry. */
  private async awaitOutcome(
    settled: Promise<KeyOutcome<RecordedResponse>>,
    call: Call,
  ): Promise<KeyOutcome<RecordedResponse>> {
    const { timers } = this.options;
    const deadlineTimer = { stop: (): void => undefined };
    const deadlinePassed = new Promise<KeyOutcome<RecordedResponse>>((resolve) => {
      const remainingMs = Math.max(0, call.deadlineAt - timers.now());
      deadlineTimer.stop = timers.after(remainingMs, () => resolve({ kind: 'unknown' }));
    });
    const outcome = await Promise.race([settled, deadlinePassed]);
    deadlineTimer.stop();
    return outcome;
  }

  private async runNewKey(
    call: Call,
    key: IdempotencyKey,
    response: CallerResponse,
    timer: CallTimer,
  ): Promise<void> {
    const { keys, timers } = this.options;
    const tracker: KeySendTracker = {
      markSent: () => keys.markSent(key.text, timers.wall()),
      markUnsent: () => keys.markUnsent(key.text),
    };
    try {
      const result = await this.admitAndDispatch(call, response, tracker, timer);
      // Only a revoked key is certain never to run.
      const notRun = result.kind !== 'complete' && keys.revoke(key.text);
      const finalResult = withUnknownOutcome(result, notRun);
      if (!notRun) keys.finish(key.text, outcomeOf(finalResult, response));
      finish(response, finalResult, timer);
    } finally {
      // After an unexpected error the key must not stay in progress forever.
      if (!keys.revoke(key.text)) keys.finish(key.text, { kind: 'unknown' });
    }
  }

  private async forwardToOwner(
    call: Call,
    key: IdempotencyKey,
    response: CallerResponse,
    timer: CallTimer,
  ): Promise<void> {
    await this.options.dispatcher.waitForFreshState();
    const owner = this.findEntry(key.bootId);
    const unknown: DispatchResult = {
      kind: 'failed',
      code: ResultCodes.OutcomeUnknown,
      run: RunState.Unknown,
      attempts: 0,
    };
    if (!owner) {
      finish(response, unknown, timer);
      return;
    }
    const result = await this.forward(call, owner, response, timer);
    if (result.kind === 'complete') timer.end(ResultCodes.Ok.code, RunState.Ran);
    else if (result.kind === 'error-relayed')
      timer.end(ResultCodes.StreamInterrupted.code, result.run);
    else finish(response, unknown, timer);
  }

  private async forward(
    call: Call,
    entry: ForwardTarget,
    response: CallerResponse,
    timer: CallTimer,
  ): Promise<ForwardResult> {
    const { forwards, timers, dispatcher } = this.options;
    const abort = new AbortController();
    const stopTimer = timers.after(Math.max(0, call.deadlineAt - timers.now()), () =>
      abort.abort(),
    );
    const stopListening = response.onAbandoned(() => abort.abort());
    try {
      return await forwards.run({
        call,
        response,
        entry,
        reason: 'key',
        signal: abort.signal,
        mayWrite: () => !dispatcher.hasStaleState() && call.deadlineAt > timers.now(),
        onEvents: timer.onEvents,
      });
    } finally {
      stopTimer();
      stopListening();
    }
  }

  private findEntry(bootId: string): ForwardTarget | undefined {
    const { state } = this.options;
    const { processes, summaries } = state.view;
    const local = processes.find(({ process }) => process.bootId === bootId)?.process;
    const remote = summaries
      .flatMap((summary) => summary.entries.map((entry) => ({ ...summary, ...entry })))
      .find((entry) => entry.bootId === bootId);
    const found = local ?? remote;
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
    response: CallerResponse,
    tracker: KeySendTracker,
    timer: CallTimer,
  ): Promise<DispatchResult> {
    const { gate, limits, dispatcher, timers } = this.options;
    // A forwarded call was already counted by the entry that accepted it.
    const acceptedHere = call.visited.length === 0;
    const limited = acceptedHere ? this.checkLimits(call) : undefined;
    if (limited) return notRunResult(limited);
    const admissionSlot = new AdmissionSlot(gate, call, (listener) =>
      response.onAbandoned(listener),
    );
    const received = { firstAt: undefined as number | undefined, events: 0 };
    try {
      return await dispatcher.dispatch(call, response, tracker, admissionSlot, (events) => {
        received.firstAt ??= timers.now();
        received.events += events;
        timer.onEvents();
      });
    } finally {
      const firstTokenMs =
        received.firstAt === undefined ? undefined : received.firstAt - call.arrivedAt;
      // A stream has one event per token; the token count of other responses is not known.
      const outputTokens = call.stream ? received.events : call.routed.maxTokens;
      admissionSlot.release({ cost: callCost(call, outputTokens), firstTokenMs });
      if (acceptedHere && call.stream) limits.endStream(call.customer.id);
    }
  }

  /** Charges the call to the customer's limits; returns a code when a limit is reached. */
  private checkLimits(call: Call): ResultCode | undefined {
    const { limits, timers } = this.options;
    const { customer, routed, stream } = call;
    if (!customer.limits) return undefined;
    const decision = limits.tryStart(
      customer.id,
      customer.limits,
      { share: this.limitShare(call), tokens: routed.promptTokens + routed.maxTokens, stream },
      timers.now(),
    );
    if (decision.kind === 'allowed') return undefined;
    return decision.limit === 'streams' ? ResultCodes.StreamsLimited : ResultCodes.RateLimited;
  }

  /** This entry's share of a customer's limits: 1 / live entries of the allowed regions. */
  private limitShare(call: Call): number {
    const { config, view } = this.options.state;
    if (!config) return 1;
    const entries = allowedRegions(config, call.customer, call.config)
      .map((region) => view.entriesPerRegion[region] ?? 0)
      .reduce((sum, count) => sum + count, 0);
    return 1 / Math.max(1, entries);
  }
}

/** Digest of the request that a key belongs to. */
function bindingDigest(call: Call): string {
  return createHash('sha256')
    .update([call.digest, call.method, call.path].join('\n'))
    .digest('hex');
}

function notRunResult(code: ResultCode): DispatchResult {
  return { kind: 'failed', code, run: RunState.NotRun, attempts: 0 };
}

function withUnknownOutcome(result: DispatchResult, notRun: boolean): DispatchResult {
  if (result.kind !== 'failed' || notRun || result.run !== RunState.NotRun) return result;
  return { ...result, code: ResultCodes.OutcomeUnknown, run: RunState.Unknown };
}

function outcomeOf(result: DispatchResult, response: CallerResponse): KeyOutcome<RecordedResponse> {
  const { recording } = response;
  if (result.kind === 'failed' && result.code.run === RunState.Ran)
    return { kind: 'answer-dropped' };
  if (result.kind !== 'complete') return { kind: 'unknown' };
  if (!recording) return { kind: 'answer-dropped' };
  return { kind: 'answer', answer: recording, bytes: recording.body.length };
}

function finish(response: CallerResponse, result: DispatchResult, timer: CallTimer): void {
  switch (result.kind) {
    case 'complete':
      timer.end(ResultCodes.Ok.code, RunState.Ran);
      return;
    case 'error-relayed':
      timer.end(ResultCodes.StreamInterrupted.code, result.run);
      return;
    case 'abandoned':
      // There is no result code for a caller that disconnected; the metrics count it under 0.
      timer.end(0, result.run);
      return;
    default:
      response.fail(
        { code: result.code, run: result.run, target: result.target, attempts: result.attempts },
        { headers: result.died ? { [TARGET_DIED_HEADER]: '1' } : {} },
      );
      timer.end(result.code.code, result.run);
  }
}

function refuse(response: CallerResponse, code: ResultCode, timer: CallTimer): void {
  response.fail({ code, run: code.run, attempts: 0 });
  timer.end(code.code, code.run);
}

/** Responds to a retry with the outcome of the first request. */
function replay(
  response: CallerResponse,
  outcome: KeyOutcome<RecordedResponse>,
  timer: CallTimer,
): void {
  if (outcome.kind === 'answer') {
    const { status, headers, body, meta } = outcome.answer;
    response.send(status, headers, body, meta);
    timer.end(meta.code.code, meta.run);
    return;
  }
  const codes = {
    'answer-dropped': ResultCodes.AnswerTooLarge,
    unknown: ResultCodes.OutcomeUnknown,
    'not-run': ResultCodes.KeyBurned,
  } as const;
  refuse(response, codes[outcome.kind], timer);
}
