/** Ranks the destinations that may take a call now, best first. */
import {
  allowsVersion,
  DeferralOutcomes,
  hashOf,
  isTooSlow,
  isTrialDue,
  maxPaceMs,
  latenessCostMs,
  rankTargets,
  sampleTargets,
  sharedPrefixOf,
  SharedPrefixAffinity,
  sharedPrefixTokens,
  rankWithRemoteRegions,
  PromptSizes,
  RateSharers,
  RateShares,
  requestsWithinLimit,
  SharedRateLimiter,
  TargetPauses,
  StreamLengths,
  usableShare,
  USUAL_BASELINE,
  usefulSlots,
  WaitingMix,
  type Candidate,
  type PeerWork,
  type Destination,
  type GapTargets,
  type LimitedShareRequest,
  type RandomSource,
  type RankedRequest,
  type RankedTarget,
  type RegionOption,
  type RegionWork,
  type ServiceSpeed,
  type SpeedFactors,
  type SpeedObservation,
  type TargetRecord,
  type VersionScope,
} from '@marjoramcart/core';
import type { Logger, TimerService } from '@marjoramcart/runtime';
import type { Call } from '../exchange/call.js';
import type { GossipTask } from '../peers/gossip-task.js';
import type { ReachWatch } from '../reach/reach-watch.js';
import type { GatewaySettings } from '../settings.js';
import type { GatewayState } from '../state/gateway-state.js';
import type { ColdReason, TargetEntry } from '../state/target-entry.js';
import { RegionPeers } from './region-peers.js';
import type { RejectionGuard } from './rejection-guard.js';
import { RemoteRegions, mayRunIn } from './remote-regions.js';
import { ServiceSpeeds } from './service-speeds.js';

const MS_PER_S = 1000;
/** Allowance for gateways of the region that this gateway does not know yet. */
const SPARE_GATEWAYS = 1;
/** Window of the rate of a cold target; longer than one second, since delays can bunch requests together. */
const COLD_WINDOW_MS = 1300;
/** Window of the rate that a target has named; longer than 4 s for the same reason. */
const LIMIT_WINDOW_MS = 4300;
/** Lifetime of the cached summary of the local region. */
const REGION_WORK_LIFETIME_MS = 200;
const HASH_RANGE = 2 ** 32;
/** Interval at which the median speed of the targets of a service is computed. */
const BASELINE_INTERVAL_MS = 100;
/** Shared prefixes from this length on are cached in one region only, if possible. */
const LONG_SHARED_PREFIX_TOKENS = 1500;

export interface AvailableDestinations {
  readonly candidates: readonly Candidate[];
  /** Targets that can't take a request now. */
  readonly unavailable: readonly Destination[];
  /** Time until the rate of a limited target allows the next request, ms; absent without such a target. */
  readonly opensInMs?: number;
  /** Whether late requests may be served after all others. */
  readonly mayDefer?: boolean;
}

/** What a gateway assumes about a target whose service limits requests to cold targets. */
export interface ColdAssumption {
  /** How much longer the target is assumed to be cold, ms; 0 if it is assumed to be warm. */
  readonly coldForMs: number;
  /** Latest reason for which it was assumed to be cold. */
  readonly reason: ColdReason | undefined;
  /** Start time of the target by its record, Unix ms; 0 if unknown. */
  readonly bornAt: number;
  /** Age of the target's record, ms. */
  readonly recordAgeMs: number;
  /** Requests that this gateway may send per rate window; undefined for a warm target. */
  readonly allowance: number | undefined;
  /** Number of gateways that share the rate. */
  readonly gateways: number;
}

/** What a gateway knows about a target that has named a rate limit. */
export interface LimitAssumption {
  readonly requestsPerS: number;
  /** Time since a response confirmed it, ms. */
  readonly ageMs: number;
  /** Requests that this gateway may send per rate window. */
  readonly share: number;
  /** Number of gateways that share the rate. */
  readonly gateways: number;
}

export class Router {
  readonly speeds: ServiceSpeeds;

  /** Lengths of streams by route. */
  readonly lengths = new StreamLengths();

  readonly deferrals = new DeferralOutcomes();

  private readonly pauses = new TargetPauses();

  private readonly waitingMix = new Map<string, WaitingMix>();

  private readonly coldLimiter: SharedRateLimiter;

  private readonly limitLimiter: SharedRateLimiter;

  private readonly sharers: RateSharers;

