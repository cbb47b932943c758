/** Local view of the fleet: configuration, targets and evacuated failure domains. */
import {
  ContactClock,
  EraTrust,
  EvacuatedDomains,
  GoneTargets,
  LeavingTargets,
  LimitNews,
  OlderCopy,
  RouteTable,
  TargetLimits,
  TargetWork,
  VersionHistory,
  VersionLag,
  customerDirectoryOf,
  isOlderRevision,
  priorityScaleOf,
  type CustomerDirectory,
  type EarlierTargets,
  type FleetConfig,
  type FleetCustomer,
  type FleetState,
  type PresentTargets,
  type RateLimitSignal,
  type Route,
  type ServiceSpec,
  type StateRevision,
  type TargetIncarnation,
  type TargetRecord,
} from '@marjoramcart/core';
import type { LogFields, Logger, TimerService, Unsubscribe } from '@marjoramcart/runtime';
import type { Call } from '../exchange/call.js';
import { NO_SIGNALS, type SignalRows } from '../peers/signal-rows.js';
import type { FleetListener } from '../ports/fleet-source.js';
import type { TargetSignals } from '../ports/request-protocol.js';
import type { StateMetrics } from './state-metrics.js';
import { ColdReason, TargetEntry } from './target-entry.js';

/** Entries can have expired if the source was not heard of, directly or through others, for this time. */
const OUTAGE_MS = 2500;
/** Targets whose entries expired while the source was unreachable register again within this time. */
const RELIST_MS = 2500;
/** After an evacuation, targets are assumed to be cold until their entries are updated. */
const COLD_AFTER_EVACUATION_MS = 2500;
const DEFAULT_CACHE_TOKENS = 400_000;
/** Limit of log lines about invalid rate limits. */
const MAX_INVALID_LIMITS = 256;

/** What another gateway has in force. */
export interface PeerVersions {
  readonly node: string;
  readonly configVersion: number;
  readonly revision: number;
  /** Not told by gateways of the previous release. */
  readonly era?: number;
}

export class GatewayState implements FleetListener {
  private currentConfig: FleetConfig | undefined;

  private routeTable = new RouteTable([]);

  private current: StateRevision = { era: 0, revision: 0 };

  /** Runs with contact to the source; what its copy lacks or lists too long is kept by this clock. */
  private readonly contact: ContactClock;

  private copy = new OlderCopy();

  private readonly eras = new EraTrust(OUTAGE_MS);

  /** Latest state of the source if it was refused for its era. */
  private refused: FleetState | undefined;

  private readonly evacuatedDomains = new EvacuatedDomains();

  private readonly targets = new Map<string, TargetEntry>();

  /** Whether any targets were listed since the start. */
  private hasListedTargets = false;

  private readonly leavingTargets = new LeavingTargets();

  private readonly goneTargets = new GoneTargets();

  private readonly limits = new TargetLimits();

  private readonly versions = new VersionHistory();

  /** Targets whose invalid limits were logged. */
  private readonly invalidLimits = new Set<string>();

  /** Usable targets by service; cleared at each change. */
  private readonly usableByService = new Map<string, TargetEntry[]>();

  private sourceFailing = false;

  /** Contact time. */
  private sourceRegainedAt = -Infinity;

  private readonly configLag = new VersionLag();

  private revisionLag = new VersionLag<StateRevision>(isOlderRevision);

  /** Latest version that was not put in force because its customers were not passed on. */
  private refusedConfigVersion = 0;

  /** Called once after the next configuration is in force. */
  private readonly configListeners = new Set<() => void>();

  constructor(
    private readonly region: string,
    private readonly timers: TimerService,
    private readonly log: Logger,
    private readonly metrics: StateMetrics,
    /** Tells the other gateways of the region what targets said about themselves. */
    private readonly announceSignals: (rows: SignalRows) => void,
    /** Called when the list of targets was applied. */
    private readonly onTargets: () => void = () => undefined,
    /** Whether a configuration is put in force only if it comes with the customers, if any. */
    private readonly requiresCustomers = false,
  ) {
    this.contact = new ContactClock(timers.now(), OUTAGE_MS);
  }

  get config(): FleetConfig | undefined {
    return this.currentConfig;
  }

  get routes(): RouteTable {
    return this.routeTable;
  }

