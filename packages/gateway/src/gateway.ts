/** Creates the tasks of a gateway, which runs as one process on each VM, and drains them on stop. */
import {
  GatewayPhase,
  MIN_REQUESTS,
  RegionUsage,
  RouteUsage,
  hashOf,
  rendezvousOrder,
  sampleItems,
  seededRandom,
  SMALL_REGION_MAX_GATEWAYS,
  type HostUsageRow,
  type LoadReport,
  type PeerWork,
  type RandomSource,
  type TargetWork,
} from '@marjoramcart/core';
import {
  AdminTask,
  BodyMemory,
  HttpClient,
  LoopWatch,
  MemoryWatch,
  RejectionCount,
  probeConnection,
  readDescriptorLimit,
  withFields,
  type Logger,
  type Metrics,
  type Task,
  type TimerService,
} from '@marjoramcart/runtime';
import { match } from 'ts-pattern';
import { CallerTask } from './callers/caller-task.js';
import { ConfigCatchUp } from './callers/config-catch-up.js';
import { GatewayConnections } from './connections/gateway-connections.js';
import { CrashWatch } from './crashes/crash-watch.js';
import { DirectoryTask } from './directory/directory-task.js';
import { GatewayDirectory } from './directory/gateway-directory.js';
import { AttemptRunner } from './exchange/attempt-runner.js';
import { RequestExecutor } from './exchange/request-executor.js';
import { GatewayMetrics } from './metrics/gateway-metrics.js';
import { FleetRpcTask } from './peers/fleet-rpc.js';
import { GossipTask, type LocalState } from './peers/gossip-task.js';
import type { SignalRows } from './peers/signal-rows.js';
import { StateFetcher } from './peers/state-fetcher.js';
import { WatchTask } from './peers/watch-task.js';
import type { SpeedRow, TargetUpdate } from './peers/target-update.js';
import { QuotaTask } from './quota/quota-task.js';
import type { FleetSource } from './ports/fleet-source.js';
import type {
  DirectoryProtocol,
  ReportProtocol,
  RequestProtocol,
} from './ports/request-protocol.js';
import { ReachWatch } from './reach/reach-watch.js';
import { ReportPoller } from './reports/report-poller.js';
import { ReportTask } from './reports/report-task.js';
import { RestartCheck } from './reports/restart-check.js';
import { StartConfirmer } from './reports/start-confirmer.js';
import { StartWitness } from './reports/start-witness.js';
import { SpeedTask } from './reports/speed-task.js';
import { RejectionGuard } from './routing/rejection-guard.js';
import { Router } from './routing/router.js';
import type { GatewaySettings } from './settings.js';
import { CapacitySharing } from './sharing/capacity-sharing.js';
import { GracefulShutdown } from './shutdown/graceful-shutdown.js';
import { GatewayState } from './state/gateway-state.js';
import { StateMetrics } from './state/state-metrics.js';
import { StreamRegistry } from './streams/stream-registry.js';
import { HealthPoller } from './warmth/health-poller.js';
import { Touch } from './warmth/touch.js';
import { WarmthCheck } from './warmth/warmth-check.js';

/** Three round trips between distant regions; a slower destination is tried again later. */
const CONNECT_TIMEOUT_MS = 500;
const HOUSEKEEPING_INTERVAL_MS = 250;
/** A gateway of the region with an older heartbeat may be cut off from this one. */
const HEARD_MS = 1500;
const MS_PER_S = 1000;
/** A host with more routes in use is not told to other regions, which then name none of theirs for it. */
const MAX_TOLD_ROUTES = 8;
const NO_WORK: PeerWork = { requests: 0, memoryTokens: 0 };

export interface GatewayDeps {
  readonly settings: GatewaySettings;
  readonly source: FleetSource;
  readonly requestProtocol: RequestProtocol;
  readonly directoryProtocol: DirectoryProtocol;
  readonly reportProtocol: ReportProtocol;
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** Addresses to connect to in place of the targets' own, such as those of a proxy on this VM. */
  readonly dialMap?: Readonly<Record<string, string>>;
}

