/** Finds the places that may take a call now, best first. */
import {
  coldAllowance,
  ColdPacer,
  GatewayPhase,
  rankTargets,
  sharedPartOf,
  SharedPartHomes,
  sharedTokensOf,
  withRegions,
  type Candidate,
  type GatewayRecord,
  type PeerWork,
  type Place,
  type RandomSource,
  type RankedRequest,
  type RankedTarget,
  type RegionOption,
  type RegionWork,
  type ServicePace,
} from '@marjoramcart/core';
import type { TimerService } from '@marjoramcart/runtime';
import type { Call } from '../exchange/call.js';
import type { GossipTask } from '../peers/gossip-task.js';
import type { GatewaySettings } from '../settings.js';
import type { GatewayState } from '../state/gateway-state.js';
import type { TargetEntry } from '../state/target-entry.js';
import { SentAway } from './sent-away.js';
import { ServicePaces } from './service-paces.js';

/** Gateways that may join a region unseen. */
const SPARE_GATEWAYS = 1;
/** The summary of the own region is computed anew after this time. */
const REGION_WORK_LIFETIME_MS = 200;
/** Shared parts from this length on are cached in one region only, if possible. */
const LONG_SHARED_TOKENS = 1500;

export interface Places {
  readonly candidates: readonly Candidate[];
  /** Targets that take no request now. */
  readonly closed: readonly Place[];
}

export class Router {
  readonly paces: ServicePaces;

  private readonly pacer = new ColdPacer();

  private readonly sentAway = new SentAway();

  private readonly homes = new SharedPartHomes();

  private knownRegionWork: Record<string, RegionWork> = {};

  private regionWorkAt = -Infinity;

  /** All gateways seen in the own region, which share the rate of its cold targets. */
  private readonly regionGateways: Set<string>;

  constructor(
    private readonly settings: GatewaySettings,
    private readonly state: GatewayState,
    private readonly gossip: Pick<GossipTask, 'table' | 'roundTripMs'>,
    private readonly timers: TimerService,
    private readonly random: RandomSource,
  ) {
    this.paces = new ServicePaces(settings.tuning);
    this.regionGateways = new Set([settings.node]);
  }

  places(call: Call): Places {
    const now = this.timers.now();
    const usable = this.allowsRegion(call, this.settings.region)
      ? this.state.usableTargets(call.service)
      : [];
    const open = usable.filter((entry) => this.isOpen(entry, now));
    const pace = this.paceOf(call.service);
    const options = call.forwardedBy === undefined ? this.regionOptions(call, now) : [];
    const req: RankedRequest = {
      ...(call.head.prompt ? { prompt: call.head.prompt } : {}),
      priority: call.route.priority,
      latencyTargetMs: call.facts.latencyTargetMs,
    };
    const local = rankTargets(req, this.toRanked(call, open, options), pace, now);
    const candidates = withRegions(local, options, req, pace);
    const closed = usable
      .filter((entry) => !open.includes(entry))
      .map(({ record }): Place => ({ kind: 'target', id: record.id }));
    return { candidates, closed };
  }

  paceOf(service: string): ServicePace {
    return this.paces.of(service, this.state.service(service)?.engine !== undefined);
  }

  /** Counts a request against the rate of a cold target. */
  onSendToTarget(entry: TargetEntry): void {
    const now = this.timers.now();
    if (entry.coldUntil > now) this.pacer.onSend(entry.record.id, now);
  }