  private readonly coldShares: RateShares;

  private readonly limitShares: RateShares;

  private readonly remoteRegions: RemoteRegions;

  private readonly regionPeers: RegionPeers;

  private readonly promptSizes = new PromptSizes();

  private readonly affinity = new SharedPrefixAffinity();

  private cachedRegionWork: Record<string, RegionWork> = {};

  private regionWorkAt = -Infinity;

  private readonly baselinesAt = new Map<string, number>();

  constructor(
    private readonly settings: GatewaySettings,
    private readonly state: GatewayState,
    private readonly gossip: Pick<GossipTask, 'table' | 'regionPeers' | 'roster' | 'roundTripMs'>,
    private readonly timers: TimerService,
    private readonly random: RandomSource,
    private readonly reach: Pick<ReachWatch, 'isCutOff' | 'lastCut'>,
    readonly rejections: RejectionGuard,
    private readonly log: Logger,
  ) {
    this.speeds = new ServiceSpeeds(settings.tuning);
    this.coldLimiter = new SharedRateLimiter({
      windowMs: COLD_WINDOW_MS,
      startedAt: timers.now(),
    });
    this.limitLimiter = new SharedRateLimiter({
      windowMs: LIMIT_WINDOW_MS,
      startedAt: timers.now(),
      paced: true,
    });
    this.sharers = new RateSharers({
      roster: gossip.roster,
      table: gossip.table,
      reach: () => reach,
      now: () => timers.now(),
    });
    this.coldShares = new RateShares(settings.node, this.sharers, {
      spareGateways: SPARE_GATEWAYS,
    });
    this.limitShares = new RateShares(settings.node, this.sharers, {
      spareGateways: 0,
      dividesRest: true,
    });
    this.remoteRegions = new RemoteRegions({
      region: settings.region,
      state,
      gossip,
      random,
      senderCount: () => gossip.roster.size,
      graceMs: settings.graceMs,
    });
    this.regionPeers = new RegionPeers({ region: settings.region, gossip, random });
  }

  /**
   * Ranks the destinations of the next attempt; a forwarded call stays in the local region.
   *
   * @param scope targets that may go on with the stream of the call
   */
  destinations(call: Call, scope: VersionScope): AvailableDestinations {
    const now = this.timers.now();
    const usable = this.mayRunIn(call, this.settings.region)
      ? this.state
          .usableTargets(call.service)
          .filter(({ record }) => allowsVersion(scope, record.softwareVersion))
      : [];
    const share = this.limitedShareRequest(call, usable, now);
    const lateShare = { ...share, isLate: true };
    const openTargets = (req: LimitedShareRequest): readonly TargetEntry[] =>
      this.rejections.withRoom(
        call.service,
        usable.filter(
          (entry) =>
            this.isOpen(entry, now) &&
            allowsVersion(scope, entry.softwareVersionAt(now)) &&
            this.limitOpensInMs(entry, req, now) === 0,
        ),
        now,
      );
    const options =
      call.forwardedBy === undefined ? this.remoteRegions.options(call, scope, now) : [];
    const req: RankedRequest = {
      ...(call.head.prompt ? { prompt: call.head.prompt } : {}),
      priority: call.priority,
      latencyTargetMs: call.facts.latencyTargetMs,
      ...(call.head.prompt
        ? {
            shareAhead: this.mixOf(call.service).shareAhead(call.priority, now),
            ...(this.speeds.learnsSpeeds(call.service)
              ? { gapTargets: this.gapTargetsOf(call) }
              : {}),
          }
        : {}),
    };
    if (this.reach.isCutOff) {
      const local = this.candidatesViaPeers(call, req, usable, options, now);
      const speed = this.speedOf(call.service);
      const viaPeers = rankWithRemoteRegions(local, options, req, speed);
      return { candidates: this.withPace(call, viaPeers, now), unavailable: [] };
    }
    const first = openTargets(share);
    const firstRanked = this.rankLocal(call, req, first, options, now);
    const all = isLate(firstRanked[0], req) ? openTargets(lateShare) : first;
    const local =
      all.length > first.length ? this.rankLocal(call, req, all, options, now) : firstRanked;
    const ranked = rankWithRemoteRegions(
      local,
      options,
      req,
      this.speedOf(call.service),
      this.regionWork()[call.service],
    );
    const candidates = this.withPace(call, ranked, now);
    const open = new Set(all);
    const unavailable = usable
      .filter((entry) => !open.has(entry))
      .map(({ record }): Destination => ({ kind: 'target', id: record.id }));
    const opensInMs = Math.min(
      ...usable
        .map((entry) =>
          Math.max(this.limitOpensInMs(entry, lateShare, now), this.pauseMsOf(entry, now)),
        )
        .filter((ms) => ms > 0 && ms < Infinity),
    );
    return {
      candidates,
      unavailable,
      mayDefer: !this.limitsStreams || this.deferrals.mayDefer(call.service, now),
      ...(opensInMs < Infinity ? { opensInMs } : {}),
    };
  }