export class Gateway implements Task {
  readonly name = 'gateway';

  readonly state: GatewayState;

  private readonly random: RandomSource;

  private readonly connections: GatewayConnections;

  private readonly gossip: GossipTask;

  private readonly rejections: RejectionGuard;

  private readonly router: Router;

  private readonly sharing: CapacitySharing;

  private readonly crashes: CrashWatch;

  private readonly restarts: RestartCheck;

  private readonly witness: StartWitness;

  private readonly starts: StartConfirmer;

  private readonly warmth: WarmthCheck;

  private readonly reach: ReachWatch;

  private readonly streams: StreamRegistry;

  private readonly fetcher: StateFetcher;

  private readonly watch: WatchTask;

  private readonly callers: CallerTask;

  private readonly quota: QuotaTask;

  private readonly tasks: Task[];

  private readonly admin: AdminTask;

  private readonly directory: GatewayDirectory;

  private readonly usage = new RouteUsage();

  private readonly regionUsage = new RegionUsage();

  private readonly shutdown: GracefulShutdown;

  private readonly memoryWatch: MemoryWatch;

  private readonly reportMemory: BodyMemory;

  private readonly loopWatch: LoopWatch;

  private readonly deps: GatewayDeps;

  private isListening = false;

  constructor(options: GatewayDeps) {
    this.loopWatch = new LoopWatch({
      timers: options.timers,
      metrics: options.metrics,
      log: options.log.child('loop'),
      fields: () => ({ in_flight: this.requestsInFlight }),
    });
    const deps = {
      ...options,
      log: withFields(options.log, () => {
        const { delayMs } = this.loopWatch;
        return delayMs > 0 ? { loop_delay_ms: Math.round(delayMs) } : undefined;
      }),
    };
    this.deps = deps;
    const { settings, timers, log, requestProtocol: protocol } = deps;
    this.state = new GatewayState(
      settings.region,
      timers,
      log.child('state'),
      new StateMetrics(deps.metrics, () => this.state),
      (rows) => this.gossip.announceTarget({ kind: 'signals', rows, from: settings.node }),
      () => this.streams.check(),
      settings.customers.required,
    );
    // Gateways that start in the same millisecond must not make the same choices.
    const random = seededRandom(hashOf(`${settings.node} ${timers.wall()}`));
    this.random = random;
    this.gossip = new GossipTask(
      settings,
      timers,
      random,
      log.child('gossip'),
      () => this.localState(),
      {
        onTargetWork: (node, work) => this.recordPeerTargetWork(node, work),
        onTargetUpdate: (update) => this.applyTargetUpdate(update),
        onFleetUpdate: (update) => this.watch.onFleetUpdate(update),
        onStreamUpdate: (update, ip) => this.streams.onUpdate(update, ip),
        onSuspects: (rows) => this.crashes.merge(rows),
        onSignals: (rows, node) => this.applyPeerSignals(rows, node),
        onQuotaMessage: (message, ip) => this.quota.onMessage(message, ip),
        onUsage: (region, rows) => this.regionUsage.merge(region, rows),
        onDemands: (node, rows) => this.sharing.onRows(node, rows),
        onRecord: (record) => {
          this.state.onPeerVersions(record);
          this.fetcher.check();
        },
      },
    );
    this.directory = this.createDirectory();
    this.streams = new StreamRegistry({
      settings,
      state: this.state,
      gossip: this.gossip,
      readEarlier: () => deps.source.readEarlier(this.state.revision),
      timers,
      random,
      log: log.child('streams'),
    });
    this.fetcher = new StateFetcher({
      settings,
      state: this.state,
      table: this.gossip.table,
      timers,
      random,
      log: log.child('fetch'),
    });
    this.watch = this.createWatchTask();
    this.reach = this.createReachWatch();
    this.crashes = this.createCrashWatch();
    this.rejections = new RejectionGuard({
      settings,
      gossip: this.gossip,
      timers,
      metrics: deps.metrics,
      log: log.child('rejections'),
    });
    this.router = new Router(
      settings,
      this.state,
      this.gossip,
      timers,
      random,
      this.reach,
      this.rejections,
      log.child('routing'),
    );
    this.sharing = new CapacitySharing({
      config: () => (settings.tuning.divide_capacity ? this.state.config : undefined),
      gateways: () => this.gossip.regionPeers().length + 1,
      timers,
      random,
      metrics: deps.metrics,
      log: log.child('sharing'),
    });
    const metrics = new GatewayMetrics(deps.metrics, timers);
    this.connections = new GatewayConnections({
      // The platform may count connections apart from the descriptors of the process, so that its figure goes first.
      descriptors: settings.maxDescriptors ?? readDescriptorLimit() ?? Infinity,
      maxConnections: settings.tuning.max_connections,
      metrics: deps.metrics,
      log: log.child('connections'),
      onRejected: (count) => metrics.onConnectionsRejected(count),
    });
    const httpClient = this.createHttpClient('lifo');
    this.reportMemory = new BodyMemory(settings.maxReportMemoryBytes);
    this.witness = new StartWitness({ state: this.state, timers });
    // Each of its connections is used in turn, so that all of them tell of the processes that answer there.
    const pollClient = this.createHttpClient('fifo');
    const reportPoller = this.createReportPoller(httpClient, pollClient);
    this.starts = new StartConfirmer({
      node: settings.node,
      state: this.state,
      witness: this.witness,
      poller: reportPoller,
      timers,
    });
    this.restarts = this.createRestartCheck(reportPoller);
    this.warmth = this.createWarmthCheck(httpClient);
    const responseMemory = new BodyMemory(settings.maxResponseMemoryBytes);
    const executor = new RequestExecutor({
      settings,
      state: this.state,
      router: this.router,
      runner: new AttemptRunner(httpClient, protocol, timers),
      protocol,
      gossip: this.gossip,
      crashes: this.crashes,
      restarts: this.restarts,
      starts: this.starts,
      witness: this.witness,
      streams: this.streams,
      sharing: this.sharing,
      timers,
      random,
      metrics,
      log: log.child('request'),
      responseMemory,
      outgoing: this.connections.outgoing,
    });
    this.quota = new QuotaTask({
      settings,
      table: this.gossip.table,
      config: () => this.state.config,
      send: (message, ip) => this.gossip.sendQuotaMessage(message, ip),
      timers,
      random,
      metrics: deps.metrics,
      log: log.child('quota'),
    });
    this.callers = new CallerTask({
      callersAddress: settings.listen.callers,
      forwardAddress: `${settings.ip}:${settings.forwardPort}`,
      maxBodyMemoryBytes: settings.maxBodyMemoryBytes,
      maxOpenBodies: Math.min(settings.tuning.max_open_bodies, this.connections.maxOpenBodies),
      maxUnreadResponseBytes: settings.maxUnreadResponseBytes,
      connections: this.connections,
      maxPipelinedBytes: settings.maxPipelinedBytes,
      state: this.state,
      configCatchUp: new ConfigCatchUp({
        state: this.state,
        timers,
        fetchFrom: (node) => this.fetcher.fetchFrom(node),
      }),
      directory: this.directory,
      usage: this.usage,
      quota: this.quota,
      protocol,
      executor,
      revocation: settings.customers,
      timers,
      random,
      metrics,
      log: log.child('callers'),
    });
    this.memoryWatch = new MemoryWatch({
      limitBytes: settings.memoryBytes,
      held: {
        request_bodies: () => this.callers.heldBodyBytes,
        reports: () => this.reportMemory.heldBytes,
        responses: () => responseMemory.heldBytes,
        unread_responses: () => this.callers.unreadResponseBytes,
      },
      timers,
      metrics: deps.metrics,
      log: log.child('memory'),
    });
    this.shutdown = this.createShutdown();
    this.tasks = [
      this.callers,
      this.gossip,
      this.quota,
      new FleetRpcTask(
        settings.listen.peers,
        () => this.state.snapshotForPeer(),
        log.child('rpc'),
        timers,
        this.connections.peers,
      ),
      this.createDirectoryTask(),
      this.createReportTask(reportPoller),
      this.createSpeedTask(),
      this.restarts,
      this.warmth,
      this.reach,
    ];
    this.admin = this.createAdminTask();
  }

