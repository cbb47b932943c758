/** Assembly of a gateway: all tasks of one VM in one process. */
import { GatewayPhase, seededRandom, type PeerWork, type TargetWork } from '@marjoramcart/core';
import {
  AdminTask,
  HttpClient,
  type Logger,
  type Metrics,
  type Task,
  type TimerService,
} from '@marjoramcart/runtime';
import { match } from 'ts-pattern';
import { CallerTask } from './callers/caller-task.js';
import { DirectoryTask } from './directory/directory-task.js';
import { AttemptRunner } from './exchange/attempt-runner.js';
import { RequestExecutor } from './exchange/request-executor.js';
import { GatewayMetrics } from './metrics/gateway-metrics.js';
import { FleetRpcTask } from './peers/fleet-rpc.js';
import { GossipTask, type LocalState } from './peers/gossip-task.js';
import { StateFetcher } from './peers/state-fetcher.js';
import { WatchTask } from './peers/watch-task.js';
import type { TargetUpdate } from './peers/target-news.js';
import type { FleetSource } from './ports/fleet-source.js';
import type {
  DirectoryProtocol,
  ReportProtocol,
  RequestProtocol,
} from './ports/request-protocol.js';
import { ReportTask } from './reports/report-task.js';
import { Router } from './routing/router.js';
import type { GatewaySettings } from './settings.js';
import { GatewayState } from './state/gateway-state.js';

/** After the stop signal new requests are taken this long, since callers keep old answers. */
const ACCEPT_AFTER_STOP_MS = 2800;
/** Left of the grace when the process ends, for the exit itself. */
const EXIT_MARGIN_MS = 400;
/** Three round trips between distant regions; a place that is slower is tried again later. */
const CONNECT_TIMEOUT_MS = 500;
const HOUSEKEEPING_MS = 250;
const DRAIN_POLL_MS = 50;
const NO_WORK: PeerWork = { requests: 0, memoryTokens: 0 };

export interface GatewayDeps {
  readonly settings: GatewaySettings;
  readonly source: FleetSource;
  readonly protocol: RequestProtocol;
  readonly directory: DirectoryProtocol;
  readonly reports: ReportProtocol;
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** The tasks of a gateway, and its drain. */
export class Gateway implements Task {
  readonly name = 'gateway';

  readonly state: GatewayState;

  private readonly gossip: GossipTask;

  private readonly router: Router;

  private readonly fetcher: StateFetcher;

  private readonly watch: WatchTask;

  private readonly callers: CallerTask;

  private readonly tasks: Task[];

  private readonly admin: AdminTask;

  private draining = false;

  private closing = false;

  constructor(private readonly parts: GatewayDeps) {
    const { settings, timers, log, protocol } = parts;
    this.state = new GatewayState(settings.region, timers, log.child('state'));
    const random = seededRandom(Math.floor(timers.wall()) % 2 ** 31);
    this.gossip = new GossipTask(settings, timers, random, log.child('gossip'), () => this.news(), {
      onTargetWork: (node, work) => this.learnTargetWork(node, work),
      onTargetUpdate: (news) => this.learnTargetNews(news),
      onFleetUpdate: (news) => this.watch.onFleetUpdate(news),
      onRecord: (record) => {
        this.router.onGateway(record);
        this.fetcher.consider(record);
      },
    });
    this.fetcher = new StateFetcher(
      this.state,
      this.gossip.table,
      settings.peerRpcPort,
      timers,
      log.child('fetch'),
    );
    this.watch = this.watchTask();
    this.router = new Router(settings, this.state, this.gossip, timers, random);
    const metrics = new GatewayMetrics(parts.metrics, timers);
    const connections = new HttpClient({}, CONNECT_TIMEOUT_MS);
    const executor = new RequestExecutor({
      settings,
      state: this.state,
      router: this.router,
      runner: new AttemptRunner(connections, protocol),
      protocol,
      gossip: this.gossip,
      timers,
      random,
      metrics,
      log: log.child('request'),
    });
    this.callers = new CallerTask({
      callersAddress: settings.listen.callers,
      forwardAddress: `${settings.ip}:${settings.forwardPort}`,
      state: this.state,
      protocol,
      executor,
      timers,
      random,
      metrics,
      log: log.child('callers'),
    });
    this.tasks = [
      this.callers,
      this.gossip,
      new FleetRpcTask(settings.listen.peers, () => this.state.snapshot(), log.child('rpc')),
      this.directoryTask(),
      this.reportTask(connections),
    ];
    this.admin = this.adminTask();
  }

  /** Whether this gateway follows the source itself, or learns from others of its region. */
  get watchesSource(): boolean {
    return this.watch.isWatching;
  }

  async start(): Promise<void> {
    const { timers, log } = this.parts;
    // The listeners open first, so that a request meets a refusal rather than a reset.
    await Promise.all(this.tasks.map((task) => task.start()));
    await this.watch.start();
    // Requests are served without metrics rather than not at all.
    await this.admin.start().catch((err: unknown) => log.error('metrics are not served', { err }));
    timers.every(HOUSEKEEPING_MS, () => {
      this.state.dropExpired();
      this.callers.applyLimits();
      this.gossip.table.expire(timers.now());
    });
  }