  /**
   * Whether streams are admitted by the pace and the queues of targets. That is for deployments whose
   * customers compete for capacity; the others are served as they were before.
   */
  private get limitsStreams(): boolean {
    return this.state.config?.customers !== undefined;
  }

  /** Marks the candidates whose streams are too slow for a call that begins a stream. */
  private withPace(call: Call, candidates: readonly Candidate[], now: number): Candidate[] {
    const { head, route, facts, service } = call;
    const events = head.prompt && this.lengths.longEvents(route.name, service);
    if (events === undefined || !this.limitsStreams) return [...candidates];
    const limitMs = maxPaceMs({
      gapTargetMs: route.gapTargetMs,
      streamMs: facts.deadlineAt - now - facts.latencyTargetMs,
      events,
    });
    // The steps of a call have to agree, and the gateways that handle it too.
    const sample = hashOf(head.id) / HASH_RANGE;
    return candidates.map((candidate) =>
      candidate.paceMs !== undefined && isTooSlow(candidate.paceMs, limitMs, sample)
        ? { ...candidate, tooSlow: true }
        : candidate,
    );
  }

  /** How the waiting requests of a service divide by priority. */
  mixOf(service: string): WaitingMix {
    const known = this.waitingMix.get(service) ?? new WaitingMix();
    this.waitingMix.set(service, known);
    return known;
  }

  private gapTargetsOf({ route, service }: Call): GapTargets {
    const othersMs = this.state.shortestGapTargetMs(service);
    return {
      ...(route.gapTargetMs === undefined ? {} : { ownMs: route.gapTargetMs }),
      ...(othersMs === undefined ? {} : { othersMs }),
    };
  }

  /** Local targets that other gateways of the region reach; none for a call that one of them forwarded. */
  private candidatesViaPeers(
    call: Call,
    req: RankedRequest,
    usable: readonly TargetEntry[],
    options: readonly RegionOption[],
    now: number,
  ): Candidate[] {
    if (call.forwardedBy !== undefined) return [];
    const [best] = this.rankLocal(call, req, usable, options, now);
    return best ? this.regionPeers.candidates(best) : [];
  }

