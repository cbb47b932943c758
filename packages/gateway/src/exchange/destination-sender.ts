/**
 * Sends a call to a target or a remote gateway, and updates the state of the target and the measured
 * speed of its service from the result.
 */
import type { IncomingMessage } from 'node:http';
import {
  allowsVersion,
  SURVIVAL_MS,
  scopeOfVersion,
  wouldRetryAfterLoss,
  type Candidate,
  type LoadReport,
  type Destination,
  type RequestStep,
  type StreamSource,
  type VersionCheck,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/runtime';
import type { CrashWatch } from '../crashes/crash-watch.js';
import type { GossipTask } from '../peers/gossip-task.js';
import type {
  AttemptFields,
  HeaderList,
  RequestProtocol,
  TargetSignals,
} from '../ports/request-protocol.js';
import type { RestartCheck } from '../reports/restart-check.js';
import type { StartConfirmer } from '../reports/start-confirmer.js';
import type { StartWitness } from '../reports/start-witness.js';
import type { Router } from '../routing/router.js';
import type { GatewaySettings } from '../settings.js';
import type { GatewayState } from '../state/gateway-state.js';
import type { TargetEntry } from '../state/target-entry.js';
import type { StreamRegistry } from '../streams/stream-registry.js';
import { isSuccess, isTargetFailure, type AttemptEnd } from './attempt-end.js';
import type { AttemptRunner } from './attempt-runner.js';
import { attemptsLeft, type CallProgress } from './call-progress.js';
import {
  ATTEMPTS_HEADER,
  CONFIG_HEADER,
  CUSTOMER_HEADER,
  VERSION_HEADER,
  decodeText,
  encodeText,
} from './caller-response.js';
import { StallDetector } from './stall-detector.js';

/** Retries are prefilled before first attempts of other requests. */
const RETRY_PRIORITY = 0;
/** Deferred requests are prefilled after all others. */
const DEFERRED_PRIORITY = 9;

export type AttemptStep = Extract<RequestStep, { kind: 'attempt' }>;

export interface SenderDeps {
  readonly settings: GatewaySettings;
  readonly state: GatewayState;
  readonly router: Router;
  readonly runner: AttemptRunner;
  readonly protocol: RequestProtocol;
  readonly gossip: Pick<GossipTask, 'table' | 'roster' | 'announceTarget'>;
  readonly crashes: CrashWatch;
  readonly restarts: Pick<RestartCheck, 'onConnectionLost' | 'onUnreachable'>;
  readonly starts: Pick<
    StartConfirmer,
    'ask' | 'canProve' | 'confirm' | 'onUse' | 'prove' | 'proves'
  >;
  readonly witness: Pick<StartWitness, 'onAnswer'>;
  readonly streams: StreamRegistry;
  readonly timers: TimerService;
}

interface RetryBudgetView {
  /** Whether the retry budget of a service allows another retry now. */
  allowsRetry(service: string): boolean;
}

/** Result of an attempt, with the time to the first byte. */
export interface SentAttempt {
  readonly end: AttemptEnd;
  readonly firstByteMs: number | undefined;
  /** Longest time between two received parts of the response, ms. */
  readonly longestGapMs: number;
  /** Start time of the target by the record at the send, Unix ms; undefined for a gateway. */
  readonly bornAt: number | undefined;
}

/** Address and headers of one attempt, and the callbacks for its response. */
interface OutboundRequest {
  readonly address: string;
  readonly headers: HeaderList;
  readonly toPeer: boolean;
  /** Whether the destination may still be used. */
  readonly mayWrite: () => boolean;
  /** Whether this process received anything from the destination recently. */
  readonly isAlive: () => boolean;
  readonly onBytes: () => void;
  readonly onOpened?: () => void;
  readonly streamSource: (res: IncomingMessage, openedAt: number) => StreamSource;
  readonly onSignals: (signals: TargetSignals, openedAt: number) => void;
  readonly onReport: (report: LoadReport) => void;
}

/** What was known of a target when a stream was sent to it. */
interface SourceOptions {
  readonly sentVersion: string | undefined;
  readonly wasDoubted: boolean;
  readonly service: string;
}

export class DestinationSender {
  constructor(
    private readonly deps: SenderDeps,
    private readonly retries: RetryBudgetView,
  ) {}

  async send(step: AttemptStep, progress: CallProgress): Promise<SentAttempt> {
    const { timers } = this.deps;
    const { candidate } = step;
    const startedAt = timers.now();
    const seen: { firstByteMs?: number; lastAt: number; longestGapMs: number } = {
      lastAt: startedAt,
      longestGapMs: 0,
    };
    const onBytes = (): void => {
      const now = timers.now();
      if (seen.firstByteMs === undefined) seen.firstByteMs = now - startedAt;
      else seen.longestGapMs = Math.max(seen.longestGapMs, now - seen.lastAt);
      seen.lastAt = now;
    };
    const priority = priorityOf(step, progress);
    const { service } = progress.call;
    const { destination } = candidate;
    const bornAt =
      destination.kind === 'target'
        ? this.deps.state.target(destination.id)?.record.bornAt
        : undefined;
    const end =
      destination.kind === 'target'
        ? await this.sendToTarget(destination.id, candidate, priority, progress, onBytes)
        : await this.sendToPeer(destination, candidate, priority, progress, onBytes);
    if (step.deferred) {
      this.deps.router.deferrals.onOutcome(service, seen.firstByteMs !== undefined, timers.now());
    }
    return { end, firstByteMs: seen.firstByteMs, longestGapMs: seen.longestGapMs, bornAt };
  }

  private async sendToTarget(
    id: string,
    candidate: Candidate,
    priority: number,
    progress: CallProgress,
    onBytes: () => void,
  ): Promise<AttemptEnd> {
    const { state, timers, router, protocol, gossip, crashes, settings, streams, starts, witness } =
      this.deps;
    const entry = state.target(id);
    if (!entry) return { kind: 'not-sent', message: 'target no longer listed', withdrawn: true };
    const { record, work } = entry;
    const { call } = progress;
    const { head } = call;
    // Others must not choose this target before the request is counted, so nothing else is waited for here.
    if (progress.scope.kind === 'only' && streams.isMixed(progress.call.service)) {
      const unconfirmed = await this.confirmStart(entry);
      if (unconfirmed) return unconfirmed;
    }
    if (call.facts.resumable) starts.onUse(entry);
    const startedAt = timers.now();
    const sentVersion = record.softwareVersion;
    const wasDoubted = entry.isDoubted(startedAt);
    router.onSendToTarget(entry, progress.call);
    crashes.onSend(call);
    const { prefillMs, expectedFirstByteMs: expectedMs } = candidate;
    const { serviceMs = expectedMs, speedFactor = 1 } = candidate;
    const waitMs = waitMsOf(candidate, priority);
    const sent = { prefillMs, priority, expectedMs, waitMs, serviceMs, speedFactor };
    work.onSend(head.id, sent, head.prompt, startedAt);
    if (head.prompt) router.speeds.onPrompt(call.service, prefillMs);
    if (head.prompt) {
      const segments = head.prompt.segments.slice(0, -1);
      const prompt = { id: head.id, workMs: prefillMs * speedFactor, priority, segments };
      gossip.announceTarget({ kind: 'prompt', target: id, prompt });
    }
    const resumesAfter = progress.lastEventId;
    const seen: {
      firstByteAt?: number;
      lastByteAt?: number;
      survived?: boolean;
      replaced?: boolean;
      /** When the connection of the response was established. */
      openedAt?: number;
    } = {};
    const { end, aborted } = await this.exchange(progress, candidate, {
      address: record.address,
      headers: protocol.targetHeaders(
        head,
        this.attemptFields(priority, progress, candidate),
        record,
      ),
      toPeer: false,
      mayWrite: () =>
        state.target(id) === entry &&
        !entry.isDoubtedSince(startedAt, timers.now()) &&
        state.mayUse(entry) &&
        !router.isPaused(entry) &&
        router.mayRunIn(progress.call, settings.region) &&
        allowsVersion(progress.scope, entry.softwareVersionAt(timers.now())),
      onOpened: () => {
        // Its answer then proves which start the stream comes from, by the time of the first event.
        if (call.facts.resumable && starts.canProve(entry) && streams.isMixed(call.service)) {
          starts.ask(entry, timers.now());
        }
      },
      streamSource: (_res, openedAt) =>
        this.streamSourceOf(entry, openedAt, {
          sentVersion,
          wasDoubted,
          service: call.service,
        }),
      isAlive: () => work.isAlive(timers.now()),
      onReport: (report) => work.updateLoadReport(report, timers.now()),
      onSignals: (signals, openedAt) => {
        seen.openedAt = openedAt;
        witness.onAnswer(entry, openedAt, startedAt);
        state.onTargetSignals(record, signals, head.id);
        router.rejections.onSignals(record, signals, startedAt);
        router.onPause(record, signals.pauseMs, head.id);
      },
      onBytes: () => {
        onBytes();
        entry.onContact(timers.now());
        if (seen.firstByteAt === undefined) {
          work.onFirstByte(head.id, timers.now());
          const waitedMs = timers.now() - startedAt - prefillMs;
          if (head.prompt) {
            router.mixOf(call.service).onWaited(priority, waitedMs, timers.now());
          }
        } else {
          work.onByte(timers.now());
          router.onEventGap(entry, timers.now() - (seen.lastByteAt ?? seen.firstByteAt));
        }
        seen.lastByteAt = timers.now();
        seen.firstByteAt ??= timers.now();
        if (!seen.replaced && this.isReplaced(entry)) {
          seen.replaced = true;
          if (!starts.proves(entry, seen.openedAt ?? timers.now())) streams.onReplaced(call, id);
        }
        if (!seen.survived && timers.now() - seen.firstByteAt >= SURVIVAL_MS) {
          seen.survived = true;
          crashes.onSurvived(call, seen.firstByteAt);
        }
      },
    });
    // What a target adds to a stream that others began may be too little to crash it.
    if (isComplete(end) && resumesAfter === undefined) crashes.onAnswered(call);
    if (isBroken(end) && !aborted && !isUnproved(end)) {
      crashes.onLost(record, call, startedAt, seen.firstByteAt);
    }
    work.onEnd(head.id, timers.now());
    if (seen.firstByteAt === undefined && head.prompt) {
      router.mixOf(call.service).onWaited(priority, timers.now() - startedAt, timers.now());
    }
    if (end.kind === 'not-run' && !end.misdirected) router.rejections.onRejected(record);
    this.recordResult(entry, end, progress, startedAt, aborted);
    if (end.kind === 'streamed' && head.prompt && head.resumeAfter === undefined) {
      const { expectedOutputTokens } = head.prompt;
      router.lengths.onComplete(call.service, progress.lastEventId ?? 0, expectedOutputTokens);
    }
    if (end.kind === 'streamed' && seen.firstByteAt !== undefined) {
      router.speeds.onStreamDuration(progress.call.service, timers.now() - seen.firstByteAt);
    }
    return end;
  }

  /** Whether a target is known to have started again since the entry was made. */
  private isReplaced(entry: TargetEntry): boolean {
    const listed = this.deps.state.target(entry.id);
    return listed !== undefined && listed !== entry;
  }

  /**
   * Confirms that a target is still the start that a stream is to go on at.
   *
   * @returns why nothing is sent; undefined if the target is confirmed
   */
  private async confirmStart(entry: TargetEntry): Promise<AttemptEnd | undefined> {
    const { starts, restarts } = this.deps;
    const confirmation = await starts.confirm(entry);
    if (confirmation === 'confirmed') return undefined;
    if (confirmation === 'unreachable') restarts.onUnreachable(entry);
    return { kind: 'not-sent', message: `start of the target is ${confirmation}`, withdrawn: true };
  }

  /**
   * Version of a stream that a target writes. What proves it later may be kept until the start of the
   * target is known; made here, it does not refer to the call and its body.
   */
  private streamSourceOf(
    entry: TargetEntry,
    openedAt: number,
    { sentVersion, wasDoubted, service }: SourceOptions,
  ): StreamSource {
    const { state, timers, starts, streams } = this.deps;
    /** What the entry says, if nothing speaks against it. */
    const listedVersion = (): VersionCheck => {
      const listed = state.target(entry.id);
      const { softwareVersion } = entry.record;
      // A target that is no longer listed may go on with what it runs.
      const isSame =
        listed === undefined ||
        (listed === entry && (sentVersion === undefined || softwareVersion === sentVersion));
      if (!isSame) return { kind: 'settled', version: undefined };
      if (wasDoubted && entry.isDoubted(timers.now())) return { kind: 'pending' };
      if (listed && entry.awaitsRecord) return { kind: 'pending' };
      return { kind: 'settled', version: softwareVersion };
    };
    const provedVersion = (): VersionCheck => {
      const isListed = state.target(entry.id) === entry;
      if (!starts.proves(entry, openedAt)) {
        return isListed ? { kind: 'pending' } : { kind: 'settled', version: undefined };
      }
      const { softwareVersion } = entry.record;
      const isAwaited = entry.awaitsRecord || softwareVersion === undefined;
      if (isListed && isAwaited) return { kind: 'pending' };
      return { kind: 'settled', version: entry.awaitsRecord ? undefined : softwareVersion };
    };
    const check = starts.canProve(entry) ? provedVersion : listedVersion;
    const first = check();
    if (first.kind === 'settled') return { version: first.version };
    const listed = listedVersion();
    // With one version there is nothing to mistake it for, as far as this gateway knows.
    const isGuess = listed.kind === 'settled' && !streams.isMixed(service);
    return {
      version: isGuess ? listed.version : undefined,
      check,
      prove: async (limitMs) => {
        await starts.prove(entry, openedAt, limitMs);
      },
    };
  }

  private async sendToPeer(
    { node, region }: { readonly node: string; readonly region: string },
    candidate: Candidate,
    priority: number,
    progress: CallProgress,
    onBytes: () => void,
  ): Promise<AttemptEnd> {
    const { gossip, settings, router, protocol, streams } = this.deps;
    const peer = gossip.table.get(node);
    if (!peer) return { kind: 'not-sent', message: 'gateway no longer known' };
    const { call } = progress;
    router.onSendToPeer(call, region, candidate.prefillMs);
    const { end } = await this.exchange(progress, candidate, {
      address: `${peer.ip}:${settings.forwardPort}`,
      headers: [
        ...protocol.peerHeaders(call.head, this.attemptFields(priority, progress, candidate)),
        ATTEMPTS_HEADER,
        String(attemptsLeft(progress)),
        CONFIG_HEADER,
        String(call.configVersion),
        ...(call.customer ? [CUSTOMER_HEADER, encodeText(call.customer.name)] : []),
        ...(progress.scope.kind === 'only'
          ? [VERSION_HEADER, encodeText(progress.scope.version)]
          : []),
      ],
      toPeer: true,
      mayWrite: () => router.mayRunIn(call, region),
      streamSource: ({ headers }) => {
        const version = decodeText(headers[VERSION_HEADER]);
        return version === undefined ? streams.forwardedSource(call) : { version };
      },
      isAlive: () => false,
      onReport: () => undefined,
      onSignals: () => undefined,
      onBytes,
    });
    return end;
  }

  /** Sends one request; aborts it at the deadline, when the caller disconnects or on a stall. */
  private async exchange(
    progress: CallProgress,
    candidate: Candidate,
    outbound: OutboundRequest,
  ): Promise<{ readonly end: AttemptEnd; readonly aborted: boolean }> {
    const { timers, runner } = this.deps;
    const { call, response } = progress;
    const abort = new AbortController();
    const stop = (): void => abort.abort();
    const stall = new StallDetector(call.facts, candidate, timers, outbound.isAlive);
    const stopDeadline = timers.after(call.facts.deadlineAt - timers.now(), stop);
    // A remote gateway detects stalls of its own targets, and may use all remaining attempts.
    if (!outbound.toPeer)
      stall.start(() => this.hasAlternative(progress, candidate.destination), stop);
    response.onDisconnect(stop);
    try {
      const end = await runner.run({
        ...outbound,
        progress,
        signal: abort.signal,
        onDelivered: (source) => this.deps.streams.onDelivered(call, source),
        onBytes: () => {
          stall.onBytes();
          outbound.onBytes();
        },
      });
      return { end, aborted: abort.signal.aborted };
    } finally {
      stall.stop();
      stopDeadline();
      response.onDisconnect(undefined);
    }
  }

  /** Whether another destination would be tried if this attempt were aborted. */
  private hasAlternative(progress: CallProgress, destination: Destination): boolean {
    const { call, response, attempts, source } = progress;
    const check = source?.check?.();
    const scope = check?.kind === 'settled' ? scopeOfVersion(check.version) : progress.scope;
    const { router, timers, crashes } = this.deps;
    const verdict = crashes.verdict(call);
    const view = {
      now: timers.now(),
      attempts,
      headSent: response.started,
      callerDisconnected: response.disconnected,
      ...router.destinations(call, scope),
      ...(verdict ? { refusedForMs: verdict.retryAfterMs } : {}),
      takeRetry: () => this.retries.allowsRetry(call.service),
    };
    return wouldRetryAfterLoss(call.facts, view, destination);
  }

  private attemptFields(
    priority: number,
    { call, lastEventId }: CallProgress,
    { fetchFrom }: Candidate,
  ): AttemptFields {
    const { state, timers } = this.deps;
    const customer = call.customer?.name;
    const remainingMs = Math.max(1, Math.floor(call.facts.deadlineAt - timers.now()));
    const source = fetchFrom === undefined ? undefined : state.target(fetchFrom)?.record.address;
    return {
      remainingMs,
      priority,
      ...(customer === undefined ? {} : { customer }),
      ...(lastEventId === undefined ? {} : { resumeAfter: lastEventId }),
      ...(source === undefined ? {} : { fetchFrom: source }),
    };
  }

  private recordResult(
    entry: TargetEntry,
    end: AttemptEnd,
    { call, response }: CallProgress,
    startedAt: number,
    aborted: boolean,
  ): void {
    // When the caller disconnected, or read too slowly, the result does not depend on the target.
    if (response.disconnected || (aborted && end.kind === 'relayed')) return;
    const { state, timers, router, restarts } = this.deps;
    const { work, record } = entry;
    const now = timers.now();
    if (end.kind !== 'not-run' && !isUnproved(end)) {
      const failed = isTargetFailure(end);
      work.onOutcome(failed, now);
      router.speeds.onOutcome(call.service, failed);
    }
    if (end.kind === 'answered' && !call.head.prompt) {
      router.speeds.onPlainDuration(call.service, now - startedAt);
    }
    if (end.kind === 'not-run' && end.misdirected) state.onMisdirected(record.id);
    if (aborted) return;
    if (end.kind === 'not-sent' && !end.withdrawn) restarts.onUnreachable(entry);
    if (end.kind === 'lost' && end.connectionLost) restarts.onConnectionLost(entry);
  }
}

/** Whether the target completed its answer. */
function isComplete(end: AttemptEnd): boolean {
  if (end.kind === 'relayed') return end.complete && isSuccess(end.status);
  return end.kind === 'streamed' || (end.kind === 'answered' && isSuccess(end.status));
}

/** Whether the connection was lost before the answer was complete. */
function isBroken(end: AttemptEnd): boolean {
  return end.kind === 'lost' || (end.kind === 'relayed' && !end.complete);
}

/** Whether the gateway gave the stream up itself. */
function isUnproved(end: AttemptEnd): boolean {
  return end.kind === 'lost' && end.unproved === true;
}

/** Time for which a request waits for other work; a deferred one waits for all of it, ms. */
function waitMsOf(
  { expectedWaitMs, deferredFirstByteMs = 0, serviceMs = 0, speedFactor = 1 }: Candidate,
  priority: number,
): number {
  if (priority < DEFERRED_PRIORITY) return expectedWaitMs;
  return Math.max(expectedWaitMs, deferredFirstByteMs - serviceMs * speedFactor);
}

function priorityOf({ retry, deferred }: AttemptStep, { call }: CallProgress): number {
  if (deferred) return DEFERRED_PRIORITY;
  return retry ? RETRY_PRIORITY : call.priority;
}