  /** Route of a call by the configuration in force; its own if that has none for it any more. */
  routeInForce({ head, route, configVersion }: Call): Route {
    if (configVersion === this.currentConfig?.version) return route;
    return this.routeTable.match(head.host, head.path) ?? route;
  }

  /** Customers of the configuration in force; undefined if it has none. */
  get customers(): CustomerDirectory | undefined {
    return this.currentConfig && customerDirectoryOf(this.currentConfig);
  }

  /** Customer of a call by the configuration in force; its own if that has it no more. */
  customerInForce({ customer }: Call): FleetCustomer | undefined {
    return customer && (this.customers?.byName(customer.name) ?? customer);
  }

  /** Revision of the state within its era. */
  get revision(): number {
    return this.current.revision;
  }

  /** Era of the source; rises each time it comes back from an older copy. */
  get era(): number {
    return this.current.era;
  }

  get evacuated(): ReadonlySet<string> {
    return this.evacuatedDomains.inForce;
  }

  /** Time since the last response of the source to this gateway or to one that told this one, ms. */
  get sourceAgeMs(): number {
    return this.timers.now() - this.contact.contactAt;
  }

  /** How long the source has answered without an outage, ms; 0 while targets may be missed. */
  get sourceSteadyMs(): number {
    return this.mayMissTargets ? 0 : this.contact.now - this.sourceRegainedAt;
  }

  /** How long this gateway has known of a newer configuration than the one in force, ms. */
  get configBehindMs(): number {
    return this.configLag.behindMs(this.timers.now());
  }

  /** How long this gateway has known of a newer revision than its own, ms. */
  get revisionBehindMs(): number {
    return this.revisionLag.behindMs(this.timers.now());
  }

  /** Version of the newest configuration that this gateway has heard of. */
  get newestConfigVersion(): number {
    return Math.max(0, this.configLag.newestVersion ?? 0);
  }

  /** Priority of the least urgent requests for a service; 0 is the most urgent. */
  leastUrgentPriority(service: string): number {
    const routes = (this.currentConfig?.routes ?? []).filter(({ services }) =>
      services.some((share) => share.service === service),
    );
    if (this.currentConfig?.customers) {
      return priorityScaleOf(this.currentConfig).leastUrgent(routes);
    }
    return Math.max(...routes.map(({ priority }) => priority));
  }

  /** Shortest gap target of the routes of a service, ms; undefined if none has one. */
  shortestGapTargetMs(service: string): number | undefined {
    const targets = (this.currentConfig?.routes ?? [])
      .filter(({ services }) => services.some((share) => share.service === service))
      .flatMap(({ gapTargetMs }) => gapTargetMs ?? []);
    return targets.length === 0 ? undefined : Math.min(...targets);
  }

  /** Shortest timeout of a route, ms; Infinity without routes. */
  get shortestTimeoutMs(): number {
    return Math.min(...(this.currentConfig?.routes ?? []).map(({ timeoutMs }) => timeoutMs));
  }

  service(name: string): ServiceSpec | undefined {
    return this.currentConfig?.services.get(name);
  }

  target(id: string): TargetEntry | undefined {
    return this.targets.get(id);
  }

  /** Targets of a service in the local region that may be used. */
  usableTargets(service: string): readonly TargetEntry[] {
    const known = this.usableByService.get(service) ?? this.findUsable(service);
    this.usableByService.set(service, known);
    return known;
  }

  /** Whether a region has a target of a service and version that may be used. */
  servesVersion(region: string, service: string, version: string): boolean {
    return this.targetsOf(service).some(
      (entry) =>
        entry.record.region === region &&
        entry.record.softwareVersion === version &&
        this.mayUse(entry),
    );
  }

  /**
   * The only version of a service's software that can have begun a stream in the last time; undefined
   * if there were several, or if it is not known.
   */
  onlyVersionWithin(service: string, ms: number): string | undefined {
    const now = this.timers.now();
    return this.versions.onlyVersionSince(service, now - ms, this.presentTargets(service), now);
  }

  /** Whether earlier entries of the source could tell that version. */
  needsEarlierTargets(service: string, ms: number): boolean {
    const now = this.timers.now();
    return this.versions.needsEarlier(now - ms, this.presentTargets(service), now);
  }

  /** Whether targets may have been listed of which this gateway has not heard. */
  get mayMissTargets(): boolean {
    return this.sourceAgeMs > OUTAGE_MS || this.revisionBehindMs > 0;
  }