  /** Whether this gateway watches the source itself, or receives updates from others of its region. */
  get watchesSource(): boolean {
    return this.watch.isWatching;
  }

  /** Whether this gateway knows all others of its region, and so its share of common limits. */
  get rosterComplete(): boolean {
    return this.gossip.roster.isComplete(this.deps.timers.now());
  }

  /** Requests that are being handled, or whose responses are not sent yet. */
  get requestsInFlight(): number {
    return this.callers.requestsInFlight;
  }

  async start(): Promise<void> {
    const { timers, log } = this.deps;
    // The listeners open first, so that early requests get a refusal instead of a connection reset.
    await Promise.all(this.tasks.map((task) => task.start()));
    this.isListening = true;
    this.memoryWatch.start();
    this.loopWatch.start();
    await this.watch.start();
    // The gateway serves requests even while the metrics listener can't open.
    this.admin
      .start()
      .catch((err: unknown) => log.error('metrics listener failed to open', { err }));
    timers.every(HOUSEKEEPING_INTERVAL_MS, () => {
      this.state.dropExpired();
      this.rejections.expire();
      this.router.expire();
      this.sharing.check();
      this.streams.check();
      this.starts.keep((service) => this.streams.isMixed(service));
      this.fetcher.check();
      this.callers.applyLimits();
      this.gossip.table.expire(timers.now());
    });
  }

