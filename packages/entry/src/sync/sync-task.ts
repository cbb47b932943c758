/**
 * Synchronises the entry's state through `entry.sync` with the control daemon of its VM, or with
 * another control daemon of the failure domain while the local one does not respond.
 */
import {
  MembershipTiming,
  ProcessRole,
  rendezvousOrder,
  sectionHashes,
  type EntryLoad,
  type EntrySyncParams,
  type EntrySyncResult,
  type SuspectRecord,
  type TargetObservation,
} from '@marjoramcart/core';
import type {
  Logger,
  RpcClient,
  RpcResult,
  Task,
  TimerService,
  Unsubscribe,
} from '@marjoramcart/runtime';
import type { EntryState } from '../state/entry-state.js';

const SYNC_TIMEOUT_MS = 1000;
/** Interval between attempts to reach a local control daemon that did not respond. */
const LOCAL_RETRY_MS = 2000;
const REVISION_HINT_INTERVAL_MS = 100;
const MAX_REVISION_HINT_WAIT_MS = 500;
const MAX_SYNC_AFTER_PAUSE_MS = 1000;

/** State that the entry sends with each sync, and the handler for received suspects. */
export interface SyncReports {
  load(): EntryLoad;
  takeObservations(): readonly TargetObservation[];
  suspects(): readonly SuspectRecord[];
  onSuspects(records: readonly SuspectRecord[]): void;
}

export interface SyncOptions {
  readonly control: string;
  readonly state: EntryState;
  /** Client used only by this task, which closes it. */
  readonly rpc: RpcClient;
  readonly timers: TimerService;
  readonly log: Logger;
  readonly reports: SyncReports;
}

export class SyncTask implements Task {
  readonly name = 'sync';

  private running: Promise<boolean> | undefined;

  private pendingSyncAfterPause: Promise<void> | undefined;

  private lastHintAt = Number.NEGATIVE_INFINITY;

  private failures = 0;

  /**
   * Whether the local control daemon responded to the last attempt. Its first response after a
   * failure is not used: a daemon that was frozen still has its old state.
   */
  private localResponded = true;

  /** Monotonic time of the next attempt to reach the local control daemon, ms. */
  private localRetryAt = Number.NEGATIVE_INFINITY;

  /** Failed syncs with other control daemons; each failure selects the next daemon. */
  private peerFailures = 0;

  private readonly subscriptions: Unsubscribe[] = [];

  constructor(private readonly options: SyncOptions) {}

  async start(): Promise<void> {
    const { timers } = this.options;
    this.subscriptions.push(
      timers.every(MembershipTiming.EntrySyncIntervalMs, () => {
        void this.sync();
      }),
      timers.onPause(({ durationMs }) => this.onPause(durationMs)),
    );
    await this.sync();
  }

  async stop(): Promise<void> {
    this.subscriptions.forEach((unsubscribe) => unsubscribe());
    await this.running;
    this.options.rpc.close();
  }

  /** Syncs once; a call during a sync joins it. False when no control daemon responded. */
  sync(): Promise<boolean> {
    this.running ??= this.exchangeUntilCurrent().finally(() => {
      this.running = undefined;
    });
    return this.running;
  }

  /** Waits for the sync that follows a pause; undefined when the state is not stale. */
  get syncAfterPause(): Promise<void> | undefined {
    return this.pendingSyncAfterPause;
  }

  /** Syncs when a message contains a higher revision: once per 100 ms, waiting at most 500 ms. */
  async onRevisionHint(revision: number): Promise<void> {
    const { state, timers } = this.options;
    const now = timers.now();
    if (!state.witness(revision) || now - this.lastHintAt < REVISION_HINT_INTERVAL_MS) return;
    this.lastHintAt = now;
    await Promise.race([this.sync(), this.delay(MAX_REVISION_HINT_WAIT_MS)]);
  }

