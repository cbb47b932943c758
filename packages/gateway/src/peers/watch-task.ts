/**
 * Task that decides whether this gateway watches the source, and sends changes to the other gateways
 * of the region, so that only some of them load the source.
 */
import { WatcherAssignment, type FleetConfig, type FleetState } from '@marjoramcart/core';
import type { Logger, Task, TimerService } from '@marjoramcart/runtime';
import type { FleetListener, FleetSource } from '../ports/fleet-source.js';
import type { GatewayState } from '../state/gateway-state.js';
import { changesBetween, type FleetUpdate } from './fleet-update.js';
import type { StateFetcher } from './state-fetcher.js';

const CHECK_INTERVAL_MS = 250;
/** Interval of updates while nothing changes. */
const UPDATE_INTERVAL_MS = 1000;
/**
 * Updates from a gateway whose last contact with the source is older are ignored. A watch without
 * changes lasts 5 s.
 */
const MAX_SOURCE_AGE_MS = 6500;

export interface WatchTaskDeps {
  readonly node: string;
  readonly state: GatewayState;
  readonly source: FleetSource;
  readonly fetcher: StateFetcher;
  readonly timers: TimerService;
  readonly log: Logger;
  /** Names of the live gateways of the region, this one included. */
  readonly gateways: () => readonly string[];
  readonly announce: (update: FleetUpdate) => void;
}

export class WatchTask implements Task, FleetListener {
  readonly name = 'watch';

  private readonly assignment: WatcherAssignment;

  private watching = true;

  /** State at the last update that was sent. */
  private lastSent: FleetState | undefined;

  private stopChecks = (): void => undefined;

  private stopUpdates = (): void => undefined;

  constructor(private readonly deps: WatchTaskDeps) {
    this.assignment = new WatcherAssignment(deps.node, deps.timers.now());
  }

  /** Whether this gateway watches the source itself. */
  get isWatching(): boolean {
    return this.watching;
  }

  start(): Promise<void> {
    const { source, timers } = this.deps;
    source.start(this);
    this.stopChecks = timers.every(CHECK_INTERVAL_MS, () => this.checkAssignment());
    this.stopUpdates = timers.every(UPDATE_INTERVAL_MS, () => this.sendUpdate());
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.stopChecks();
    this.stopUpdates();
    this.deps.source.stop();
    return Promise.resolve();
  }

  onState(state: FleetState): void {
    this.deps.state.onState(state);
    this.sendUpdate(state);
  }

  onConfig(config: FleetConfig): void {
    this.deps.state.onConfig(config);
  }

  onContact(): void {
    this.deps.state.onContact();
  }

  onFailure(reason: string): void {
    this.deps.state.onFailure(reason);
  }

  /** Applies an update of another gateway of the region. */
  onFleetUpdate(update: FleetUpdate): void {
    const { state, timers, source, fetcher } = this.deps;
    state.onPeerVersions(update);
    if (update.sourceAgeMs > MAX_SOURCE_AGE_MS) return;
    this.assignment.onUpdate(update.node, timers.now());
    if (this.watching) return;
    state.onContact(update.sourceAgeMs);
    if (update.configVersion > (state.config?.version ?? 0)) source.refreshConfig();
    if (update.revision < state.revision) return;
    const before = state.snapshot();
    const canApplyChanges = update.since !== undefined && update.since <= state.revision;
    if (before && canApplyChanges) state.applyFromPeer(withChanges(before, update), update.node);
    else if (update.revision > state.revision) fetcher.fetchFrom(update.node);
  }

  private checkAssignment(): void {
    const { state, gateways, timers, log, source } = this.deps;
    // A gateway without a configuration always watches the source.
    const watching =
      state.config === undefined || this.assignment.shouldWatch(gateways(), timers.now());
    if (watching === this.watching) return;
    this.watching = watching;
    source.setWatching(watching);
    log.info(watching ? 'started watching the source' : 'stopped watching the source', {
      gateways: gateways().length,
      source_age_ms: Math.round(state.sourceAgeMs),
      revision: state.revision,
    });
  }

  private sendUpdate(current: FleetState | undefined = this.lastSent): void {
    const { node, state, announce } = this.deps;
    if (!this.watching || !current || state.sourceLost) return;
    const before = this.lastSent ?? current;
    this.lastSent = current;
    announce({
      node,
      ...changesBetween(before, current),
      revision: current.revision,
      configVersion: current.config.version,
      sourceAgeMs: state.sourceAgeMs,
      evacuated: [...current.evacuated],
    });
  }
}

function withChanges(state: FleetState, update: FleetUpdate): FleetState {
  const changed = new Set([...update.gone, ...update.targets.map(({ id }) => id)]);
  return {
    revision: update.revision,
    config: state.config,
    targets: [...state.targets.filter(({ id }) => !changed.has(id)), ...update.targets],
    evacuated: new Set(update.evacuated),
  };
}