  /** Applies the settings that may change without a restart: the gossip seeds. */
  reload({ seedIps }: Pick<GatewaySettings, 'seedIps'>): void {
    this.gossip.setSeeds(seedIps);
    this.deps.log.info('settings reloaded', { seeds: seedIps.length });
  }

  /** Shuts down gracefully, then closes. */
  async stop(): Promise<void> {
    await this.shutdown.run();
    await this.close();
  }

  /** Stops all tasks at once and aborts requests in flight. */
  async close(): Promise<void> {
    await Promise.all([this.watch, ...this.tasks, this.admin].map((task) => task.stop()));
  }

  private phase(): GatewayPhase {
    if (this.shutdown.phase) return this.shutdown.phase;
    // Callers and other gateways are sent here only once all listeners are open.
    return this.state.config && this.isListening ? GatewayPhase.Ready : GatewayPhase.Starting;
  }

  private localState(): LocalState {
    return {
      phase: this.phase(),
      configVersion: this.state.config?.version ?? 0,
      revision: this.state.revision,
      era: this.state.era,
      cutOff: this.reach.isCutOff,
      // One that reaches no target knows little of the load there.
      regionWork: this.reach.isCutOff ? {} : this.router.regionWork(),
      targetWork: () => this.router.localTargetWork(),
      suspects: this.crashes.rows(),
      signals: ({ max, maxKnownMs }) => ({
        ...this.state.signalRows(max, maxKnownMs),
        rejectionLimits: this.rejections.rows(max),
      }),
      usage: (max) => this.usageRows(max),
      demands: () => this.sharing.rows(),
    };
  }

  /** Use of hosts whose routes are restricted to different regions, chosen at random. */
  private usageRows(max: number): readonly HostUsageRow[] {
    const rows = this.usage
      .rows(MIN_REQUESTS)
      .filter(
        ({ host, counts }) =>
          counts.length <= MAX_TOLD_ROUTES &&
          this.state.routes.residencyOf(host).restrictedRoutes > 1,
      );
    return sampleItems(rows, max, this.random);
  }

  private recordPeerTargetWork(node: string, work: Readonly<Record<string, PeerWork>>): void {
    const now = this.deps.timers.now();
    this.state
      .localTargets()
      .forEach((entry) => entry.work.updatePeerWork(node, work[entry.record.id] ?? NO_WORK, now));
  }