  /** Whether the homes of a call's route and customer include a region, also by the configuration in force. */
  mayRunIn(call: Call, region: string): boolean {
    return mayRunIn(call, region, this.state);
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
            softwareVersion: record.softwareVersion,
            work,
            sharedPrefixCached: isCachedLocally && record.id === preferred,
            trial: this.isTrialDue({ id: record.id, work }, speed, gateways, now),
          }),
        ),
        speed,
        now,
      );
    const first = rank(false);
    return isLate(first[0], req) && first.length < open.length ? rank(true) : first;
  }

  speedOf(service: string): ServiceSpeed {
    this.updateBaseline(service);
    const speed = this.speeds.of(service, this.state.service(service)?.engine !== undefined);
    // Without a mean prefill time, waiting requests of other gateways count as before.
    return this.limitsStreams ? speed : { ...speed, promptMs: 0 };
  }

  /** Handles the time between two parts of a stream from a target. */
  onEventGap({ record, work }: TargetEntry, ms: number): void {
    const ratio = this.speeds.onGap(record.service, ms);
    if (ratio !== undefined) work.speed.onGap(ratio, this.timers.now());
  }

  /** Factors on times at a target. */
  speedFactorsOf({ record, work }: TargetEntry): SpeedFactors {
    this.updateBaseline(record.service);
    if (!this.speeds.learnsSpeeds(record.service)) {
      return { absolute: work.latencyFactor, relative: 1 };
    }
    return work.speedFactors(this.speeds.baselineOf(record.service), this.timers.now());
  }

  /** Relative factor of a target for the region, by what this gateway and others that told it have seen. */
  takeCollectedSpeed({ record, work }: TargetEntry): number | undefined {
    if (!this.speeds.learnsSpeeds(record.service)) return undefined;
    return work.speed.takeCollected(this.speeds.baselineOf(record.service), this.timers.now());
  }

  /** What this gateway has seen of a target since it last told others. */
  takeSpeedObservation({ record, work }: TargetEntry): SpeedObservation | undefined {
    if (!this.speeds.learnsSpeeds(record.service)) return undefined;
    return work.speed.takeObservation(this.speeds.baselineOf(record.service), this.timers.now());
  }

  private isTrialDue(
    { id, work }: Pick<RankedTarget, 'id' | 'work'>,
    { baseline = USUAL_BASELINE, learnsSpeeds }: ServiceSpeed,
    gateways: number,
    now: number,
  ): boolean {
    if (learnsSpeeds === false) return false;
    const factors = work.speedFactors(baseline, now);
    if (factors.relative <= 1) return false;
    const phase = hashOf(`${this.settings.node} ${id}`) / HASH_RANGE;
    return isTrialDue(factors, work.idleMs(now), { gateways, phase });
  }

  private updateBaseline(service: string): void {
    const now = this.timers.now();
    if (now - (this.baselinesAt.get(service) ?? -Infinity) < BASELINE_INTERVAL_MS) return;
    this.baselinesAt.set(service, now);
    const works = this.state.usableTargets(service).map(({ work }) => work);
    if (works.some(({ tellsSpeed }) => tellsSpeed)) this.speeds.onSpeedTold(service);
    if (!this.speeds.learnsSpeeds(service)) return;
    this.speeds.updateBaseline(
      service,
      works.map(({ speed }) => speed),
      now,
    );
  }

  /** Counts a request against the rates of its target. */
  onSendToTarget(entry: TargetEntry, { head, service }: Call): void {
    const now = this.timers.now();
    const { id } = entry.record;
    if (head.prompt) this.promptSizes.onSend(service, head.prompt);
    // Those sent before a target is known to be cold may still reach it within the same window.
    if (this.coldRequestsPerS(entry) > 0) this.coldLimiter.onSend(id, now);
    if (this.state.rateLimitOf(entry) !== undefined) this.limitLimiter.onSend(id, now);
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
    const usable = this.state
      .usableTargets(service)
      .filter((entry) => entry.coldForMs(now) === 0 && !isAvoided(entry, now));
    const sum = (value: (entry: TargetEntry) => number): number =>
      usable.reduce((total, entry) => total + value(entry), 0);
    return {
      targets: Math.ceil(sum((entry) => this.usableSlotsOf(entry) / entry.record.slots)),
      slots: Math.round(sum((entry) => this.usableSlotsOf(entry))),
      requests: sum(({ work }) => work.requests(now)),
      backlogMs: sum(({ work }) =>
        Math.max(
          work.prefillQueue.backlogMs(now),
          work.waitingOfOthers(now) * (this.speedOf(service).promptMs ?? 0),
        ),
      ),
      memoryTokens: sum(({ work }) => work.memoryTokens(now)),
      memoryCapacityTokens: sum(({ work }) => work.memoryCapacityTokens),
      ...meanPace(usable, now),
    };
  }

  /** Slots of a target that requests can use at the rate that it has named. */
  usableSlotsOf(entry: TargetEntry): number {
    const requestsPerS = this.state.rateLimitOf(entry);
    const { service } = entry.record;
    const slots = usefulSlots(entry.record.slots, this.speedFactorsOf(entry).relative);
    if (requestsPerS === undefined) return slots;
    return Math.min(slots, (requestsPerS * this.speedOf(service).slotMs) / MS_PER_S);
  }

  /** Undefined when the service of the target has no cold rate limit. */
  coldAssumption(id: string): ColdAssumption | undefined {
    const entry = this.state.target(id);
    const rate = this.coldRequestsPerS(entry);
    if (!entry || rate === 0) return undefined;
    const now = this.timers.now();
    const coldForMs = entry.coldForMs(now);
    return {
      coldForMs,
      reason: entry.coldReasonAt(now),
      bornAt: entry.record.bornAt,
      recordAgeMs: now - entry.recordReceivedAt,
      allowance: coldForMs > 0 ? this.coldAllowanceOf(entry, rate) : undefined,
      gateways: this.sharers.size,
    };
  }

  /** Undefined when the target has named no rate limit. */
  limitAssumption(id: string): LimitAssumption | undefined {
    const entry = this.state.target(id);
    const requestsPerS = entry && this.state.rateLimitOf(entry);
    if (!entry || requestsPerS === undefined) return undefined;
    return {
      requestsPerS,
      ageMs: this.state.rateLimitAgeMs(entry) ?? 0,
      share: this.limitShareOf(id, requestsPerS),
      gateways: this.sharers.size,
    };
  }

  private isOpen(entry: TargetEntry, now: number): boolean {
    if (isAvoided(entry, now) || this.pauseMsOf(entry, now) > 0) return false;
    const isCold = entry.coldForMs(now) > 0;
    if (!isCold && !entry.warmth.mayTurnCold) return true;
    const rate = this.coldRequestsPerS(entry);
    if (rate === 0) return true;
    // What a target gets right before it becomes cold counts as well.
    const allowance = isCold
      ? this.coldAllowanceOf(entry, rate)
      : Math.floor(this.coldRequestsIn(rate));
    return this.coldLimiter.maySend(entry.record.id, allowance, now);
  }

  /**
   * Handles a target that may want no requests from this gateway for a while.
   *
   * @param pauseMs for how long, ms; undefined if it does not say so
   * @param requestId request that it rejected
   */
  onPause(target: TargetRecord, pauseMs: number | undefined, requestId: string): void {
    const now = this.timers.now();
    if (pauseMs === undefined || !this.pauses.onPause(target, pauseMs, now)) return;
    this.log.info('target wants no requests for a while', {
      target: target.id,
      pause_ms: Math.round(pauseMs),
      id: requestId,
    });
  }

  /** Whether a target wants no requests from this gateway now. */
  isPaused(entry: TargetEntry): boolean {
    return this.pauseMsOf(entry, this.timers.now()) > 0;
  }

  /** Forgets pauses that are over. */
  expire(): void {
    this.pauses.expire(this.timers.now());
  }

  private pauseMsOf({ record }: TargetEntry, now: number): number {
    return this.pauses.opensInMs(record, now);
  }

  private limitedShareRequest(
    { head, service, priority }: Call,
    usable: readonly TargetEntry[],
    now: number,
  ): LimitedShareRequest {
    return {
      hasUnlimitedTarget: usable.some(
        (entry) => this.state.rateLimitOf(entry) === undefined && !isAvoided(entry, now),
      ),
      isLarge: head.prompt === undefined || this.promptSizes.isLarge(service, head.prompt),
      isLeastUrgent: priority >= this.state.leastUrgentPriority(service),
      isLate: false,
    };
  }

  /** Time until the rate that a target has named allows a request of this gateway, ms; 0 if it does. */
  private limitOpensInMs(entry: TargetEntry, req: LimitedShareRequest, now: number): number {
    const requestsPerS = this.state.rateLimitOf(entry);
    if (requestsPerS === undefined) return 0;
    const share = usableShare(this.limitShareOf(entry.record.id, requestsPerS), req);
    return Math.max(0, this.limitLimiter.opensInMs(entry.record.id, share, now));
  }

  private limitShareOf(target: string, requestsPerS: number): number {
    if (!this.sharers.mayUseShare()) return 0;
    return this.limitShares.of(target, requestsWithinLimit(requestsPerS));
  }

  private coldRequestsPerS(entry: TargetEntry | undefined): number {
    return (entry && this.state.service(entry.record.service)?.coldRequestsPerS) ?? 0;
  }

  private coldAllowanceOf({ record }: TargetEntry, rate: number): number {
    // Gateways that divide the rate by different rosters would exceed it together.
    if (!this.sharers.mayUseShare()) return 0;
    return this.coldShares.of(record.id, this.coldRequestsIn(rate));
  }

  /** Requests that a cold target takes within a window from all gateways together. */
  private coldRequestsIn(rate: number): number {
    const { factor, slack } = this.settings.coldRateLimit;
    return rate * factor + slack;
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

function isLate(best: Candidate | undefined, req: RankedRequest): boolean {
  return best !== undefined && latenessCostMs(best.expectedFirstByteMs, req) > 0;
}

/** Mean pace of the streams of targets whose pace is known. */
function meanPace(targets: readonly TargetEntry[], now: number): Pick<RegionWork, 'paceMs'> {
  const paces = targets.map(({ work }) => work.paceMs(now)).filter((ms) => ms !== undefined);
  if (paces.length === 0) return {};
  return { paceMs: paces.reduce((sum, ms) => sum + ms, 0) / paces.length };
}
