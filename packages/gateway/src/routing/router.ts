/** Finds the places that may take a call now, best first. */
import {
  coldAllowance,
  ColdRateLimiter,
  latenessMs,
  rankTargets,
  sampleTargets,
  sharedPrefixOf,
  SharedPrefixAffinity,
  sharedPrefixTokens,
  rankWithRemoteRegions,
  type Candidate,
  type GatewayRecord,
  type PeerWork,
  type Place,
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
import type { TargetEntry } from '../state/target-entry.js';
import { RemoteRegions, allowsRegion } from './away-regions.js';
import { ServiceSpeeds } from './service-paces.js';

/** Gateways that may join a region unseen. */
const SPARE_GATEWAYS = 1;
/** The summary of the own region is computed anew after this time. */
const REGION_WORK_LIFETIME_MS = 200;
/** Shared parts from this length on are cached in one region only, if possible. */
const LONG_SHARED_TOKENS = 1500;

export interface AvailableDestinations {
  readonly candidates: readonly Candidate[];
  /** Targets that take no request now. */
  readonly closed: readonly Place[];
}

export class Router {
  readonly speeds: ServiceSpeeds;

  private readonly pacer = new ColdRateLimiter();

  private readonly away: RemoteRegions;

  private readonly homes = new SharedPrefixAffinity();

  private knownRegionWork: Record<string, RegionWork> = {};

  private regionWorkAt = -Infinity;

  /** All gateways seen in the own region, which share the rate of its cold targets. */
  private readonly regionGateways: Set<string>;

  constructor(
    private readonly settings: GatewaySettings,
    private readonly state: GatewayState,
    private readonly gossip: Pick<GossipTask, 'table' | 'near' | 'roundTripMs'>,
    private readonly timers: TimerService,
    private readonly random: RandomSource,
  ) {
    this.speeds = new ServiceSpeeds(settings.tuning);
    this.regionGateways = new Set([settings.node]);
    this.away = new RemoteRegions({
      region: settings.region,
      state,
      gossip,
      random,
      senders: () => this.regionGateways.size,
    });
  }

  destinations(call: Call): AvailableDestinations {
    const now = this.timers.now();
    const usable = allowsRegion(call, this.settings.region)
      ? this.state.usableTargets(call.service)
      : [];
    const open = usable.filter((entry) => this.isOpen(entry, now));
    const options = call.forwardedBy === undefined ? this.away.options(call, now) : [];
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
    const closed = usable
      .filter((entry) => !open.includes(entry))
      .map(({ record }): Place => ({ kind: 'target', id: record.id }));
    return { candidates, closed };
  }

  /** Ranks a sample of the open targets, and a larger one when all of it would be late. */
  private rankLocal(
    call: Call,
    req: RankedRequest,
    open: readonly TargetEntry[],
    options: readonly RegionOption[],
    now: number,
  ): Candidate[] {
    const pace = this.speedOf(call.service);
    const gateways = this.gossip.near().length + 1;
    const home = this.homeTarget(call, open);
    const holdsShared = home !== undefined && !this.isCachedElsewhere(call, options);
    const rank = (late: boolean): Candidate[] =>
      rankTargets(
        req,
        sampleTargets(open, { gateways, preferred: home, late }, this.random).map(
          ({ record, work }): RankedTarget => ({
            id: record.id,
            failureDomain: record.failureDomain,
            slots: record.slots,
            work,
            sharedPrefixCached: holdsShared && record.id === home,
          }),
        ),
        pace,
        now,
      );
    const first = rank(false);
    const [best] = first;
    const isLate = best !== undefined && latenessMs(best.expectedFirstByteMs, req) > 0;
    return isLate && first.length < open.length ? rank(true) : first;
  }

  speedOf(service: string): ServiceSpeed {
    return this.speeds.of(service, this.state.service(service)?.engine !== undefined);
  }

  /** Counts a request against the rate of a cold target. */
  onSendToTarget(entry: TargetEntry): void {
    const now = this.timers.now();
    if (entry.coldUntil > now) this.pacer.onSend(entry.record.id, now);
  }

  onSendToPeer(call: Call, region: string, readMs: number): void {
    this.away.onSend(call, region, readMs, this.timers.now());
  }

  /** Notes gateways of the own region, also those that are gone. */
  onGateway({ node, region }: GatewayRecord): void {
    if (region === this.settings.region) this.regionGateways.add(node);
  }

  /** Work of the own region by service, for other regions. */
  regionWork(): Record<string, RegionWork> {
    const now = this.timers.now();
    if (now - this.regionWorkAt >= REGION_WORK_LIFETIME_MS) {
      this.regionWorkAt = now;
      this.knownRegionWork = this.sumRegionWork(now);
    }
    return this.knownRegionWork;
  }

  private sumRegionWork(now: number): Record<string, RegionWork> {
    const services = [...(this.state.config?.services.keys() ?? [])];
    return Object.fromEntries(
      services
        .map((service) => [service, this.sumWork(service, now)] as const)
        .filter(([, { targets }]) => targets > 0),
    );
  }

  /** Own work at targets, for gateways of the own region. */
  ownTargetWork(): Record<string, PeerWork> {
    return Object.fromEntries(
      this.state
        .localTargets()
        .filter(({ work }) => work.localWork.requests > 0)
        .map(({ record, work }) => [record.id, work.localWork]),
    );
  }

  private sumWork(service: string, now: number): RegionWork {
    const entries = this.state
      .usableTargets(service)
      .filter((entry) => entry.coldUntil <= now && !isAvoided(entry, now));
    const sum = (value: (entry: TargetEntry) => number): number =>
      entries.reduce((total, entry) => total + value(entry), 0);
    return {
      targets: entries.length,
      slots: sum(({ record }) => record.slots),
      requests: sum(({ work }) => work.requests(now)),
      backlogMs: sum(({ work }) => work.prompts.backlogMs(now)),
      memoryTokens: sum(({ work }) => work.memoryTokens(now)),
      memoryCapacityTokens: sum(({ work }) => work.memoryCapacityTokens),
    };
  }

  private isOpen(entry: TargetEntry, now: number): boolean {
    if (isAvoided(entry, now)) return false;
    if (entry.coldUntil <= now) return true;
    const rate = this.state.service(entry.record.service)?.coldRequestsPerS ?? 0;
    if (rate === 0) return true;
    const { factor, slack } = this.settings.cold;
    const allowance = coldAllowance(entry.record.id, this.settings.node, {
      requestsPerS: rate * factor + slack,
      gateways: [...this.regionGateways],
      spareGateways: SPARE_GATEWAYS,
    });
    return this.pacer.maySend(entry.record.id, allowance, now);
  }

  /** Target of the region that the shared parts of a prompt belong to. */
  private homeTarget(call: Call, open: readonly TargetEntry[]): string | undefined {
    const shared = call.head.prompt && sharedPrefixOf(call.head.prompt);
    if (shared === undefined) return undefined;
    return this.homes.preferredTarget(
      shared,
      open.map(({ record }) => record.id),
    );
  }

  /** A long part is expected in its home region only, where all gateways send it. */
  private isCachedElsewhere({ head }: Call, options: readonly RegionOption[]): boolean {
    return (
      head.prompt !== undefined &&
      sharedPrefixTokens(head.prompt) >= LONG_SHARED_TOKENS &&
      options.some(({ sharedPrefixCached: warm }) => warm)
    );
  }
}

function isAvoided({ work }: TargetEntry, now: number): boolean {
  return work.avoidedUntil > now || work.isUnresponsive(now);
}