  /** Notes what the source tells about the time before this gateway started. */
  onEarlierTargets(earlier: EarlierTargets): void {
    this.versions.onEarlier(earlier, this.timers.now());
  }

  private presentTargets(service: string): PresentTargets {
    const records = this.targetsOf(service).map(({ record }) => record);
    return { records, wallMs: this.timers.wall() };
  }

  private targetsOf(service: string): TargetEntry[] {
    return [...this.targets.values()].filter(({ record }) => record.service === service);
  }

  /** Usable targets of all services with engines. */
  usableEngines(): readonly TargetEntry[] {
    return [...(this.currentConfig?.services.values() ?? [])]
      .filter(({ engine }) => engine !== undefined)
      .flatMap(({ name }) => this.usableTargets(name));
  }

  private findUsable(service: string): TargetEntry[] {
    return [...this.targets.values()].filter(
      (entry) =>
        entry.record.service === service &&
        entry.record.region === this.region &&
        this.mayUse(entry),
    );
  }

  /** Whether a target may get requests, as far as its entry and its responses tell. */
  mayUse({ record, misdirected, keptOutUntil }: TargetEntry): boolean {
    return (
      !record.draining &&
      !misdirected &&
      !this.evacuated.has(record.failureDomain) &&
      keptOutUntil <= this.contact.now &&
      !this.leavingTargets.isLeaving(record)
    );
  }

  /** Whether a start of a target is expected to end, or has left the list. */
  isLeaving({ id, bornAt }: TargetIncarnation): boolean {
    const entry = this.targets.get(id);
    return entry === undefined || (entry.record.bornAt === bornAt && !this.mayUse(entry));
  }

  /** All targets of the local region. */
  localTargets(): TargetEntry[] {
    return [...this.targets.values()].filter(({ record }) => record.region === this.region);
  }

  /**
   * State for a gateway that fetches it, with the time for which targets are cold from now on. A
   * doubt counts as such only where that gateway can't ask the target itself.
   */
  snapshotForPeer(): FleetState | undefined {
    const state = this.snapshot();
    const now = this.timers.now();
    return (
      state && {
        ...state,
        targets: state.targets.map((record) => ({
          ...record,
          coldForMs: Math.round(this.remainingColdMs(record, now)),
        })),
      }
    );
  }

  /** State that another gateway can apply; undefined before the first configuration. */
  snapshot(): FleetState | undefined {
    if (!this.currentConfig) return undefined;
    return {
      ...this.current,
      config: this.currentConfig,
      targets: [...this.targets.values()]
        .filter(({ dropAt }) => dropAt === undefined)
        .map(({ record }) => record),
      evacuated: this.evacuatedDomains.listed,
    };
  }

  onState(state: FleetState): void {
    this.noteContact();
    this.onSourceEra(state.era, 0);
    this.refused = state.era < this.era ? state : undefined;
    this.apply(state, 'source');
  }

  onConfig(config: FleetConfig): void {
    this.noteContact();
    this.applyConfig(config, 'source');
  }

  /** Applies a state that was received from another gateway. */
  applyFromPeer(state: FleetState, node: string): void {
    if (this.eras.mayBelieve(state.era, this.timers.now())) this.apply(state, node);
    else this.applyConfig(state.config, node);
  }

  /**
   * Notes the era that the source named to this gateway, or to one that told this one.
   *
   * @param ageMs time since the source responded
   */
  onSourceEra(era: number, ageMs: number): void {
    if (!this.eras.onRead(era, this.timers.now() - ageMs)) return;
    this.log.warn('era of the source was too high', { era, before: this.era });
    this.current = { era, revision: 0 };
    this.revisionLag = new VersionLag<StateRevision>(isOlderRevision);
    // There was no restore to that era.
    this.copy = new OlderCopy();
    this.eras.believe(era, this.timers.now());
  }

  /** Notes which versions another gateway has in force. */
  onPeerVersions({ node, configVersion, revision, era = this.era }: PeerVersions): void {
    const now = this.timers.now();
    if (this.eras.mayBelieve(era, now)) this.revisionLag.onHeard({ era, revision }, now);
    this.onPeerConfig(node, configVersion);
  }

