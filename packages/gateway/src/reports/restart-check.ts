/**
 * Task that asks targets which may have restarted for their start time. A restarted target is cold, and
 * has to be known to be before it is back: its entry in the source tells of the restart much later.
 */
import type { TargetIncarnation } from '@marjoramcart/core';
import type { Task, TimerService } from '@marjoramcart/runtime';
import type { GatewayState } from '../state/gateway-state.js';
import { ColdReason, type TargetEntry } from '../state/target-entry.js';
import type { ReportPoller } from './report-poller.js';

const CHECK_INTERVAL_MS = 250;
/** Other gateways are told again that a target is unreachable after this time. */
const TELL_AGAIN_MS = 1500;

export interface RestartCheckDeps {
  readonly state: GatewayState;
  readonly poller: ReportPoller;
  readonly timers: TimerService;
  /** Tells the other gateways of the region that a target is unreachable. */
  readonly announceUnreachable: (target: string) => void;
  /** Tells them when a target started. */
  readonly announceStart: (target: TargetIncarnation) => void;
}

export class RestartCheck implements Task {
  readonly name = 'restarts';

  /** Targets that are being asked. */
  private readonly asked = new Set<TargetEntry>();

  /** When other gateways were told that a target is unreachable, monotonic ms. */
  private readonly toldAt = new Map<string, number>();

  private unsubscribe = (): void => undefined;

  constructor(private readonly deps: RestartCheckDeps) {}

  start(): Promise<void> {
    this.unsubscribe = this.deps.timers.every(CHECK_INTERVAL_MS, () => this.checkDoubted());
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.unsubscribe();
    return Promise.resolve();
  }

  /** Handles a connection to a target that broke during a request. */
  onConnectionLost(entry: TargetEntry): void {
    // Without reports, a broken connection can't be told from a restart.
    if (!this.sendsReports(entry)) return;
    this.deps.state.suspectRestart(entry.id, ColdReason.ConnectionLost);
    void this.check(entry);
  }

  /** Handles a target that accepted no connection for a request. */
  onUnreachable(entry: TargetEntry): void {
    const { state, timers, announceUnreachable } = this.deps;
    const now = timers.now();
    state.suspectRestart(entry.id, ColdReason.Unreachable);
    entry.work.onUnreachable(now);
    this.toldAt.set(entry.id, now);
    announceUnreachable(entry.id);
  }

  private checkDoubted(): void {
    const { state, timers } = this.deps;
    const now = timers.now();
    [...this.toldAt.keys()]
      .filter((id) => !state.target(id)?.isDoubted(now))
      .forEach((id) => this.toldAt.delete(id));
    state
      .doubtedTargets()
      .filter((entry) => this.sendsReports(entry))
      .forEach((entry) => {
        void this.check(entry);
      });
  }

  private async check(entry: TargetEntry): Promise<void> {
    if (this.asked.has(entry)) return;
    this.asked.add(entry);
    const { poller, state } = this.deps;
    const polled = await poller.poll(entry, { newConnection: true });
    this.asked.delete(entry);
    if (state.target(entry.id) !== entry) return;
    if (polled.kind === 'unreachable') this.onStillUnreachable(entry);
    if (polled.kind === 'report') this.onSameStart(entry);
  }

  private onStillUnreachable(entry: TargetEntry): void {
    const { state, timers } = this.deps;
    const now = timers.now();
    const isAvoided = entry.work.avoidedUntil > now;
    const wasTold = now - (this.toldAt.get(entry.id) ?? -Infinity) < TELL_AGAIN_MS;
    if (!isAvoided || !wasTold) this.onUnreachable(entry);
    else state.suspectRestart(entry.id, ColdReason.Unreachable);
  }

  private onSameStart({ record, work }: TargetEntry): void {
    work.onReachable();
    // Other gateways only know that it was unreachable.
    if (this.toldAt.delete(record.id)) this.deps.announceStart(record);
  }

  private sendsReports({ record }: TargetEntry): boolean {
    return this.deps.state.service(record.service)?.engine !== undefined;
  }
}
