/**
 * Keeps the entry's state up to date by `entry.sync` with the control daemon of the VM, or with
 * another one of the failure domain while that one does not answer.
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
/** Pause between attempts to reach a local control daemon that did not answer. */
const LOCAL_RETRY_MS = 2000;
const HINT_INTERVAL_MS = 100;
const HINT_WAIT_MS = 500;
const PAUSE_WAIT_MS = 1000;

/** What the entry reports with each sync. */
export interface SyncReports {
  load(): EntryLoad;
  takeObservations(): readonly TargetObservation[];
  suspects(): readonly SuspectRecord[];
  learnSuspects(records: readonly SuspectRecord[]): void;
}

export interface SyncOptions {
  readonly control: string;
  readonly state: EntryState;
  /** Client for these messages only; closed with the task. */
  readonly rpc: RpcClient;
  readonly timers: TimerService;
  readonly log: Logger;
  readonly reports: SyncReports;
}

export class SyncTask implements Task {
  readonly name = 'sync';

  private running: Promise<boolean> | undefined;

  private fresh: Promise<void> | undefined;

  private lastHintAt = Number.NEGATIVE_INFINITY;

  private failures = 0;

  /**
   * Whether the local control daemon answered the last attempt. Its first answer after a failure is
   * not used: a daemon that was frozen still holds its state from before.
   */
  private localAnswered = true;

  /** Monotonic time of the next attempt to reach the local control daemon, ms. */
  private localRetryAt = Number.NEGATIVE_INFINITY;

  /** Failed syncs with other control daemons; each one moves on to the next of them. */
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

  /** Syncs once; a call during a sync joins it. False when no control daemon answered. */
  sync(): Promise<boolean> {
    this.running ??= this.exchangeAll().finally(() => {
      this.running = undefined;
    });
    return this.running;
  }

  /** Waits for the sync that follows a pause; undefined when the state is not stale. */
  get syncAfterPause(): Promise<void> | undefined {
    return this.fresh;
  }

  /** Follows the hint of a higher revision: one sync per 100 ms, a wait of at most 500 ms. */
  async onRevisionHint(revision: number): Promise<void> {
    const { state, timers } = this.options;
    const now = timers.now();
    if (!state.witness(revision) || now - this.lastHintAt < HINT_INTERVAL_MS) return;
    this.lastHintAt = now;
    await Promise.race([this.sync(), this.delay(HINT_WAIT_MS)]);
  }

  private onPause(durationMs: number): void {
    const { log } = this.options;
    log.warn('process was paused, syncing before serving', { duration_ms: Math.round(durationMs) });
    // A sync that began before the pause may bring state from before it.
    const synced = Promise.resolve(this.running).then(() => this.sync());
    const fresh = Promise.race([
      synced,
      this.delay(PAUSE_WAIT_MS).then(() => {
        if (this.fresh === fresh) log.warn('no sync after a pause, continuing with held state');
      }),
    ]).then(() => {
      if (this.fresh === fresh) this.fresh = undefined;
    });
    this.fresh = fresh;
  }

  private delay(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.options.timers.after(ms, resolve);
    });
  }

  /** Exchanges once, and once more with section hashes when there is a newer revision. */
  private async exchangeAll(): Promise<boolean> {
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
      const result = await this.ask(control, withHashes, observations);
      const isUsed = this.localAnswered || this.otherControl() === undefined;
      this.localAnswered = result !== undefined;
      if (result && isUsed) return this.take(result, control);
      this.localRetryAt = timers.now() + LOCAL_RETRY_MS;
    }
    const peer = this.otherControl();
    if (peer === undefined) return undefined;
    const result = await this.ask(peer, withHashes, observations);
    if (result) return this.take(result, peer);
    this.peerFailures += 1;
    return undefined;
  }

  /** Another control daemon of the failure domain; entries of one VM spread over them. */
  private otherControl(): string | undefined {
    const { control, state } = this.options;
    const others = state.view.processes
      .map(({ process }) => process)
      .filter(({ role, peerAddress }) => role === ProcessRole.Control && peerAddress !== control)
      .map(({ peerAddress }) => peerAddress);
    return rendezvousOrder(state.self.bootId, others)[this.peerFailures % others.length];
  }

  private async ask(
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
    if (address === control) this.noteLocal(result);
    return result.kind === 'ok' ? result.value : undefined;
  }

  private noteLocal(result: RpcResult<EntrySyncResult>): void {
    const { log } = this.options;
    if (result.kind === 'ok') {
      if (this.failures > 0) log.info('control daemon answers again');
      this.failures = 0;
      return;
    }
    this.failures += 1;
    if (this.failures === 1) log.warn('control daemon does not answer', { ...result.error });
  }

  private take(result: EntrySyncResult, address: string): EntrySyncResult {
    const { state, reports, log, control } = this.options;
    const outcome = state.apply(result, address === control);
    if (outcome.kind === 'rejected') log.error('snapshot rejected', { reason: outcome.reason });
    if (outcome.kind === 'older')
      log.warn('older snapshot ignored', { revision: outcome.revision });
    const { view, changes } = result;
    const suspects = (view ?? changes)?.suspects;
    if (suspects) reports.learnSuspects(suspects);
    return result;
  }
}