  /** Notes which version of the configuration another gateway has in force. */
  onPeerConfig(node: string, configVersion: number): void {
    const now = this.timers.now();
    if (!this.configLag.onHeard(configVersion, now)) return;
    this.log.info('another gateway has a newer configuration', {
      version: configVersion,
      node,
      before: this.currentConfig?.version ?? 0,
      source_age_ms: Math.round(this.sourceAgeMs),
    });
  }

  /** Calls `fn` once after the next configuration is in force, unless unsubscribed before. */
  onNextConfig(fn: () => void): Unsubscribe {
    this.configListeners.add(fn);
    return () => this.configListeners.delete(fn);
  }

  onContact(): void {
    // The source has nothing newer than what was refused.
    if (this.refused) this.onState(this.refused);
    else this.noteContact();
  }

  private noteContact(): void {
    const lostMs = this.sourceAgeMs;
    this.onPeerContact(0);
    if (!this.sourceFailing) return;
    this.sourceFailing = false;
    this.log.info('configuration source regained', { lost_ms: Math.round(lostMs) });
    this.sourceRegainedAt = this.contact.now;
  }

  /** @param ageMs time since the source responded to another gateway */
  onPeerContact(ageMs: number): void {
    const wasAway = this.contact.onContact(this.timers.now() - ageMs);
    if (wasAway) this.sourceRegainedAt = this.contact.now;
  }

  onFailure(reason: string): void {
    this.metrics.onSourceFailure();
    if (this.sourceFailing) return;
    this.sourceFailing = true;
    this.log.warn('configuration source lost', {
      reason,
      version: this.currentConfig?.version ?? 0,
      ...this.current,
    });
  }

  /**
   * Assumes that a target may have restarted, with another version and cold if it has a warm-up, until it
   * tells its start time.
   */
  suspectRestart(id: string, reason: ColdReason): void {
    const entry = this.targets.get(id);
    if (!entry) return;
    const now = this.timers.now();
    const warmupMs = this.warmupMsOf(entry.record);
    if (warmupMs === 0 && !this.tellsStart(entry.record)) return;
    if (!entry.suspectRestart(warmupMs, reason, now)) return;
    if (warmupMs > 0) this.logCold(entry, now);
    else this.log.info('software version of target in doubt', { target: id, reason });
  }

  /**
   * Handles a pause of this process, in which targets may have restarted with other versions and whatever
   * told of it may have been lost.
   */
  onPause(durationMs: number): void {
    const now = this.timers.now();
    const entries = this.localTargets().filter(({ record }) => this.tellsStart(record));
    entries.forEach((entry) => entry.suspectVersion(ColdReason.Unconfirmed, now));
    this.log.info('software versions in doubt after a pause', {
      paused_ms: Math.round(durationMs),
      targets: entries.length,
    });
  }

  /** Whether a target tells its start time in load reports. */
  tellsStart({ service }: TargetRecord): boolean {
    return this.service(service)?.engine !== undefined;
  }

  /**
   * Handles the start time that a target told in a report.
   *
   * @param askedAt when it was asked, monotonic ms
   * @returns whether the start is new to this gateway
   */
  onStart({ id, address, bornAt }: TargetIncarnation, askedAt: number): boolean {
    const now = this.timers.now();
    const entry = this.targets.get(id);
    const known = entry?.record;
    if (!entry || entry.misdirected || known?.address !== address) return false;
    // Without a start time in its entry, it is not known whether this is another start.
    if (known.bornAt === 0 || bornAt === 0 || entry.isEarlierStart(bornAt, now)) return false;
    if (entry.isLateAnswer(bornAt, askedAt)) return false;
    if (known.bornAt !== bornAt) {
      this.onRestart(entry, bornAt, 'target');
      return true;
    }
    if (entry.confirmStart(askedAt, now)) {
      this.log.info('target has not restarted', { target: id, born: bornAt });
    }
    return false;
  }

  /**
   * Handles the start time that a target told another gateway. A doubt of this gateway stands until it
   * has asked the target itself, as the word may be older than it seems.
   */
  onPeerStart({ id, address, bornAt }: TargetIncarnation, node: string): void {
    const now = this.timers.now();
    const entry = this.targets.get(id);
    if (!entry || entry.misdirected || entry.record.address !== address) return;
    const { bornAt: known } = entry.record;
    if (known === 0 || entry.isEarlierStart(bornAt, now)) return;
    if (bornAt > known) this.onRestart(entry, bornAt, node);
    else if (bornAt === known && entry.isDoubtTold) entry.confirmStart(now, now);
  }

