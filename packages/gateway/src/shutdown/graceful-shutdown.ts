/**
 * Shuts a gateway down in steps. It accepts all requests until callers have refreshed the directory,
 * then only those that end before the process does, and at last none. The last gateway of a region
 * that accepts requests takes its time, while another one restarts.
 */
import { GatewayPhase, canHandOver, type GatewayTable } from '@marjoramcart/core';
import type { Logger, TimerService } from '@marjoramcart/runtime';
import type { CallerTask } from '../callers/caller-task.js';
import type { GossipTask } from '../peers/gossip-task.js';

/** All requests are accepted for at most this time, as those that last longest end in the grace period. */
const MAX_ACCEPT_MS = 2800;
/** Time beyond the life of a directory response in which callers ask again. */
const REFRESH_MARGIN_MS = 300;
/** Part of the grace period that is reserved for the exit of the process. */
const EXIT_MARGIN_MS = 400;
/** Time in which connections are accepted that were established before the end; less if it is near. */
const MAX_PENDING_MS = 1000;
const MIN_PENDING_MS = 200;
const POLL_INTERVAL_MS = 50;
const ACCEPTING: ReadonlySet<GatewayPhase> = new Set([
  GatewayPhase.Ready,
  GatewayPhase.Draining,
  GatewayPhase.Finishing,
]);

export interface GracefulShutdownDeps {
  readonly node: string;
  readonly graceMs: number;
  /** Life of a directory response, ms. */
  readonly directoryTtlMs: number;
  readonly callers: Pick<
    CallerTask,
    'announceClose' | 'acceptOnlyUntil' | 'refuseNew' | 'refusePending' | 'requestsInFlight'
  >;
  readonly gossip: Pick<GossipTask, 'announce' | 'regionPeers'>;
  readonly table: Pick<GatewayTable, 'leavingAt'>;
  /** Shortest timeout of a route, ms. */
  readonly shortestTimeoutMs: () => number;
  readonly timers: TimerService;
  readonly log: Logger;
}

export class GracefulShutdown {
  private currentPhase: GatewayPhase | undefined;

  private startTime: number | undefined;

  constructor(private readonly deps: GracefulShutdownDeps) {}

  /** Undefined before the shutdown. */
  get phase(): GatewayPhase | undefined {
    return this.currentPhase;
  }

  /** When the shutdown started, monotonic ms; undefined before. */
  get startedAt(): number | undefined {
    return this.startTime;
  }

  /** Resolves when no request is in flight, or at the end of the grace period. */
  async run(): Promise<void> {
    const { graceMs, directoryTtlMs, callers, shortestTimeoutMs, timers, log } = this.deps;
    const startedAt = timers.now();
    this.startTime = startedAt;
    const endAt = startedAt + graceMs - EXIT_MARGIN_MS;
    this.enter(GatewayPhase.Draining);
    callers.announceClose();
    const refreshedAt = startedAt + directoryTtlMs + REFRESH_MARGIN_MS;
    await this.waitUntil(
      startedAt + MAX_ACCEPT_MS,
      () => timers.now() >= refreshedAt && this.canHandOver(startedAt),
    );
    callers.acceptOnlyUntil(endAt);
    this.enter(GatewayPhase.Finishing);
    // Later on, no request of any route is sure to end in time.
    const closeAt = endAt - shortestTimeoutMs();
    await this.waitUntil(closeAt, () => this.isIdle() && this.othersAccept());
    this.enter(GatewayPhase.Closing);
    callers.refuseNew();
    // The announcement leaves the process before its socket is closed.
    await this.pause();
    await this.waitUntil(endAt, () => this.isIdle());
    const leftMs = endAt - timers.now();
    await callers.refusePending(Math.min(Math.max(leftMs, MIN_PENDING_MS), MAX_PENDING_MS));
    log.info('drain ended', { in_flight: callers.requestsInFlight });
  }

  private enter(phase: GatewayPhase): void {
    const { gossip, log, callers } = this.deps;
    this.currentPhase = phase;
    gossip.announce();
    log.info('shutdown proceeds', { phase, in_flight: callers.requestsInFlight });
  }

  private isIdle(): boolean {
    return this.deps.callers.requestsInFlight === 0;
  }

  private canHandOver(startedAt: number): boolean {
    const { node, gossip, table } = this.deps;
    const others = gossip.regionPeers().map((peer) => ({
      node: peer.node,
      phase: peer.phase,
      leavingAt: table.leavingAt(peer.node),
    }));
    return canHandOver(node, startedAt, others);
  }

  /** Whether another gateway of the region accepts at least short requests. */
  private othersAccept(): boolean {
    return this.deps.gossip.regionPeers().some(({ phase }) => ACCEPTING.has(phase));
  }

  /** Waits until a condition holds, at most until `endAt`. */
  private async waitUntil(endAt: number, condition: () => boolean): Promise<void> {
    if (this.deps.timers.now() >= endAt || condition()) return;
    await this.pause();
    await this.waitUntil(endAt, condition);
  }

  private pause(): Promise<void> {
    return new Promise((resolve) => {
      this.deps.timers.after(POLL_INTERVAL_MS, resolve);
    });
  }
}
