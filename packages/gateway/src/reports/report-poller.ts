/** Polls a target for its load report, and applies what the target tells about itself in it. */
import type { LoadReport, TargetIncarnation } from '@marjoramcart/core';
import {
  readResponseBody,
  type BodyMemory,
  type HttpClient,
  type TimerService,
} from '@marjoramcart/runtime';
import type { ReportProtocol } from '../ports/request-protocol.js';
import type { RejectionGuard } from '../routing/rejection-guard.js';
import type { GatewayState } from '../state/gateway-state.js';
import type { TargetEntry } from '../state/target-entry.js';
import type { StreamRegistry } from '../streams/stream-registry.js';
import type { StartWitness } from './start-witness.js';

/** A target that has not responded by then sends no report. */
const REPORT_TIMEOUT_MS = 400;

export type PolledReport =
  | { readonly kind: 'report'; readonly report: LoadReport }
  /** The target refused the connection. */
  | { readonly kind: 'refused' }
  /** The connection was neither accepted nor refused in time. */
  | { readonly kind: 'silent' }
  /** No valid report came in time. That is not logged: the attempts at the target show the cause. */
  | { readonly kind: 'none' };

export interface PollOptions {
  /** Opens a new connection, which reaches the process that listens now. */
  readonly newConnection?: boolean;
  /** Uses a connection that nothing else uses, so that it stays open while requests come and go. */
  readonly ownConnection?: boolean;
  /** How long the report may take, ms. */
  readonly timeoutMs?: number;
}

export interface ReportPollerDeps {
  readonly state: GatewayState;
  readonly httpClient: HttpClient;
  /** Connections for polls only. */
  readonly pollClient: HttpClient;
  readonly protocol: ReportProtocol;
  readonly timers: TimerService;
  /** Memory for reports of more than 64 KiB; those beyond it are not read to their end. */
  readonly memory: BodyMemory;
  /** Called for each report that is not read for want of memory. */
  readonly onNoMemory: () => void;
  readonly rejections: Pick<RejectionGuard, 'onSignals'>;
  readonly witness: Pick<StartWitness, 'onTold' | 'onAnswer'>;
  /** Tells the other gateways of the region when a target started. */
  readonly announceStart: (target: TargetIncarnation) => void;
  readonly streams: Pick<StreamRegistry, 'isLearning' | 'onRuns'>;
}

export class ReportPoller {
  constructor(private readonly deps: ReportPollerDeps) {}

  /**
   * Polls a target once.
   *
   * @example await poller.poll(entry) // { kind: 'report', report: { requests: 4 } }
   */
  async poll(
    entry: TargetEntry,
    {
      newConnection = false,
      ownConnection = false,
      timeoutMs = REPORT_TIMEOUT_MS,
    }: PollOptions = {},
  ): Promise<PolledReport> {
    const { protocol, timers, state, announceStart, streams, rejections, witness } = this.deps;
    const httpClient = ownConnection ? this.deps.pollClient : this.deps.httpClient;
    const { record, work } = entry;
    const memory = this.deps.memory.allocate();
    const askedAt = timers.now();
    const abort = new AbortController();
    const stop = timers.after(timeoutMs, () => abort.abort());
    const sent = await httpClient.send(
      {
        address: httpClient.dial(record.address),
        method: 'GET',
        path: protocol.path,
        headers: {},
        body: Buffer.alloc(0),
        newConnection,
      },
      () => true,
      abort.signal,
    );
    const body =
      sent.kind === 'answer'
        ? await readResponseBody(sent.res, (bytes) => memory.grow(bytes))
        : undefined;
    stop();
    if (sent.kind !== 'answer') {
      if (sent.kind !== 'failed' || sent.sent) return { kind: 'none' };
      return { kind: abort.signal.aborted ? 'silent' : 'refused' };
    }
    if (body?.kind === 'paused') {
      sent.res.destroy();
      this.deps.onNoMemory();
    }
    const decoded = body?.kind === 'complete' ? protocol.decode(body.body) : undefined;
    memory.release();
    const paceMs = decoded && entry.progress.onRuns(decoded.runs, timers.now());
    const report = decoded && { ...decoded, ...(paceMs === undefined ? {} : { paceMs }) };
    const target = { ...record, bornAt: report?.bornAt ?? record.bornAt };
    const signals = protocol.readTargetSignals(sent.res);
    state.onTargetSignals(target, signals);
    rejections.onSignals(target, signals);
    entry.onContact(timers.now());
    // A report without a start time tells of a start as any other answer does.
    if (report?.bornAt === undefined) witness.onAnswer(entry, sent.openedAt, askedAt);
    else if (report.bornAt === record.bornAt) witness.onTold(entry, askedAt);
    if (!report) return { kind: 'none' };
    const slowness = protocol.readSlowness(sent.res);
    work.updateLoadReport(
      { ...report, ...(slowness === undefined ? {} : { slowness }) },
      timers.now(),
    );
    if (report.bornAt !== undefined && state.onStart(target, askedAt)) announceStart(target);
    // A report of another start may have runs of another version.
    if (streams.isLearning && report.bornAt === record.bornAt) {
      streams.onRuns(
        entry,
        report.runs.map(({ id }) => id),
      );
    }
    return { kind: 'report', report };
  }
}
