/** Sends a call to a place and takes what the attempt says of the target and its service. */
import {
  wouldRetryAfterLoss,
  type Candidate,
  type LoadReport,
  type Place,
  type RequestStep,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/runtime';
import type { GossipTask } from '../peers/gossip-task.js';
import type { AttemptFields, HeaderList, RequestProtocol } from '../ports/request-protocol.js';
import type { Router } from '../routing/router.js';
import type { GatewaySettings } from '../settings.js';
import type { GatewayState } from '../state/gateway-state.js';
import type { TargetEntry } from '../state/target-entry.js';
import { isTargetFailure, type AttemptEnd } from './attempt-end.js';
import type { AttemptRunner } from './attempt-runner.js';
import { attemptsLeft, type CallProgress } from './call-progress.js';
import { ATTEMPTS_HEADER } from './caller-answer.js';
import { StallDetector } from './stall-watch.js';

/** A retry is read before requests that have not been served at all. */
const RETRY_PRIORITY = 0;
/** Deferred requests are read after all others. */
const DEFERRED_PRIORITY = 9;

export type AttemptStep = Extract<RequestStep, { kind: 'attempt' }>;

export interface SenderDeps {
  readonly settings: GatewaySettings;
  readonly state: GatewayState;
  readonly router: Router;
  readonly runner: AttemptRunner;
  readonly protocol: RequestProtocol;
  readonly gossip: Pick<GossipTask, 'table' | 'announceTarget'>;
  readonly timers: TimerService;
}

interface RetryView {
  /** Whether the budget of a service allows one more retry now. */
  allowsRetry(service: string): boolean;
}

/** An attempt with the time until its first byte, ms. */
export interface SentAttempt {
  readonly end: AttemptEnd;
  readonly firstByteMs: number | undefined;
}

/** Where and how an attempt is written. */
interface OutboundRequest {
  readonly address: string;
  readonly headers: HeaderList;
  readonly toPeer: boolean;
  /** Whether the receiver sends anything to this process. */
  readonly isAlive: () => boolean;
  readonly onBytes: () => void;
  readonly onReport: (report: LoadReport) => void;
}

export class DestinationSender {
  constructor(
    private readonly parts: SenderDeps,
    private readonly retries: RetryView,
  ) {}

  async send(step: AttemptStep, progress: CallProgress): Promise<SentAttempt> {
    const { timers } = this.parts;
    const { candidate } = step;
    const startedAt = timers.now();
    const seen: { firstByteMs?: number } = {};
    const onBytes = (): void => {
      seen.firstByteMs ??= timers.now() - startedAt;
    };
    const priority = priorityOf(step, progress);
    const end =
      candidate.destination.kind === 'target'
        ? await this.toTarget(candidate.destination.id, candidate, priority, progress, onBytes)
        : await this.toPeer(candidate.destination, candidate, priority, progress, onBytes);
    return { end, firstByteMs: seen.firstByteMs };
  }

  private async toTarget(
    id: string,
    candidate: Candidate,
    priority: number,
    progress: CallProgress,
    onBytes: () => void,
  ): Promise<AttemptEnd> {
    const { state, timers, router, protocol, gossip } = this.parts;
    const entry = state.target(id);
    if (!entry) return { kind: 'not-sent', message: 'target no longer listed' };
    const { record, work } = entry;
    const { head } = progress.call;
    const startedAt = timers.now();
    router.onSendToTarget(entry);
    const { prefillMs: readMs, expectedFirstByteMs: expectedMs } = candidate;
    work.onSend(head.id, { prefillMs: readMs, priority, expectedMs }, head.prompt, startedAt);
    if (head.prompt) {
      const parts = head.prompt.segments.slice(0, -1);
      const prompt = { id: head.id, workMs: readMs * work.latencyFactor, priority, parts };
      gossip.announceTarget({ kind: 'prompt', target: id, prompt });
    }
    const seen: { firstByteAt?: number } = {};
    const end = await this.exchange(progress, candidate, {
      address: record.address,
      headers: protocol.targetHeaders(head, this.fields(priority, progress, candidate), record),
      toPeer: false,
      isAlive: () => work.isAlive(timers.now()),
      onReport: (report) => work.updateLoadReport(report, timers.now()),
      onBytes: () => {
        onBytes();
        if (seen.firstByteAt === undefined) work.onFirstByte(head.id, timers.now());
        else work.onByte(timers.now());
        seen.firstByteAt ??= timers.now();
      },
    });
    work.onEnd(head.id, timers.now());
    this.learn(entry, end, progress, startedAt);
    if (end.kind === 'streamed' && seen.firstByteAt !== undefined) {
      router.speeds.onStreamTime(progress.call.service, timers.now() - seen.firstByteAt);
    }
    return end;
  }

  private async toPeer(
    { node, region }: { readonly node: string; readonly region: string },
    candidate: Candidate,
    priority: number,
    progress: CallProgress,
    onBytes: () => void,
  ): Promise<AttemptEnd> {
    const { gossip, settings, router, protocol } = this.parts;
    const peer = gossip.table.get(node);
    if (!peer) return { kind: 'not-sent', message: 'gateway no longer known' };
    const { call } = progress;
    router.onSendToPeer(call, region, candidate.prefillMs);
    return this.exchange(progress, candidate, {
      address: `${peer.ip}:${settings.forwardPort}`,
      headers: [
        ...protocol.peerHeaders(call.head, this.fields(priority, progress, candidate)),
        ATTEMPTS_HEADER,
        String(attemptsLeft(progress)),
      ],
      toPeer: true,
      isAlive: () => false,
      onReport: () => undefined,
      onBytes,
    });
  }

  /** One exchange that ends with the deadline, the caller's leave or a stall at the latest. */
  private async exchange(
    progress: CallProgress,
    candidate: Candidate,
    to: OutboundRequest,
  ): Promise<AttemptEnd> {
    const { timers, runner } = this.parts;
    const { call, response: answer } = progress;
    const abort = new AbortController();
    const stop = (): void => abort.abort();
    const stall = new StallDetector(call.facts, candidate, timers, to.isAlive);
    const stopDeadline = timers.after(call.facts.deadlineAt - timers.now(), stop);
    // A gateway that got the request watches its own targets, and may use all attempts left.
    if (!to.toPeer) stall.start(() => this.wouldMove(progress, candidate.destination), stop);
    answer.onDisconnect(stop);
    try {
      return await runner.run({
        ...to,
        progress,
        signal: abort.signal,
        onBytes: () => {
          stall.onBytes();
          to.onBytes();
        },
      });
    } finally {
      stall.stop();
      stopDeadline();
      answer.onDisconnect(undefined);
    }
  }

  /** Whether another place would take the call if this attempt were given up. */
  private wouldMove({ call, response: answer, attempts }: CallProgress, place: Place): boolean {
    const { router, timers } = this.parts;
    const view = {
      now: timers.now(),
      attempts,
      headSent: answer.started,
      callerGone: answer.disconnected,
      ...router.destinations(call),
      takeRetry: () => this.retries.allowsRetry(call.service),
    };
    return wouldRetryAfterLoss(call.facts, view, place);
  }

  private fields(
    priority: number,
    { call, lastEvent }: CallProgress,
    { fetchFrom }: Candidate,
  ): AttemptFields {
    const { state, timers } = this.parts;
    const remainingMs = Math.max(1, Math.floor(call.facts.deadlineAt - timers.now()));
    const source = fetchFrom === undefined ? undefined : state.target(fetchFrom)?.record.address;
    return {
      remainingMs,
      priority,
      ...(lastEvent === undefined ? {} : { resumeAfter: lastEvent }),
      ...(source === undefined ? {} : { fetchFrom: source }),
    };
  }

  private learn(
    entry: TargetEntry,
    end: AttemptEnd,
    { call, response: answer }: CallProgress,
    startedAt: number,
  ): void {
    // An exchange that the caller ended says nothing of the target.
    if (answer.disconnected) return;
    const { state, timers, router, gossip, settings } = this.parts;
    const { work, record } = entry;
    const now = timers.now();
    if (end.kind !== 'not-run') {
      const failed = isTargetFailure(end);
      work.onOutcome(failed, now);
      router.speeds.onOutcome(call.service, failed);
    }
    if (end.kind === 'answered' && !call.head.prompt) {
      router.speeds.onPlainTime(call.service, now - startedAt);
    }
    if (end.kind === 'not-run' && end.misdirected) state.onMisdirected(record.id);
    if (end.kind === 'not-sent') {
      work.onUnreachable(now);
      gossip.announceTarget({
        kind: 'unreachable',
        target: record.id,
        from: settings.node,
      });
      state.suspectRestart(record.id);
    }
  }
}

function priorityOf({ retry, deferred }: AttemptStep, { call }: CallProgress): number {
  if (deferred) return DEFERRED_PRIORITY;
  return retry ? RETRY_PRIORITY : call.route.priority;
}
