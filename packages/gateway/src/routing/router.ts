/** Ranks the destinations that may take a call now, best first. */
import {
  latenessCostMs,
  rankTargets,
  sampleTargets,
  sharedPrefixOf,
  SharedPrefixAffinity,
  sharedPrefixTokens,
  rankWithRemoteRegions,
  SharedRateLimiter,
  shareOf,
  type Candidate,
  type PeerWork,
  type Destination,
  type RandomSource,
  type RankedRequest,
  type RankedTarget,
  type RegionOption,
  type RegionWork,
  type ServiceSpeed,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/runtime';
import type { Call } from '../exchange/call.js';
import type { GossipTask } from '../peers/gossip-task.js';
import type { GatewaySettings } from '../settings.js';
import type { GatewayState } from '../state/gateway-state.js';
import type { ColdReason, TargetEntry } from '../state/target-entry.js';
import { RemoteRegions, allowsRegion } from './remote-regions.js';
import { ServiceSpeeds } from './service-speeds.js';

/** Allowance for gateways of the region that this gateway does not know yet. */
const SPARE_GATEWAYS = 1;
/** Window of the rate of a cold target; longer than one second, since delays can bunch requests together. */
const COLD_WINDOW_MS = 1300;
/** Lifetime of the cached summary of the local region. */
const REGION_WORK_LIFETIME_MS = 200;
/** Shared prefixes from this length on are cached in one region only, if possible. */
const LONG_SHARED_PREFIX_TOKENS = 1500;

export interface AvailableDestinations {
  readonly candidates: readonly Candidate[];
  /** Targets that can't take a request now. */
  readonly unavailable: readonly Destination[];
}

/** What a gateway assumes about a target whose service limits requests to cold targets. */
export interface ColdAssumption {
  /** How much longer the target is assumed to be cold, ms; 0 if it is assumed to be warm. */
  readonly coldForMs: number;
  /** Latest reason for which it was assumed to be cold. */
  readonly reason: ColdReason | undefined;
  /** Age of the target's record, ms. */
  readonly recordAgeMs: number;
  /** Requests that this gateway may send per rate window; undefined for a warm target. */
  readonly allowance: number | undefined;
  /** Number of gateways that share the rate. */
  readonly gateways: number;
}

export class Router {
  readonly speeds: ServiceSpeeds;

  private readonly coldLimiter: SharedRateLimiter;

  private readonly remoteRegions: RemoteRegions;

  private readonly affinity = new SharedPrefixAffinity();

  private cachedRegionWork: Record<string, RegionWork> = {};

  private regionWorkAt = -Infinity;

  constructor(
    private readonly settings: GatewaySettings,
    private readonly state: GatewayState,
    private readonly gossip: Pick<GossipTask, 'table' | 'regionPeers' | 'roster' | 'roundTripMs'>,
    private readonly timers: TimerService,
    private readonly random: RandomSource,
  ) {
    this.speeds = new ServiceSpeeds(settings.tuning);
    this.coldLimiter = new SharedRateLimiter({
      windowMs: COLD_WINDOW_MS,
      startedAt: timers.now(),
    });
    this.remoteRegions = new RemoteRegions({
      region: settings.region,
      state,
      gossip,
      random,
      senderCount: () => gossip.roster.size,
    });
  }

  /** Ranks the destinations of the next attempt; a forwarded call stays in the local region. */
  destinations(call: Call): AvailableDestinations {
    const now = this.timers.now();
    const usable = allowsRegion(call, this.settings.region)
      ? this.state.usableTargets(call.service)
      : [];
    const open = usable.filter((entry) => this.isOpen(entry, now));
    const options = call.forwardedBy === undefined ? this.remoteRegions.options(call, now) : [];
    const req: RankedRequest = {
      ...(call.head.prompt ? { prompt: call.head.prompt } : {}),
      priority: call.route.priority,
      latencyTargetMs: call.facts.latencyTargetMs,
    };
    const local = this.rankLocal(call, req, open, options, now);
    const candidates = rankWithRemoteRegions(
      local,
      options,
      req,
      this.speedOf(call.service),
      this.regionWork()[call.service],
    );
    const unavailable = usable
      .filter((entry) => !open.includes(entry))
      .map(({ record }): Destination => ({ kind: 'target', id: record.id }));
    return { candidates, unavailable };
  }

  /** Ranks a sample of the open targets, and a larger sample when even the best one would be late. */
  private rankLocal(
    call: Call,
    req: RankedRequest,
    open: readonly TargetEntry[],
    options: readonly RegionOption[],
    now: number,
  ): Candidate[] {
    const speed = this.speedOf(call.service);
    const gateways = this.gossip.regionPeers().length + 1;
    const preferred = this.preferredTarget(call, open);
    const isCachedLocally = preferred !== undefined && !this.isCachedRemotely(call, options);
    const rank = (late: boolean): Candidate[] =>
      rankTargets(
        req,
        sampleTargets(open, { gateways, preferred, late }, this.random).map(
          ({ record, work }): RankedTarget => ({
            id: record.id,
            failureDomain: record.failureDomain,
            slots: record.slots,
            work,
            sharedPrefixCached: isCachedLocally && record.id === preferred,
          }),
        ),
        speed,
        now,
      );
    const first = rank(false);
    const [best] = first;
    const isLate = best !== undefined && latenessCostMs(best.expectedFirstByteMs, req) > 0;
    return isLate && first.length < open.length ? rank(true) : first;
  }

  speedOf(service: string): ServiceSpeed {
    return this.speeds.of(service, this.state.service(service)?.engine !== undefined);
  }

  /** Counts a request against the rate of a cold target. */
  onSendToTarget(entry: TargetEntry): void {
    const now = this.timers.now();
    if (entry.coldUntil > now) this.coldLimiter.onSend(entry.record.id, now);
  }

  onSendToPeer(call: Call, region: string, prefillMs: number): void {
    this.remoteRegions.onSend(call, region, prefillMs, this.timers.now());
  }

  /** Load and capacity of the local region by service, for remote regions. */
  regionWork(): Record<string, RegionWork> {
    const now = this.timers.now();
    if (now - this.regionWorkAt >= REGION_WORK_LIFETIME_MS) {
      this.regionWorkAt = now;
      this.cachedRegionWork = this.sumRegionWork(now);
    }
    return this.cachedRegionWork;
  }

  private sumRegionWork(now: number): Record<string, RegionWork> {
    const services = [...(this.state.config?.services.keys() ?? [])];
    return Object.fromEntries(
      services
        .map((service) => [service, this.sumServiceWork(service, now)] as const)
        .filter(([, { targets }]) => targets > 0),
    );
  }

  /** Load that this gateway puts on targets, for the other gateways of the region. */
  localTargetWork(): Record<string, PeerWork> {
    return Object.fromEntries(
      this.state
        .localTargets()
        .filter(({ work }) => work.localWork.requests > 0)
        .map(({ record, work }) => [record.id, work.localWork]),
    );
  }

  private sumServiceWork(service: string, now: number): RegionWork {
    const entries = this.state
      .usableTargets(service)
      .filter((entry) => entry.coldUntil <= now && !isAvoided(entry, now));
    const sum = (value: (entry: TargetEntry) => number): number =>
      entries.reduce((total, entry) => total + value(entry), 0);
    return {
      targets: entries.length,
      slots: sum(({ record }) => record.slots),
      requests: sum(({ work }) => work.requests(now)),
      backlogMs: sum(({ work }) => work.prefillQueue.backlogMs(now)),
      memoryTokens: sum(({ work }) => work.memoryTokens(now)),
      memoryCapacityTokens: sum(({ work }) => work.memoryCapacityTokens),
    };
  }

  /** Undefined when the service of the target has no cold rate limit. */
  coldAssumption(id: string): ColdAssumption | undefined {
    const entry = this.state.target(id);
    const rate = this.coldRequestsPerS(entry);
    if (!entry || rate === 0) return undefined;
    const now = this.timers.now();
    const coldForMs = Math.max(0, entry.coldUntil - now);
    return {
      coldForMs,
      reason: entry.coldReason,
      recordAgeMs: now - entry.recordReceivedAt,
      allowance: coldForMs > 0 ? this.coldAllowanceOf(entry, rate) : undefined,
      gateways: this.gossip.roster.size,
    };
  }

  private isOpen(entry: TargetEntry, now: number): boolean {
    if (isAvoided(entry, now)) return false;
    if (entry.coldUntil <= now) return true;
    const rate = this.coldRequestsPerS(entry);
    if (rate === 0) return true;
    return this.coldLimiter.maySend(entry.record.id, this.coldAllowanceOf(entry, rate), now);
  }

  private coldRequestsPerS(entry: TargetEntry | undefined): number {
    return (entry && this.state.service(entry.record.service)?.coldRequestsPerS) ?? 0;
  }

  private coldAllowanceOf({ record }: TargetEntry, rate: number): number {
    const { roster } = this.gossip;
    // Gateways that divide the rate by different rosters would exceed it together.
    if (!roster.isComplete(this.timers.now())) return 0;
    const { factor, slack } = this.settings.coldRateLimit;
    return shareOf(record.id, this.settings.node, {
      requests: rate * factor + slack,
      gateways: roster.names,
      spareGateways: SPARE_GATEWAYS,
    });
  }

  /** Target of the region that is preferred for the shared prefix of a prompt. */
  private preferredTarget(call: Call, open: readonly TargetEntry[]): string | undefined {
    const shared = call.head.prompt && sharedPrefixOf(call.head.prompt);
    if (shared === undefined) return undefined;
    return this.affinity.preferredTarget(
      shared,
      open.map(({ record }) => record.id),
    );
  }

  /**
   * Whether the call has a long shared prefix that a remote region is assumed to cache. All gateways
   * send such calls there, so that no local target is assumed to cache the prefix.
   */
  private isCachedRemotely({ head }: Call, options: readonly RegionOption[]): boolean {
    return (
      head.prompt !== undefined &&
      sharedPrefixTokens(head.prompt) >= LONG_SHARED_PREFIX_TOKENS &&
      options.some(({ sharedPrefixCached }) => sharedPrefixCached)
    );
  }
}

function isAvoided({ work }: TargetEntry, now: number): boolean {
  return work.avoidedUntil > now || work.isUnresponsive(now);
}
