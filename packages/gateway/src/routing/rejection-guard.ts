/** Keeps targets that name a rejection limit from having to reject more than they bear. */
import {
  LimitNews,
  RateShares,
  RejectionCounter,
  RejectionLimits,
  Room,
  roomFor,
  spareSlots,
  type RejectionLimitRow,
  type TargetRecord,
} from '@marjoramcart/core';
import type { Logger, Metrics, TimerService } from '@marjoramcart/runtime';
import type { GossipTask } from '../peers/gossip-task.js';
import { NO_SIGNALS } from '../peers/signal-rows.js';
import type { TargetSignals } from '../ports/request-protocol.js';
import type { GatewaySettings } from '../settings.js';
import type { TargetEntry } from '../state/target-entry.js';

export interface RejectionGuardDeps {
  readonly settings: Pick<GatewaySettings, 'node'>;
  readonly gossip: Pick<GossipTask, 'roster' | 'announceTarget'>;
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** What a gateway assumes about a target whose service has a rejection limit. */
export interface RejectionAssumption {
  readonly rejectionsPerS: number;
  /** Rejections to all gateways in the last 1.3 s, as far as known. */
  readonly rejections: number;
  /** Slots that this gateway may always use. */
  readonly slotShare: number;
  readonly ownRequests: number;
}

/** Shares are of the roster, so that gateways which start or leave don't use one slot twice. */
const SHARE_RULE = { spareGateways: 0, dividesRest: true, assignedShare: 1 };

export class RejectionGuard {
  private readonly limits = new RejectionLimits();

  private readonly counter = new RejectionCounter();

  private readonly slotShares: RateShares;

  private readonly spareShares: RateShares;

  private readonly rejections;

  constructor(private readonly deps: RejectionGuardDeps) {
    const { settings, gossip, metrics } = deps;
    this.slotShares = new RateShares(settings.node, gossip.roster, SHARE_RULE);
    this.spareShares = new RateShares(settings.node, gossip.roster, SHARE_RULE);
    this.rejections = metrics.counter(
      'limited_rejections_total',
      'Requests rejected by targets that name a rejection limit.',
      ['service'],
    );
  }

  /**
   * Handles what a target said in a response.
   *
   * @param sentAt when the request was sent, monotonic ms; absent for load reports, which need not
   * name a limit
   */
  onSignals(
    { id, service }: TargetRecord,
    { rejectionLimit }: TargetSignals,
    sentAt?: number,
  ): void {
    const now = this.deps.timers.now();
    if (rejectionLimit !== undefined) {
      const news = this.limits.onNamed(service, rejectionLimit, now);
      if (news !== LimitNews.None) this.announce(service);
      if (news === LimitNews.Changed) this.logLimit(service, { target: id });
    } else if (sentAt !== undefined && this.limits.onNotNamed(service, sentAt, now)) {
      this.announce(service);
      this.logLimit(service, { target: id });
    }
  }

  /** Notes what targets said to another gateway. */
  onPeerLimits(rows: readonly RejectionLimitRow[], node: string): void {
    const now = this.deps.timers.now();
    rows
      .filter((row) => this.limits.onTold(row, now))
      .forEach(({ service }) => this.logLimit(service, { from: node }));
  }

  /** Handles a request of this gateway that a target rejected without running it. */
  onRejected({ id, service }: TargetRecord): void {
    if (this.limits.limitOf(service) === undefined) return;
    this.rejections.inc({ service });
    this.onPeerRejected(id);
    this.deps.gossip.announceTarget({
      kind: 'rejected',
      target: id,
      from: this.deps.settings.node,
    });
  }

  /** Handles the word of another gateway that a target rejected a request. */
  onPeerRejected(target: string): void {
    this.counter.onRejected(target, this.deps.timers.now());
  }

  /** The targets of a service that have room for one more request of this gateway. */
  withRoom(service: string, entries: readonly TargetEntry[], now: number): readonly TargetEntry[] {
    if (this.limits.limitOf(service) === undefined) return entries;
    const rooms = entries.map((entry) => ({ entry, room: this.roomAt(entry, now) }));
    const own = rooms.filter(({ room }) => room === Room.Own);
    const usable = own.length > 0 ? own : rooms.filter(({ room }) => room === Room.Spare);
    return usable.map(({ entry }) => entry);
  }

  /** Undefined when the service of the target has no rejection limit. */
  assumption({ record, work }: TargetEntry): RejectionAssumption | undefined {
    const rejectionsPerS = this.limits.limitOf(record.service);
    if (rejectionsPerS === undefined) return undefined;
    const rejections = this.counter.count(record.id, this.deps.timers.now());
    const slotShare = this.slotShares.of(record.id, record.slots);
    return { rejectionsPerS, rejections, slotShare, ownRequests: work.localWork.requests };
  }

  /** Limits of all services, for the gateways of the region. */
  rows(max: number): RejectionLimitRow[] {
    return this.limits.rows(max, this.deps.timers.now());
  }

  expire(): void {
    this.limits
      .expire(this.deps.timers.now())
      .forEach((service) => this.logLimit(service, { reason: 'not confirmed' }));
  }

  private roomAt({ record, work }: TargetEntry, now: number): Room {
    const { id, slots, service } = record;
    const rejectionsPerS = this.limits.limitOf(service) ?? Infinity;
    if (!this.deps.gossip.roster.isComplete(now)) return Room.None;
    return roomFor({
      slots,
      ownRequests: work.localWork.requests,
      allRequests: work.requests(now),
      slotShare: this.slotShares.of(id, slots),
      spareShare: this.spareShares.of(id, spareSlots(rejectionsPerS)),
      rejectionsPerS,
      rejections: this.counter.count(id, now),
    });
  }

  private announce(service: string): void {
    const { gossip, timers, settings } = this.deps;
    const row = this.limits.row(service, timers.now());
    if (!row) return;
    const rows = { ...NO_SIGNALS, rejectionLimits: [row] };
    gossip.announceTarget({ kind: 'signals', rows, from: settings.node });
  }

  private logLimit(service: string, fields: Readonly<Record<string, string>>): void {
    this.deps.log.info('rejection limit of service changed', {
      service,
      rejections_per_s: this.limits.limitOf(service),
      ...fields,
    });
  }
}
