/** Task that decides whether this gateway watches the source, and shares what is watched. */
import { WatcherAssignment, type FleetConfig, type FleetState } from '@marjoramcart/core';
import type { Logger, Task, TimerService } from '@marjoramcart/runtime';
import type { FleetListener, FleetSource } from '../ports/fleet-source.js';
import type { GatewayState } from '../state/gateway-state.js';
import { changesBetween, type FleetUpdate } from './fleet-news.js';
import type { StateFetcher } from './state-fetcher.js';

const CHECK_MS = 250;
/** Time between two messages when nothing changes. */
const NEWS_MS = 1000;
/** A gateway whose source is silent for this long is not in contact; idle watches last 5 s. */
const CONTACT_MS = 6500;

export interface WatchTaskDeps {
  readonly node: string;
  readonly state: GatewayState;
  readonly source: FleetSource;
  readonly fetcher: StateFetcher;
  readonly timers: TimerService;
  readonly log: Logger;
  /** Names of the live gateways of the region, this one included. */
  readonly gateways: () => readonly string[];
  readonly announce: (news: FleetUpdate) => void;
}

export class WatchTask implements Task, FleetListener {
  readonly name = 'watch';

  private readonly duty: WatcherAssignment;

  private following = true;

  /** State of the last message. */
  private told: FleetState | undefined;

  private stopChecks = (): void => undefined;

  private stopNews = (): void => undefined;

  constructor(private readonly parts: WatchTaskDeps) {
    this.duty = new WatcherAssignment(parts.node, parts.timers.now());
  }

  /** Whether this gateway follows the source itself. */
  get isWatching(): boolean {
    return this.following;
  }

  start(): Promise<void> {
    const { source, timers } = this.parts;
    source.start(this);
    this.stopChecks = timers.every(CHECK_MS, () => this.check());
    this.stopNews = timers.every(NEWS_MS, () => this.tell());
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.stopChecks();
    this.stopNews();
    this.parts.source.stop();
    return Promise.resolve();
  }

  onState(state: FleetState): void {
    this.parts.state.onState(state);
    this.tell(state);
  }

  onConfig(config: FleetConfig): void {
    this.parts.state.onConfig(config);
  }

  onContact(): void {
    this.parts.state.onContact();
  }

  onFailure(reason: string): void {
    this.parts.state.onFailure(reason);
  }

  /** Takes what another gateway of the region tells. */
  onFleetUpdate(news: FleetUpdate): void {
    const { state, timers, source, fetcher } = this.parts;
    if (news.sourceAgeMs > CONTACT_MS) return;
    this.duty.onUpdate(news.node, timers.now());
    if (this.following) return;
    state.onContact(news.sourceAgeMs);
    if (news.configVersion > (state.config?.version ?? 0)) source.refreshConfig();
    if (news.revision < state.revision) return;
    const before = state.snapshot();
    const follows = news.since !== undefined && news.since <= state.revision;
    if (before && follows) state.applyFromPeer(withChanges(before, news), news.node);
    else if (news.revision > state.revision) fetcher.fetchFrom(news.node);
  }

  private check(): void {
    const { state, gateways, timers, log, source } = this.parts;
    // Without a state the source is read until one is there.
    const following = state.config === undefined || this.duty.shouldWatch(gateways(), timers.now());
    if (following === this.following) return;
    this.following = following;
    source.setWatching(following);
    log.info(following ? 'watches the source' : 'leaves the source to others', {
      gateways: gateways().length,
      source_age_ms: Math.round(state.sourceAgeMs),
      revision: state.revision,
    });
  }

  private tell(now: FleetState | undefined = this.told): void {
    const { node, state, announce } = this.parts;
    if (!this.following || !now || state.sourceLost) return;
    const before = this.told ?? now;
    this.told = now;
    announce({
      node,
      ...changesBetween(before, now),
      revision: now.revision,
      configVersion: now.config.version,
      sourceAgeMs: state.sourceAgeMs,
      evacuated: [...now.evacuated],
    });
  }
}

function withChanges(state: FleetState, news: FleetUpdate): FleetState {
  const changed = new Set([...news.gone, ...news.targets.map(({ id }) => id)]);
  return {
    revision: news.revision,
    config: state.config,
    targets: [...state.targets.filter(({ id }) => !changed.has(id)), ...news.targets],
    evacuated: new Set(news.evacuated),
  };
}