  private applyTargetUpdate(update: TargetUpdate): void {
    const now = this.deps.timers.now();
    const workOf = (target: string): TargetWork | undefined => this.state.target(target)?.work;
    match(update)
      .with({ kind: 'prompt' }, ({ target, prompt }) => {
        workOf(target)?.addPeerPrompt(prompt, now);
      })
      .with({ kind: 'unreachable' }, ({ target, from }) => {
        // It reaches none of them, which says nothing about this one.
        if (this.gossip.table.get(from)?.cutOff === true) return;
        const entry = this.state.target(target);
        if (entry) this.restarts.onTold(entry);
        this.deps.log.info('target is unreachable from another gateway', { target, from });
      })
      .with({ kind: 'start' }, ({ target, from }) => this.state.onPeerStart(target, from))
      .with({ kind: 'rejected' }, ({ target }) => this.rejections.onPeerRejected(target))
      .with({ kind: 'signals' }, ({ rows, from }) => this.applyPeerSignals(rows, from))
      .with({ kind: 'speeds' }, ({ rows }) => this.applyPeerSpeeds(rows))
      .with({ kind: 'warmth' }, ({ rows }) => this.warmth.onRows(rows))
      .with({ kind: 'reports' }, ({ rows }) => {
        rows.forEach(({ target, report }) => this.applyPeerReport(target, report));
      })
      .exhaustive();
  }

  private applyPeerSpeeds(rows: readonly SpeedRow[]): void {
    const now = this.deps.timers.now();
    rows.forEach(({ target, bornAt, factor, samples }) => {
      const entry = this.state.target(target);
      // What was seen of another start says nothing about the present one.
      if (!entry || entry.record.bornAt !== bornAt) return;
      if (samples === undefined) entry.work.speed.onPeerFactor(factor, now);
      else entry.work.speed.onObservation({ factor, samples }, now);
    });
  }

  private applyPeerSignals(rows: SignalRows, from: string): void {
    this.state.onPeerSignals(rows, from);
    this.rejections.onPeerLimits(rows.rejectionLimits, from);
  }

  private applyPeerReport(id: string, report: LoadReport): void {
    const entry = this.state.target(id);
    if (!entry) return;
    const { address } = entry.record;
    const { bornAt } = report;
    if (bornAt !== undefined) this.state.onPeerStart({ id, address, bornAt }, 'report');
    const current = this.state.target(id);
    // The factor of an earlier start says nothing about the present one.
    const { speedFactor, ...load } = report;
    const isSameStart = speedFactor !== undefined && current?.record.bornAt === bornAt;
    current?.work.updateLoadReport(isSameStart ? report : load, this.deps.timers.now());
  }

  private createShutdown(): GracefulShutdown {
    const { settings, timers, log } = this.deps;
    return new GracefulShutdown({
      node: settings.node,
      graceMs: settings.graceMs,
      directoryTtlMs: this.directoryTtlS() * MS_PER_S,
      callers: this.callers,
      gossip: this.gossip,
      table: this.gossip.table,
      shortestTimeoutMs: () => this.state.shortestTimeoutMs,
      timers,
      log,
    });
  }

  private directoryTtlS(): number {
    const { tuning, maxDirectoryTtlS } = this.deps.settings;
    return Math.min(tuning.directory_ttl_s, maxDirectoryTtlS);
  }

  private createDirectory(): GatewayDirectory {
    const { settings, timers } = this.deps;
    return new GatewayDirectory({
      node: settings.node,
      region: settings.region,
      ip: settings.ip,
      phase: () => this.phase(),
      leavingAt: () => this.shutdown.startedAt,
      table: this.gossip.table,
      routes: () => this.state.routes,
      usage: this.usage,
      regionUsage: this.regionUsage,
      maxMisdirectedShare: settings.tuning.directory_misdirected_share,
      graceMs: settings.graceMs,
      timers,
    });
  }