  private onPause(durationMs: number): void {
    const { log } = this.options;
    log.warn('process was paused; waiting for a sync before dispatching requests', {
      duration_ms: Math.round(durationMs),
    });
    // A sync that began before the pause may return state from before it.
    const synced = Promise.resolve(this.running).then(() => this.sync());
    const pending = Promise.race([
      synced,
      this.delay(MAX_SYNC_AFTER_PAUSE_MS).then(() => {
        if (this.pendingSyncAfterPause === pending)
          log.warn('sync after a pause timed out; continuing with the previous state');
      }),
    ]).then(() => {
      if (this.pendingSyncAfterPause === pending) this.pendingSyncAfterPause = undefined;
    });
    this.pendingSyncAfterPause = pending;
  }

  private delay(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.options.timers.after(ms, resolve);
    });
  }

  /** Syncs once, and again with section hashes when there is a newer revision. */
  private async exchangeUntilCurrent(): Promise<boolean> {
    const { state } = this.options;
    const behind = state.revision === 0 || state.witnessedRevision > state.revision;
    const result = await this.exchange(behind);
    if (!result) return false;
    const missing = !result.delta && result.revision > state.revision;
    return missing ? (await this.exchange(true)) !== undefined : true;
  }

  private async exchange(withHashes: boolean): Promise<EntrySyncResult | undefined> {
    const { control, reports, timers } = this.options;
    const observations = reports.takeObservations();
    if (timers.now() >= this.localRetryAt) {
      const result = await this.sendSyncRequest(control, withHashes, observations);
      const isUsed = this.localResponded || this.fallbackControl() === undefined;
      this.localResponded = result !== undefined;
      if (result && isUsed) return this.applyResult(result, control);
      this.localRetryAt = timers.now() + LOCAL_RETRY_MS;
    }
    const peer = this.fallbackControl();
    if (peer === undefined) return undefined;
    const result = await this.sendSyncRequest(peer, withHashes, observations);
    if (result) return this.applyResult(result, peer);
    this.peerFailures += 1;
    return undefined;
  }

  /** Another control daemon of the failure domain; the entries of a VM are spread over them. */
  private fallbackControl(): string | undefined {
    const { control, state } = this.options;
    const others = state.view.processes
      .map(({ process }) => process)
      .filter(({ role, peerAddress }) => role === ProcessRole.Control && peerAddress !== control)
      .map(({ peerAddress }) => peerAddress);
    return rendezvousOrder(state.self.bootId, others)[this.peerFailures % others.length];
  }

  private async sendSyncRequest(
    address: string,
    withHashes: boolean,
    observations: readonly TargetObservation[],
  ): Promise<EntrySyncResult | undefined> {
    const { state, rpc, control, reports } = this.options;
    const params: EntrySyncParams = {
      process: state.self,
      load: reports.load(),
      ...(withHashes && { held: sectionHashes(state.snapshot) }),
      revision: state.revision,
      witnessedRevision: state.witnessedRevision,
      viewVersion: state.view.version,
      ...(state.viewOf !== undefined && { viewOf: state.viewOf }),
      observations,
      suspects: reports.suspects(),
    };
    const result = await rpc.call(address, 'entry.sync', params, SYNC_TIMEOUT_MS);
    if (address === control) this.recordLocalResult(result);
    return result.kind === 'ok' ? result.value : undefined;
  }

  private recordLocalResult(result: RpcResult<EntrySyncResult>): void {
    const { log } = this.options;
    if (result.kind === 'ok') {
      if (this.failures > 0) log.info('control daemon responds again');
      this.failures = 0;
      return;
    }
    this.failures += 1;
    if (this.failures === 1) log.warn('control daemon does not respond', { ...result.error });
  }

  private applyResult(result: EntrySyncResult, address: string): EntrySyncResult {
    const { state, reports, log, control } = this.options;
    const outcome = state.apply(result, address === control);
    if (outcome.kind === 'rejected') log.error('snapshot rejected', { reason: outcome.reason });
    if (outcome.kind === 'older')
      log.warn('older snapshot ignored', { revision: outcome.revision });
    const { view, changes } = result;
    const suspects = (view ?? changes)?.suspects;
    if (suspects) reports.onSuspects(suspects);
    return result;
  }
}
