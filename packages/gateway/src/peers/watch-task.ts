/**
 * Task that decides whether this gateway watches the source, and sends changes to the other gateways
 * of the region, so that only some of them load the source.
 */
import {
  WatcherAssignment,
  isOlderRevision,
  type FleetConfig,
  type FleetState,
} from '@marjoramcart/core';
import type { Logger, Task, TimerService } from '@marjoramcart/runtime';
import type { FleetListener, FleetSource } from '../ports/fleet-source.js';
import type { GatewayState } from '../state/gateway-state.js';
import { changesBetween, type FleetUpdate } from './fleet-update.js';
import type { StateFetcher } from './state-fetcher.js';

const CHECK_INTERVAL_MS = 250;
/** Longest time between two updates. One is sent at each contact with the source. */
const MAX_UPDATE_INTERVAL_MS = 1000;
/** A gateway whose last contact with the source is older sends no updates, as others watch by then. */
const MAX_CONTACT_AGE_MS = 6000;

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

  private lastSentAt = -Infinity;

  /** When the source last responded to this gateway itself, monotonic ms. */
  private contactAt = -Infinity;

  private stopChecks = (): void => undefined;

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
    this.stopChecks = timers.every(CHECK_INTERVAL_MS, () => {
      this.checkAssignment();
      if (timers.now() - this.lastSentAt >= MAX_UPDATE_INTERVAL_MS) this.sendUpdate();
    });
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.stopChecks();
    this.deps.source.stop();
    return Promise.resolve();
  }

  onState(state: FleetState): void {
    this.contactAt = this.deps.timers.now();
    this.deps.state.onState(state);
    this.sendUpdate(state);
  }

  onConfig(config: FleetConfig): void {
    this.deps.state.onConfig(config);
  }

  onContact(): void {
    this.contactAt = this.deps.timers.now();
    this.deps.state.onContact();
    this.sendUpdate();
  }

  onFailure(reason: string): void {
    this.deps.state.onFailure(reason);
  }

  /**
   * Applies an update of another gateway of the region. A gateway that watches the source applies it
   * too, since its own watch may have stopped delivering, but waits for its own reads before it fetches.
   */
  onFleetUpdate(update: FleetUpdate): void {
    const { state, timers, source, fetcher } = this.deps;
    this.assignment.onUpdate(update.node, update.sourceAgeMs, timers.now());
    state.onPeerContact(update.sourceAgeMs);
    if (update.era !== undefined) state.onSourceEra(update.era, update.sourceAgeMs);
    state.onPeerVersions(update);
    const hasNewerConfig = update.configVersion > (state.config?.version ?? 0);
    if (hasNewerConfig && !this.watching) source.refreshConfig();
    const era = update.era ?? state.era;
    const reached = { era, revision: update.revision };
    if (isOlderRevision(reached, state)) return;
    const before = state.snapshot();
    const canApplyChanges =
      era === state.era && update.since !== undefined && update.since <= state.revision;
    if (before && canApplyChanges) state.applyFromPeer(withChanges(before, update), update.node);
    else if (isOlderRevision(state, reached) && !this.watching) fetcher.fetchFrom(update.node);
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
      era: state.era,
      revision: state.revision,
    });
  }

  private sendUpdate(current: FleetState | undefined = this.lastSent): void {
    const { node, timers, announce } = this.deps;
    const now = timers.now();
    const contactAgeMs = now - this.contactAt;
    if (!this.watching || !current || contactAgeMs > MAX_CONTACT_AGE_MS) return;
    const before = this.lastSent ?? current;
    this.lastSent = current;
    this.lastSentAt = now;
    announce({
      node,
      ...changesBetween(before, current),
      revision: current.revision,
      era: current.era,
      configVersion: current.config.version,
      sourceAgeMs: contactAgeMs,
      evacuated: [...current.evacuated],
    });
  }
}

function withChanges(state: FleetState, update: FleetUpdate): FleetState {
  const changed = new Set([...update.gone, ...update.targets.map(({ id }) => id)]);
  return {
    era: state.era,
    revision: update.revision,
    config: state.config,
    targets: [...state.targets.filter(({ id }) => !changed.has(id)), ...update.targets],
    evacuated: new Set(update.evacuated),
  };
}