  private createDirectoryTask(): DirectoryTask {
    const { settings, directoryProtocol, timers, log } = this.deps;
    return new DirectoryTask({
      directoryAddress: settings.listen.directory,
      readyAddress: settings.listen.ready,
      connections: {
        [settings.listen.ready]: this.connections.ready,
        [settings.listen.directory]: this.connections.directory,
      },
      callersPort: Number(settings.listen.callers.split(':')[1]),
      ttlS: this.directoryTtlS(),
      protocol: directoryProtocol,
      directory: this.directory,
      phase: () => this.phase(),
      random: this.random,
      residencyOf: (host) => this.state.routes.residencyOf(host),
      configVersion: () => this.state.config?.version ?? 0,
      timers,
      log: log.child('directory'),
    });
  }

  /** Names of the live gateways of the region, this one included. */
  private regionGateways(): string[] {
    return [this.deps.settings.node, ...this.gossip.regionPeers().map(({ node }) => node)];
  }

  /** Names of those that reach the targets of the region. */
  private reachingGateways(): string[] {
    const peers = this.gossip.regionPeers().filter(({ cutOff }) => cutOff !== true);
    const names = peers.map(({ node }) => node);
    return this.reach.isCutOff ? names : [this.deps.settings.node, ...names];
  }

  /** In larger regions the polls of load reports keep connections open. */
  private watchesTarget(target: string): boolean {
    const gateways = this.reachingGateways();
    if (gateways.length > SMALL_REGION_MAX_GATEWAYS) return false;
    return rendezvousOrder(target, gateways)[0] === this.deps.settings.node;
  }

  private createWatchTask(): WatchTask {
    const { settings, source, timers, log } = this.deps;
    return new WatchTask({
      node: settings.node,
      state: this.state,
      source,
      fetcher: this.fetcher,
      timers,
      log: log.child('watch'),
      gateways: () => this.regionGateways(),
      announce: (update) => this.gossip.announceFleet(update),
    });
  }

  /** Whether a connection failed since this gateway has lost its links, while others have theirs. */
  private async hasLostLinks(): Promise<boolean> {
    const isCutOff = await this.reach.onFailure();
    return isCutOff && this.gossip.regionPeers().some(({ cutOff }) => cutOff !== true);
  }

  private dial(address: string): string {
    return this.deps.dialMap?.[address] ?? address;
  }

  private createReachWatch(): ReachWatch {
    const { timers, log } = this.deps;
    return new ReachWatch({
      targets: () => this.state.localTargets().filter((entry) => this.state.mayUse(entry)),
      probe: (address, timeoutMs) => probeConnection(this.dial(address), timeoutMs),
      timers,
      random: this.random,
      log: log.child('reach'),
      onChange: (isCutOff) => {
        if (!isCutOff) this.restarts.onReachRegained();
        this.gossip.announce();
      },
    });
  }

  private createCrashWatch(): CrashWatch {
    const { settings, timers, log } = this.deps;
    return new CrashWatch({
      node: settings.node,
      timers,
      log: log.child('crashes'),
      otherGateways: () => this.gossip.table.alive(timers.now()).map(({ node }) => node),
      probe: (address) => probeConnection(this.dial(address), CONNECT_TIMEOUT_MS),
      startOf: (target) => this.state.target(target)?.record.bornAt,
      isLeaving: (target) => this.state.isLeaving(target),
      hasLostLinks: () => this.hasLostLinks(),
      announce: (rows) => this.gossip.announceSuspects(rows),
    });
  }

  private createHttpClient(scheduling: 'fifo' | 'lifo'): HttpClient {
    const { timers, dialMap = {} } = this.deps;
    return new HttpClient(
      dialMap,
      CONNECT_TIMEOUT_MS,
      (address) => this.restarts.onIdleClosed(address),
      this.connections.outgoing,
      { now: () => timers.now(), scheduling },
    );
  }

  private createReportPoller(httpClient: HttpClient, pollClient: HttpClient): ReportPoller {
    const { settings, reportProtocol, timers, log } = this.deps;
    const unread = new RejectionCount((count) =>
      log.child('reports').warn('reports not read, as large ones take up too much', { count }),
    );
    return new ReportPoller({
      state: this.state,
      rejections: this.rejections,
      witness: this.witness,
      httpClient,
      pollClient,
      protocol: reportProtocol,
      timers,
      memory: this.reportMemory,
      onNoMemory: () => unread.add(),
      streams: this.streams,
      announceStart: (target) =>
        this.gossip.announceTarget({ kind: 'start', target, from: settings.node }),
    });
  }

