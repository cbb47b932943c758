/**
 * Reads and watches the configuration service and the list of VMs, and applies accepted
 * configuration. Also runs the cold start of the daemon.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { SnapshotBuilder, ConfigChecker, isWatcher, type ConfigRange } from '@marjoramcart/core';
import type { Logger, Task, Unsubscribe } from '@marjoramcart/runtime';
import type { ControlMetrics } from '../control-metrics.js';
import type { ControlState } from '../control-state.js';
import type { PlatformClient, PlatformResult } from '../platform/platform-client.js';

/** Time after which the daemon becomes ready with the highest revision it has found so far. */
export const COLD_START_TIMEOUT_MS = 3000;

const WATCHER_CHECK_INTERVAL_MS = 250;
const RETRY_DELAY_MS = 1000;
/** The validation error of a rejected configuration is part of each gossip message. */
const MAX_ERROR_MESSAGE_CHARS = 300;
/** Pause between watches, so that a service that ends each watch at once is not flooded. */
const MIN_WATCH_INTERVAL_MS = 50;

/** Fetches the configuration and the list of VMs from peers; implemented by the gossip task. */
export interface PeerFetcher {
  /** Asks the seeds and known peers, and fetches from those with a newer version. */
  fetchFromPeers(): Promise<void>;
}

export interface ConfigTaskOptions {
  readonly state: ControlState;
  readonly platform: PlatformClient;
  readonly peers: PeerFetcher;
  readonly metrics: ControlMetrics;
  readonly log: Logger;
}

export class ConfigTask implements Task {
  readonly name = 'config';

  private readonly stopped = new AbortController();

  private readonly log: Logger;

  private readonly checker = new ConfigChecker();

  private readonly snapshots = new SnapshotBuilder();

  private watch: AbortController | undefined;

  private stopAssignmentCheck: Unsubscribe = () => {};

  /** Revision of the last stale response; each one is logged once. */
  private lastStaleRevision = -1;

  constructor(private readonly options: ConfigTaskOptions) {
    this.log = options.log.child('config');
  }

  /** Starts the cold start in the background; the daemon is ready when it is complete. */
  start(): Promise<void> {
    const { state } = this.options;
    this.stopAssignmentCheck = state.timers.every(WATCHER_CHECK_INTERVAL_MS, () =>
      this.checkAssignment(),
    );
    state.timers.onPause(() => this.watch?.abort());
    void this.coldStart();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.stopAssignmentCheck();
    this.stopped.abort();
    this.watch?.abort();
    return Promise.resolve();
  }

  /** Reads the changes from the configuration service and applies them if they are valid. */
  async readConfig(): Promise<boolean> {
    const { state, platform, metrics } = this.options;
    const result = await platform.readConfig(state.rawConfig.revision);
    if (result.kind === 'failed') {
      metrics.platformFailures.inc({ kind: 'config' });
      this.log.debug('failed to read from the configuration service', { reason: result.message });
      return false;
    }
    state.configServiceRespondedAt = state.timers.now();
    return this.applyRange(result.value);
  }

  /** Reads the list of VMs from the platform. */
  async readVms(): Promise<boolean> {
    const { state, platform, metrics } = this.options;
    const result = await platform.readVms();
    if (result.kind === 'ok') state.applyVmList(result.value, 'platform');
    else metrics.platformFailures.inc({ kind: 'vms' });
    return result.kind === 'ok';
  }

  private async coldStart(): Promise<void> {
    const { state, peers } = this.options;
    const reads = Promise.allSettled([this.readConfig(), this.readVms(), peers.fetchFromPeers()]);
    await Promise.race([reads, this.wait(COLD_START_TIMEOUT_MS)]);
    await this.waitForConfig();
    if (this.stopped.signal.aborted) return;
    state.coldStartComplete = true;
    this.log.info('cold start complete', { revision: state.config.revision });
  }

  private async waitForConfig(): Promise<void> {
    const { state, peers } = this.options;
    if (state.config.current || this.stopped.signal.aborted) return;
    await this.wait(RETRY_DELAY_MS);
    await Promise.allSettled([this.readConfig(), this.readVms(), peers.fetchFromPeers()]);
    await this.waitForConfig();
  }