  /** Targets of the local region that may have restarted, by what this gateway saw itself. */
  doubtedTargets(): TargetEntry[] {
    const now = this.timers.now();
    return this.localTargets().filter(
      (entry) => entry.isDoubted(now) && !entry.isDoubtTold && !entry.misdirected,
    );
  }

  private remainingColdMs(record: TargetRecord, now: number): number {
    const entry = this.targets.get(record.id);
    if (!entry) return 0;
    return this.tellsStart(record) ? Math.max(0, entry.coldUntil - now) : entry.coldForMs(now);
  }

  /** Targets of the local region at an address. */
  targetsAt(address: string): TargetEntry[] {
    return this.localTargets().filter(({ record }) => record.address === address);
  }

  private onRestart(entry: TargetEntry, bornAt: number, from: string): void {
    const { record, dropAt } = entry;
    const warmupMs = this.warmupMsOf(record);
    // Its entry may still be that of the start before, which may have been of another version.
    const start = { bornAt, coldForMs: warmupMs, softwareVersion: undefined };
    const next = this.replaceTarget({ ...record, ...start }, entry, from);
    // The time counts from now, not from each time that this record is applied.
    next.record = { ...next.record, coldForMs: 0 };
    next.awaitsRecord = true;
    if (dropAt !== undefined) next.scheduleDrop(dropAt);
    next.listedEra = entry.listedEra;
  }

  private warmupMsOf({ service }: TargetRecord): number {
    return this.service(service)?.warmupMs ?? 0;
  }

  /**
   * Handles what a target said about itself in a response.
   *
   * @param requestId request that it answered; absent for its reports
   */
  onTargetSignals(
    target: TargetRecord,
    { leaving, rateLimit }: TargetSignals,
    requestId?: string,
  ): void {
    if (rateLimit.kind === 'invalid') this.onInvalidLimit(target, rateLimit.text, requestId);
    else this.onRateLimit(target, rateLimit, requestId);
    if (!leaving) return;
    this.metrics.onTargetSignal('leaving');
    if (!this.leavingTargets.onLeaving(target, this.timers.now())) return;
    const leavingRows = this.leavingTargets.rows(1, this.timers.now());
    this.announceSignals({ ...NO_SIGNALS, leaving: leavingRows });
    this.onNewLeaving(target, { id: requestId, draining: target.draining });
  }

  private onRateLimit(
    target: TargetRecord,
    signal: Exclude<RateLimitSignal, { kind: 'invalid' }>,
    requestId: string | undefined,
  ): void {
    // Targets need not name their limits in load reports.
    if (signal.kind === 'none' && requestId === undefined) return;
    if (signal.kind === 'limited') this.metrics.onTargetSignal('rate_limit');
    const before = this.limits.limitOf(target);
    const requestsPerS = signal.kind === 'limited' ? signal.requestsPerS : undefined;
    const now = this.timers.now();
    const news = this.limits.onSaid(target, requestsPerS, now);
    if (news === LimitNews.None) return;
    const row = this.limits.row(target, now);
    if (row) this.announceSignals({ ...NO_SIGNALS, limits: [row] });
    if (news === LimitNews.Renewed) return;
    this.logLimit(target.id, { limit_per_s: requestsPerS, before, id: requestId });
  }

  private onInvalidLimit(target: TargetRecord, text: string, requestId: string | undefined): void {
    this.metrics.onTargetSignal('invalid_rate_limit');
    if (this.invalidLimits.has(target.id)) return;
    // One line for each target, up to a limit; the counter has the rest.
    if (this.invalidLimits.size < MAX_INVALID_LIMITS) this.invalidLimits.add(target.id);
    else return;
    this.log.warn('target names a rate limit that is not a rate; it is ignored', {
      target: target.id,
      text,
      id: requestId,
    });
  }

  private logLimit(target: string, fields: LogFields): void {
    this.log.info('rate limit of target changed', { target, ...fields });
  }