  private createRestartCheck(poller: ReportPoller): RestartCheck {
    const { settings, timers } = this.deps;
    return new RestartCheck({
      state: this.state,
      poller,
      timers,
      watches: (target) => this.watchesTarget(target),
      onLinkFailure: () => this.reach.onFailure(),
      announceUnreachable: (target) =>
        this.gossip.announceTarget({ kind: 'unreachable', target, from: settings.node }),
      announceStart: (target) =>
        this.gossip.announceTarget({ kind: 'start', target, from: settings.node }),
    });
  }

  private createWarmthCheck(httpClient: HttpClient): WarmthCheck {
    const { settings, reportProtocol: protocol, timers, log } = this.deps;
    const { table } = this.gossip;
    return new WarmthCheck({
      node: settings.node,
      state: this.state,
      touch: new Touch({
        failureDomain: settings.failureDomain,
        table,
        sourceAgeMs: () => this.state.sourceAgeMs,
      }),
      poller: new HealthPoller({ httpClient, protocol, timers, memory: this.reportMemory }),
      timers,
      log: log.child('warmth'),
      gateways: () => [settings.node, ...this.heardRegionGateways()],
      announce: (rows) => this.gossip.announceTarget({ kind: 'warmth', rows }),
    });
  }

  /** Names of other gateways of the region that are heard now. */
  private heardRegionGateways(): string[] {
    const now = this.deps.timers.now();
    return this.gossip
      .regionPeers()
      .map(({ node }) => node)
      .filter((node) => this.gossip.table.ageMs(node, now) < HEARD_MS);
  }

  private createReportTask(poller: ReportPoller): ReportTask {
    const { settings, timers } = this.deps;
    return new ReportTask({
      node: settings.node,
      state: this.state,
      poller,
      restarts: this.restarts,
      timers,
      gateways: () => this.reachingGateways(),
      speedFactorOf: (entry) => this.router.takeCollectedSpeed(entry),
      announce: (rows) => this.gossip.announceTarget({ kind: 'reports', rows }),
    });
  }

  private createSpeedTask(): SpeedTask {
    const { settings, timers, metrics, log } = this.deps;
    return new SpeedTask({
      node: settings.node,
      state: this.state,
      router: this.router,
      timers,
      metrics,
      log: log.child('speeds'),
      gateways: () => this.reachingGateways(),
      send: (rows, node) => {
        const update: TargetUpdate = { kind: 'speeds', rows };
        if (node === undefined) this.gossip.announceTarget(update);
        else this.gossip.sendTargetUpdate(update, node);
      },
    });
  }

  private createAdminTask(): AdminTask {
    const { settings, metrics, log } = this.deps;
    return new AdminTask({
      address: settings.listen.metrics,
      connections: this.connections.metrics,
      metrics,
      log: log.child('admin'),
      readiness: () => ({
        ready: this.phase() === GatewayPhase.Ready,
        status: this.phase(),
        revision: this.state.config?.version ?? 0,
      }),
      status: () => ({
        phase: this.phase(),
        config: this.state.config?.version ?? 0,
        era: this.state.era,
        revision: this.state.revision,
        source_age_ms: Math.round(this.state.sourceAgeMs),
        newest_config: this.state.newestConfigVersion,
        config_behind_ms: Math.round(this.state.configBehindMs),
        revision_behind_ms: Math.round(this.state.revisionBehindMs),
        watches_source: this.watchesSource,
        cut_off: this.reach.isCutOff,
        in_flight: this.callers.requestsInFlight,
        loop_delay_ms: Math.round(this.loopWatch.delayMs),
        roster: this.gossip.roster.size,
        roster_complete: this.rosterComplete,
        gossip_bytes: this.gossip.traffic,
      }),
    });
  }
}