  private checkAssignment(): void {
    const { state } = this.options;
    const { failureDomain, bootId } = state.self;
    const assigned =
      !this.stopped.signal.aborted &&
      state.coldStartComplete &&
      isWatcher(failureDomain, bootId, state.liveControlIds());
    if (assigned && !this.watch) {
      const watch = new AbortController();
      this.watch = watch;
      this.log.info('watching the platform');
      const loops = [this.watchConfig(watch.signal), this.watchVms(watch.signal)];
      void Promise.allSettled(loops).then(() => {
        if (this.watch === watch) this.watch = undefined;
      });
    } else if (!assigned) this.watch?.abort();
  }

  private async watchConfig(signal: AbortSignal): Promise<void> {
    const { state, platform } = this.options;
    await this.loop(signal, async () => {
      // A watcher that got its snapshot from peers first reads the raw values of that revision.
      if (state.rawConfig.revision < state.config.revision) return this.readConfig();
      const after = state.rawConfig.revision;
      const result = await platform.watchConfig(after, signal);
      if (signal.aborted) return true;
      return this.handleWatchResult(result, 'config_watch', async ({ revision }) => {
        state.configServiceRespondedAt = state.timers.now();
        if (revision > after) return this.readConfig();
        if (revision < after) this.reportStaleResponse(revision);
        return revision === after;
      });
    });
  }

  private async watchVms(signal: AbortSignal): Promise<void> {
    const { state, platform } = this.options;
    await this.loop(signal, async () => {
      const after = state.vms.current.version;
      const result = await platform.watchVms(after, signal);
      if (signal.aborted) return true;
      return this.handleWatchResult(result, 'vms_watch', async ({ version }) =>
        version > after ? this.readVms() : version === after,
      );
    });
  }

  /** Repeats `step` until `signal` is aborted; the wait after a failed step is longer. */
  private async loop(signal: AbortSignal, step: () => Promise<boolean>): Promise<void> {
    while (!signal.aborted) {
      // Each watch starts when the previous one has ended.
      // eslint-disable-next-line no-await-in-loop
      const ok = await step().catch((err: unknown) => {
        this.log.error('watch failed', { err });
        return false;
      });
      // eslint-disable-next-line no-await-in-loop
      if (!signal.aborted) await this.wait(ok ? MIN_WATCH_INTERVAL_MS : RETRY_DELAY_MS);
    }
  }

  private async handleWatchResult<Value>(
    result: PlatformResult<Value>,
    kind: string,
    use: (value: Value) => Promise<boolean>,
  ): Promise<boolean> {
    if (result.kind === 'ok') return use(result.value);
    this.options.metrics.platformFailures.inc({ kind });
    return false;
  }

  private applyRange(range: ConfigRange): boolean {
    const { state } = this.options;
    const { rawConfig } = state;
    const changed = range.revision > rawConfig.revision;
    if (!rawConfig.apply(range) || range.revision < state.config.revision) {
      this.reportStaleResponse(range.revision);
      return false;
    }
    if (changed) this.checkAndApply(range.revision);
    return true;
  }

  private checkAndApply(revision: number): void {
    const { state } = this.options;
    const result = this.checker.check(state.rawConfig.list());
    if (result.kind === 'accepted') {
      const snapshot = this.snapshots.build(revision, result.main, result.customers);
      if (state.applySnapshot(snapshot, 'platform')) {
        this.log.info('configuration accepted', { revision });
      }
      return;
    }
    const [first] = result.errors;
    const message = first
      ? `${first.file}:${first.line}:${first.column}: ${first.message}`.slice(
          0,
          MAX_ERROR_MESSAGE_CHARS,
        )
      : 'the configuration is invalid';
    state.config.reject({ revision, message });
    this.log.warn('configuration rejected; keeping the last accepted revision', {
      revision,
      reason: message,
      faults: result.errors.length,
    });
  }

  private reportStaleResponse(revision: number): void {
    const { state, metrics } = this.options;
    metrics.staleResponses.inc();
    state.rawConfig.countStaleResponse();
    if (revision === this.lastStaleRevision) return;
    this.lastStaleRevision = revision;
    this.log.warn('ignored a response of the configuration service with an older revision', {
      answered: revision,
      inForce: state.config.revision,
    });
  }

  private async wait(ms: number): Promise<void> {
    await delay(ms, undefined, { signal: this.stopped.signal }).catch(() => {});
  }
}