  /** Notes what targets said to another gateway. */
  onPeerSignals({ leaving, limits }: Pick<SignalRows, 'leaving' | 'limits'>, node: string): void {
    const now = this.timers.now();
    leaving
      .filter((row) => this.leavingTargets.onLeaving(row, now, row.ageMs))
      .forEach((row) => this.onNewLeaving(row, { from: node, age_ms: Math.round(row.ageMs) }));
    limits
      .filter(
        (row) => this.limits.onSaid(row, row.requestsPerS, now, row.ageMs) === LimitNews.Changed,
      )
      .forEach(({ id, requestsPerS, ageMs }) =>
        this.logLimit(id, { limit_per_s: requestsPerS, from: node, age_ms: Math.round(ageMs) }),
      );
  }

  /**
   * What targets said about themselves, the latest news, at most `max` of each kind.
   *
   * @param maxKnownMs leaves out what has been known for longer, ms
   */
  signalRows(max: number, maxKnownMs: number): Pick<SignalRows, 'leaving' | 'limits'> {
    const now = this.timers.now();
    return {
      leaving: this.leavingTargets.rows(max, now, maxKnownMs),
      limits: this.limits.rows(max, now, maxKnownMs),
    };
  }

  /** Requests per second that a target takes from all gateways together; undefined if not limited. */
  rateLimitOf({ record }: TargetEntry): number | undefined {
    return this.limits.limitOf(record);
  }

  /** Time since a response of a target confirmed its limit, or that it has none, ms. */
  rateLimitAgeMs({ record }: TargetEntry): number | undefined {
    return this.limits.ageMs(record, this.timers.now());
  }

  private onNewLeaving(target: TargetIncarnation, fields: LogFields): void {
    this.usableByService.clear();
    this.log.info('target says that it is leaving', {
      target: target.id,
      born: target.bornAt,
      ...fields,
      record_age_ms: Math.round(this.recordAgeMs(target.id)),
      source_age_ms: Math.round(this.sourceAgeMs),
    });
  }

  private recordAgeMs(id: string): number {
    return this.timers.now() - (this.targets.get(id)?.recordReceivedAt ?? this.timers.now());
  }

  /** Excludes a target because another target responded at its address. */
  onMisdirected(id: string): void {
    const entry = this.targets.get(id);
    if (!entry || entry.misdirected) return;
    entry.markMisdirected();
    this.usableByService.clear();
    this.log.info('target replaced at its address', { target: id, address: entry.record.address });
  }

  /** Drops the targets and evacuations that are no longer listed and whose retention time has passed. */
  dropExpired(): void {
    const now = this.timers.now();
    const contactNow = this.contact.now;
    this.leavingTargets.expire(now);
    this.goneTargets.expire(contactNow);
    this.versions.expire(now);
    this.changeEvacuated(() => this.evacuatedDomains.expire(contactNow), 'not written again');
    this.admitKeptOut(contactNow);
    this.limits.expire(now).forEach(({ id }) => this.logLimit(id, { reason: 'not confirmed' }));
    [...this.targets.values()]
      .filter(({ dropAt }) => dropAt !== undefined && contactNow >= dropAt)
      .forEach((entry) => this.drop(entry, 'entry gone'));
  }

  private apply(state: FleetState, from: string): void {
    this.applyConfig(state.config, from);
    if (isOlderRevision(state, this.current)) return;
    if (state.era > this.era) this.onNewEra(state, from);
    if (state.era !== this.era) this.eras.believe(state.era, this.timers.now());
    const { era, revision } = state;
    this.current = { era, revision };
    this.revisionLag.onReached(this.current, this.timers.now());
    this.changeEvacuated(() => this.evacuatedDomains.list(state.evacuated, this.contact.now), from);
    this.applyTargets(state.targets, from);
    this.onTargets();
    this.usableByService.clear();
  }

  /**
   * Prepares for a state that lacks what was written last before the source went back. It is written
   * again soon; until then, what was in force stays so.
   */
  private onNewEra(first: StateRevision, from: string): void {
    // A source that named no era so far may have done so since an upgrade only.
    const isFirst = this.revision === 0 || this.era === 0;
    if (isFirst) return;
    const { now } = this.contact;
    this.copy.onRestored(first, now);
    this.evacuatedDomains.keep(now);
    const entries = [...this.targets.values()];
    // What was kept since an earlier copy may be missing, or listed, in this one too.
    entries
      .filter(({ keptOutUntil }) => now < keptOutUntil)
      .forEach((entry) => entry.keepOut(this.copy.expiresAt));
    entries
      .filter(({ dropAt }) => dropAt !== undefined)
      .forEach((entry) => entry.scheduleDrop(now + RELIST_MS));
    entries
      .filter(({ record }) => record.draining)
      .forEach((entry) => {
        // Without a start time, a target that comes back under its id later can't be told from this one.
        if (entry.record.bornAt === 0) entry.keepOut(this.copy.expiresAt);
        else this.leavingTargets.onLeaving(entry.record, this.timers.now());
      });
    this.log.warn('source came back from an older copy', {
      era: first.era,
      era_before: this.era,
      revision: first.revision,
      before: this.revision,
      from,
      evacuated: this.evacuated.size || undefined,
    });
  }