  /** Takes what may change without a restart: the gateways to begin with. */
  reload({ seedIps }: Pick<GatewaySettings, 'seedIps'>): void {
    this.gossip.setSeeds(seedIps);
    this.parts.log.info('settings reloaded', { seeds: seedIps.length });
  }

  /** Leaves the directory, serves what arrives for a while, then finishes what is in flight. */
  async stop(): Promise<void> {
    const { settings, timers, log } = this.parts;
    const startedAt = timers.now();
    this.draining = true;
    this.callers.announceClose();
    this.gossip.announce();
    await delay(timers, ACCEPT_AFTER_STOP_MS);
    this.closing = true;
    this.callers.refuseNew();
    this.gossip.announce();
    const endAt = startedAt + settings.graceMs - EXIT_MARGIN_MS;
    await this.untilIdle(endAt);
    log.info('drained', { in_flight: this.callers.requestsInFlight });
    await this.close();
  }

  /** Ends all tasks at once, cutting off what is in flight. */
  async close(): Promise<void> {
    await Promise.all([this.watch, ...this.tasks, this.admin].map((task) => task.stop()));
  }

  private phase(): GatewayPhase {
    if (this.closing) return GatewayPhase.Closing;
    if (this.draining) return GatewayPhase.Draining;
    return this.state.config ? GatewayPhase.Ready : GatewayPhase.Starting;
  }

  private news(): LocalState {
    return {
      phase: this.phase(),
      configVersion: this.state.config?.version ?? 0,
      revision: this.state.revision,
      regionWork: this.router.regionWork(),
      targetWork: this.router.ownTargetWork(),
    };
  }

  private learnTargetWork(node: string, work: Readonly<Record<string, PeerWork>>): void {
    const now = this.parts.timers.now();
    this.state
      .localTargets()
      .forEach((entry) => entry.work.updatePeerWork(node, work[entry.record.id] ?? NO_WORK, now));
  }

  private learnTargetNews(news: TargetUpdate): void {
    const now = this.parts.timers.now();
    const workOf = (target: string): TargetWork | undefined => this.state.target(target)?.work;
    match(news)
      .with({ kind: 'prompt' }, ({ target, prompt }) => {
        workOf(target)?.addPeerPrompt(prompt, now);
      })
      .with({ kind: 'unreachable' }, ({ target, from }) => {
        workOf(target)?.onUnreachable(now);
        this.parts.log.info('target can not be reached from another gateway', { target, from });
      })
      .with({ kind: 'reports' }, ({ rows }) => {
        rows.forEach(({ target, report }) => workOf(target)?.updateLoadReport(report, now));
      })
      .exhaustive();
  }

  /** Waits until no request is in flight and no more are expected, at most until `endAt`. */
  private async untilIdle(endAt: number): Promise<void> {
    const { timers } = this.parts;
    if (timers.now() >= endAt || this.callers.requestsInFlight === 0) return;
    await delay(timers, DRAIN_POLL_MS);
    await this.untilIdle(endAt);
  }

  private directoryTask(): DirectoryTask {
    const { settings, directory, timers, log } = this.parts;
    return new DirectoryTask({
      directoryAddress: settings.listen.directory,
      readyAddress: settings.listen.ready,
      callersAddress: settings.listen.callers,
      node: settings.node,
      region: settings.region,
      ttlS: Math.min(settings.tuning.directory_ttl_s, settings.maxDirectoryTtlS),
      protocol: directory,
      table: this.gossip.table,
      phase: () => this.phase(),
      allowedRegions: (host) => this.state.routes.allowedRegions(host),
      timers,
      log: log.child('directory'),
    });
  }

  /** Names of the live gateways of the region. */
  private nearGateways(): string[] {
    return [this.parts.settings.node, ...this.gossip.near().map(({ node }) => node)];
  }

  private watchTask(): WatchTask {
    const { settings, source, timers, log } = this.parts;
    return new WatchTask({
      node: settings.node,
      state: this.state,
      source,
      fetcher: this.fetcher,
      timers,
      log: log.child('watch'),
      gateways: () => this.nearGateways(),
      announce: (news) => this.gossip.announceFleet(news),
    });
  }

  private reportTask(connections: HttpClient): ReportTask {
    const { settings, reports, timers } = this.parts;
    return new ReportTask({
      node: settings.node,
      state: this.state,
      connections,
      protocol: reports,
      timers,
      gateways: () => this.nearGateways(),
      announce: (rows) => this.gossip.announceTarget({ kind: 'reports', rows }),
    });
  }

  private adminTask(): AdminTask {
    const { settings, metrics, log } = this.parts;
    return new AdminTask({
      address: settings.listen.metrics,
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
        revision: this.state.revision,
        source_age_ms: Math.round(this.state.sourceAgeMs),
        watches_source: this.watchesSource,
        in_flight: this.callers.requestsInFlight,
        gossip_bytes: this.gossip.traffic,
      }),
    });
  }
}

function delay(timers: TimerService, ms: number): Promise<void> {
  return new Promise((resolve) => {
    timers.after(ms, resolve);
  });
}