  onSendToPeer(call: Call, region: string, readMs: number): void {
    const { prompt } = call.head;
    this.sentAway.onSend(
      `${region} ${call.service}`,
      readMs,
      prompt ? sharedPartOf(prompt) : undefined,
      this.timers.now(),
    );
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
        .ownTargets()
        .filter(({ work }) => work.own.requests > 0)
        .map(({ record, work }) => [record.id, work.own]),
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

  private allowsRegion({ route }: Call, region: string): boolean {
    return route.allowedRegions.length === 0 || route.allowedRegions.includes(region);
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
      spare: SPARE_GATEWAYS,
    });
    return this.pacer.maySend(entry.record.id, allowance, now);
  }

  private regionOptions(call: Call, now: number): RegionOption[] {
    const ready = this.readyAway(call, now);
    const shared = call.head.prompt ? sharedPartOf(call.head.prompt) : undefined;
    const home = shared === undefined ? undefined : this.homeRegion(call, shared, ready);
    const regions = [...new Set(ready.map(({ region }) => region))];
    return regions.map((region) => {
      const place = `${region} ${call.service}`;
      const warm =
        shared !== undefined && (home === region || this.sentAway.hasShared(place, shared));
      return this.regionOption(call, region, ready, warm, now);
    });
  }

  /** Ready gateways of other regions whose targets may run the call. */
  private readyAway(call: Call, now: number): GatewayRecord[] {
    return this.gossip.table
      .alive(now)
      .filter(
        ({ region, phase, regionWork }) =>
          region !== this.settings.region &&
          phase === GatewayPhase.Ready &&
          regionWork[call.service] !== undefined &&
          this.allowsRegion(call, region),
      );
  }

  private regionOption(
    call: Call,
    region: string,
    ready: readonly GatewayRecord[],
    warm: boolean,
    now: number,
  ): RegionOption {
    const nodes = ready.filter((record) => record.region === region);
    const drawn = nodes[Math.floor(this.random.next() * nodes.length)] as GatewayRecord;
    const [freshest] = [...nodes].sort(
      (a, b) => this.gossip.table.ageMs(a.node, now) - this.gossip.table.ageMs(b.node, now),
    );
    const { node, regionWork } = freshest ?? drawn;
    const since = now - this.gossip.table.ageMs(node, now);
    const sent = this.sentAway.since(`${region} ${call.service}`, since);
    const gateways = this.regionGateways.size;
    return {
      region,
      node: drawn.node,
      work: regionWork[call.service] as RegionWork,
      roundTripMs: this.gossip.roundTripMs(drawn.node),
      sentSince: { requests: sent.requests * gateways, readMs: sent.readMs * gateways },
      warm,
    };
  }

  /** Region that a shared part belongs to, among those that may run the call. */
  private homeRegion(
    call: Call,
    shared: string,
    ready: readonly GatewayRecord[],
  ): string | undefined {
    const own = this.settings.region;
    const targets = this.allowsRegion(call, own)
      ? this.state.usableTargets(call.service).length
      : 0;
    const others = new Map(
      ready.map(({ region, regionWork }) => [region, regionWork[call.service]?.targets ?? 0]),
    );
    const regions = [...others.entries(), [own, targets] as const]
      .map(([region, count]) => ({ region, targets: count }))
      .sort((a, b) => (a.region < b.region ? -1 : 1));
    return this.homes.homeRegion(shared, regions);
  }

  /** Marks the target that is expected to hold the shared parts of the prompt. */
  private toRanked(
    call: Call,
    open: readonly TargetEntry[],
    options: readonly RegionOption[],
  ): RankedTarget[] {
    const { prompt } = call.head;
    const shared = prompt && sharedPartOf(prompt);
    const home =
      shared === undefined
        ? undefined
        : this.homes.homeTarget(
            shared,
            open.map(({ record }) => record.id),
          );
    // A long part is expected in its home region only, where all gateways send it.
    const elsewhere =
      prompt !== undefined &&
      sharedTokensOf(prompt) >= LONG_SHARED_TOKENS &&
      options.some(({ warm }) => warm);
    return open.map(({ record, work }) => ({
      id: record.id,
      failureDomain: record.failureDomain,
      slots: record.slots,
      work,
      holdsShared: record.id === home && !elsewhere,
    }));
  }
}

function isAvoided({ work }: TargetEntry, now: number): boolean {
  return work.avoidedUntil > now || work.isSilent(now);
}