  /** Applies a configuration if its version is newer. */
  private applyConfig(config: FleetConfig, from: string): void {
    const before = this.currentConfig?.version ?? 0;
    if (config.version < before || (config.version === before && !this.bringsCustomers(config)))
      return;
    if (config.lacksCustomers && this.requiresCustomers) {
      this.onConfigWithoutCustomers(config.version, from);
      return;
    }
    this.currentConfig = config;
    this.routeTable = new RouteTable(config.routes);
    const behindMs = this.configLag.onReached(config.version, this.timers.now());
    this.metrics.onConfigInForce(behindMs ?? 0);
    const listeners = [...this.configListeners];
    this.configListeners.clear();
    listeners.forEach((listener) => listener());
    this.log.info('configuration in force', {
      version: config.version,
      before,
      era: this.era,
      from,
      routes: config.routes.length,
      customers: config.customers?.size,
      behind_ms: behindMs === undefined ? undefined : Math.round(behindMs),
    });
  }

  /** Whether a configuration has the customers that the one in force, of the same version, lacks. */
  private bringsCustomers({ lacksCustomers }: FleetConfig): boolean {
    return this.currentConfig?.lacksCustomers === true && lacksCustomers !== true;
  }

  private onConfigWithoutCustomers(version: number, from: string): void {
    // One line for each version; the gateway that has it may be asked again and again.
    if (version <= this.refusedConfigVersion) return;
    this.refusedConfigVersion = version;
    this.log.warn('configuration was passed on without its customers and was not put in force', {
      version,
      from,
      before: this.currentConfig?.version ?? 0,
    });
  }

  private changeEvacuated(change: () => void, from: string): void {
    const before = this.evacuated;
    change();
    const { evacuated } = this;
    [...evacuated]
      .filter((domain) => !before.has(domain))
      .forEach((domain) => this.log.info('failure domain evacuated', { domain, from }));
    const restored = [...before].filter((domain) => !evacuated.has(domain));
    if (restored.length > 0) this.usableByService.clear();
    restored.forEach((domain) => this.log.info('failure domain restored', { domain, from }));
    [...this.targets.values()]
      .filter(({ record }) => restored.includes(record.failureDomain))
      .forEach((entry) => {
        if (this.service(entry.record.service)?.warmupMs === 0) return;
        this.assumeCold(entry, COLD_AFTER_EVACUATION_MS, ColdReason.Restored);
      });
  }

  private applyTargets(records: readonly TargetRecord[], from: string): void {
    const listed = new Set(records.map(({ id }) => id));
    records.forEach((record) => this.applyTarget(record, from));
    const { now } = this.contact;
    if (!this.hasListedTargets) {
      // Entries tell of a restart late, and this gateway has seen nothing of one.
      this.localTargets().forEach(({ id }) => this.suspectRestart(id, ColdReason.Unconfirmed));
      this.hasListedTargets = records.length > 0;
      if (this.hasListedTargets) this.versions.start(this.timers.now());
    }
    const justRegained = now - this.sourceRegainedAt < RELIST_MS;
    [...this.targets.values()]
      .filter(({ record, dropAt }) => !listed.has(record.id) && dropAt === undefined)
      .forEach((entry) => {
        const keptMs = justRegained || this.copy.lacks(entry.listedEra) ? RELIST_MS : 0;
        entry.scheduleDrop(now + keptMs);
        this.log.info('target no longer listed', {
          target: entry.record.id,
          from,
          kept_ms: keptMs,
        });
      });
    this.dropExpired();
  }

  private applyTarget(record: TargetRecord, from: string): void {
    const now = this.timers.now();
    const known = this.targets.get(record.id);
    if (known?.record.address === record.address && this.isOfEarlierStart(record, known)) {
      known.keep(now, this.era);
      return;
    }
    if (!known || hasRestarted(known.record, record)) {
      this.replaceTarget(record, known, from);
      const goesBack = known?.hadStart(record.bornAt) === true || known?.isBefore(record.bornAt);
      if (goesBack) this.suspectRestart(record.id, ColdReason.Unconfirmed);
      return;
    }
    if (known.record.draining !== record.draining) {
      this.log.info('draining state of target changed', {
        target: record.id,
        draining: record.draining,
        from,
      });
    }
    const { softwareVersion = known.record.softwareVersion } = record;
    if (known.record.softwareVersion !== softwareVersion) this.onVersionChange(known, record);
    if (this.copy.isNews(record)) known.endKeepOut();
    if (known.update(record, now, this.era)) this.logCold(known, now);
  }

  private onVersionChange(known: TargetEntry, { id, softwareVersion }: TargetRecord): void {
    // A start whose version becomes known has served with no other one.
    if (known.record.softwareVersion !== undefined) {
      this.versions.onGone(known.record, this.timers.now());
    }
    this.log.info('software version of target changed', {
      target: id,
      version: softwareVersion,
      before: known.record.softwareVersion,
    });
  }

  /** A copy has entries from before restarts that this gateway may not have seen. */
  private isOfEarlierStart(record: TargetRecord, known: TargetEntry): boolean {
    const { bornAt } = record;
    const now = this.timers.now();
    return (
      known.isEarlierStart(bornAt, now) ||
      known.isLateEntry(bornAt, now) ||
      (known.isBefore(bornAt) && this.copy.mayHave(record, this.contact.now))
    );
  }

  private replaceTarget(
    record: TargetRecord,
    known: TargetEntry | undefined,
    from: string,
  ): TargetEntry {
    const now = this.timers.now();
    const cacheTokens = this.service(record.service)?.engine?.kvCapacityTokens;
    const work = new TargetWork(cacheTokens ?? DEFAULT_CACHE_TOKENS);
    const entry = new TargetEntry(record, work, now, this.era, known?.starts());
    if (known) this.versions.onGone(known.record, now);
    this.targets.set(record.id, entry);
    if (!known) this.keepOutIfGone(entry);
    this.usableByService.clear();
    this.log.info('target listed', {
      target: record.id,
      service: record.service,
      version: record.softwareVersion,
      born: record.bornAt || undefined,
      born_before: known?.record.bornAt,
      from,
      cold_ms: record.coldForMs || undefined,
    });
    return entry;
  }

  /** A target that was gone before the source went back is listed until its entry expires there. */
  private keepOutIfGone(entry: TargetEntry): void {
    const { restoredAt, expiresAt } = this.copy;
    const { now } = this.contact;
    const { record } = entry;
    if (!this.copy.mayHave(record, now) || !this.goneTargets.wasGone(record, restoredAt)) return;
    entry.keepOut(expiresAt);
    this.log.info('target that was gone is listed again', {
      target: entry.id,
      kept_out_ms: Math.round(expiresAt - now),
    });
  }

  private admitKeptOut(now: number): void {
    const admitted = [...this.targets.values()].filter((entry) => entry.admit(now));
    if (admitted.length > 0) this.usableByService.clear();
    admitted.forEach(({ id }) => this.log.info('target is no longer kept out', { target: id }));
  }

  private assumeCold(entry: TargetEntry, forMs: number, reason: ColdReason): void {
    const now = this.timers.now();
    if (entry.extendCold(now + forMs, reason, now)) this.logCold(entry, now);
  }

  private logCold(entry: TargetEntry, now: number): void {
    this.log.info('target assumed cold', {
      target: entry.id,
      reason: entry.coldReasonAt(now),
      cold_ms: Math.round(entry.coldForMs(now)),
    });
  }

  private drop(entry: TargetEntry, reason: string): void {
    const { record } = entry;
    this.goneTargets.add(record, entry.starts(), this.contact.now);
    this.versions.onGone(record, this.timers.now());
    this.targets.delete(record.id);
    this.usableByService.clear();
    this.log.info('target dropped', { target: record.id, reason });
  }
}

/** Whether the later record is about another start; one without a start time is not. */
function hasRestarted(before: TargetRecord, later: TargetRecord): boolean {
  if (before.address !== later.address) return true;
  return later.bornAt !== 0 && before.bornAt !== later.bornAt;
}
