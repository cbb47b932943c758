/** Creates the entry daemon from its settings. */
import {
  CustomerLimits,
  KeyTable,
  RetryBudget,
  SuspectTable,
  hashText,
  seededRandom,
  type ProcessRef,
} from '@marjoramcart/core';
import {
  AdminTask,
  BodyMemory,
  MessageAuthenticator,
  RejectionCount,
  RpcClient,
  makeBootId,
  type EntrySettings,
  type Logger,
  type Metrics,
  type Task,
  type TimerService,
  HttpClient,
} from '@marjoramcart/runtime';
import { readinessOf, statusOf } from './admin/entry-status.js';
import { AdmissionGate } from './admission/admission-gate.js';
import { CallerTask } from './callers/caller-task.js';
import { TargetExchange } from './dispatch/target-exchange.js';
import { DeathProbe } from './dispatch/death-probe.js';
import { Dispatcher } from './dispatch/dispatcher.js';
import { SuspectBroadcast } from './dispatch/suspect-broadcast.js';
import { SuspectOwners } from './dispatch/suspect-owners.js';
import { SuspectQueue } from './dispatch/suspect-queue.js';
import { HousekeepingTask } from './dispatch/housekeeping-task.js';
import { ForwardExchange } from './forward/forward-exchange.js';
import { PeerTask } from './forward/peer-task.js';
import { EntryMetrics } from './metrics/entry-metrics.js';
import {
  createAdmission,
  createDomainPolicy,
  createTargetPolicy,
} from './policies/create-policies.js';
import type { RecordedResponse } from './relay/caller-response.js';
import { OpenCalls } from './request/open-calls.js';
import { CallRunner } from './request/call-runner.js';
import { DomainChooser } from './routing/domain-chooser.js';
import { LinkBudgets } from './routing/link-budgets.js';
import { TargetTable } from './routing/target-table.js';
import { EntryState } from './state/entry-state.js';
import { SyncTask } from './sync/sync-task.js';

const BYTES_PER_MB = 1024 * 1024;
const MAX_KEYS = 100_000;
const MAX_KEY_BYTES = 32 * 1024 * 1024;
/** Retries per request until the configuration with `retry_budget_percent` has arrived. */
const DEFAULT_RETRY_SHARE = 0.1;
const SEED_HEX_DIGITS = 8;

export interface EntryDeps {
  readonly timers: TimerService;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly drainNoticeMs?: number;
  /** Detects a pause that the timer service has not noticed yet. */
  readonly checkPause?: () => void;
}

export interface EntryDaemon {
  readonly bootId: string;
  readonly state: EntryState;
  readonly callers: CallerTask;
  readonly peers: PeerTask;
  readonly admin: AdminTask;
  /** In the order in which they start. */
  readonly tasks: readonly Task[];
}

/**
 * Creates the daemon without starting its tasks.
 *
 * @example createEntry(settings, deps).tasks.forEach((task) => kernel.add(task))
 */
export function createEntry(settings: EntrySettings, deps: EntryDeps): EntryDaemon {
  const { timers, log, metrics } = deps;
  const now = (): number => timers.now();
  const bootId = makeBootId(timers.wall());
  const self: ProcessRef = {
    bootId,
    role: 'entry',
    vm: settings.vm,
    region: settings.region,
    failureDomain: settings.failure_domain,
    peerAddress: settings.listen.peers,
    callerAddress: settings.listen.callers,
  };
  const random = seededRandom(
    settings.seed ?? Number.parseInt(hashText(bootId).slice(0, SEED_HEX_DIGITS), 16),
  );
  const state = new EntryState(self, timers);
  const auth = new MessageAuthenticator(settings.fleet_secret, () => timers.wall());
  const rpc = new RpcClient(auth, bootId, settings.dial_map, settings.compress_messages);
  const httpClient = new HttpClient(settings.dial_map);
  const targets = new TargetTable(state, now);
  const suspects = new SuspectTable();
  const keys = new KeyTable<RecordedResponse>({ maxKeys: MAX_KEYS, maxBytes: MAX_KEY_BYTES });
  const entryMetrics = new EntryMetrics(metrics);
  const gate = new AdmissionGate(state, timers, (options) =>
    createAdmission(settings.policies.fairness, options),
  );
  const links = new LinkBudgets(state, now);
  const forwards = new ForwardExchange({
    self,
    httpClient,
    auth,
    rpc,
    timers,
    revision: () => state.revision,
    recordLinkBytes: (region, bytes) => links.spend(region, bytes),
    allowedRegions: (call) => state.allowedRegions(call),
  });
  const openCalls = new OpenCalls();
  const sync = new SyncTask({
    control: settings.control,
    state,
    // These messages usually stay on the VM, where compression costs more than it saves.
    rpc: new RpcClient(auth, bootId, settings.dial_map, false),
    timers,
    log: log.child('sync'),
    reports: {
      load: () => ({
        openRequests: openCalls.count,
        queued: gate.queued,
        draining: state.draining,
      }),
      takeObservations: () => targets.takeObservations(),
      suspects: () => suspects.localRecords(timers.now()),
      onSuspects: (records) => suspects.merge(records, timers.now()),
    },
  });
  const budget = new RetryBudget(DEFAULT_RETRY_SHARE, timers.now());
  const broadcast = new SuspectBroadcast({ self, state, suspects, rpc, timers });
  const dispatcher = new Dispatcher({
    targets,
    targetPolicy: createTargetPolicy(settings.policies.target),
    domains: new DomainChooser({
      self,
      state,
      targets,
      links,
      policy: createDomainPolicy(settings.policies.domain),
      random,
    }),
    exchange: new TargetExchange(httpClient, timers),
    forwards,
    probe: new DeathProbe(httpClient),
    exclusionOf: (call) => state.exclusionOf(call),
    suspects,
    suspectQueue: new SuspectQueue(targets, timers, new SuspectOwners(state)),
    budget,
    random,
    timers,
    log: log.child('dispatch'),
    metrics: entryMetrics,
    announceSuspect: (call) => broadcast.announce(call),
    syncAfterPause: () => sync.syncAfterPause,
    checkPause: deps.checkPause ?? (() => undefined),
  });
  const runner = new CallRunner({
    state,
    timers,
    keys,
    limits: new CustomerLimits(),
    gate,
    dispatcher,
    forwards,
    metrics: entryMetrics,
    openCalls,
  });
  const admin = new AdminTask({
    address: settings.listen.admin,
    metrics,
    log: log.child('admin'),
    readiness: () => readinessOf(state),
    status: () =>
      statusOf(state, {
        open_requests: openCalls.count,
        queued: gate.queued,
        keys: keys.size,
        key_bytes: keys.bytes,
        suspects: suspects.size,
        rpc_bytes: rpc.traffic,
      }),
  });
  const rejections = new RejectionCount((count) =>
    log.warn('unfinished bodies rejected, as bodies take up too much', { count }),
  );
  const bodies = new BodyMemory(settings.max_body_memory_mb * BYTES_PER_MB, {
    maxOpen: settings.max_open_bodies,
    onReject: (reason) => {
      entryMetrics.onBodyRejected(reason);
      rejections.add();
    },
  });
  const peers = new PeerTask({
    address: settings.listen.peers,
    state,
    timers,
    bodies,
    auth,
    runner,
    keys,
    onRevision: (revision) => sync.onRevisionHint(revision),
    onSuspects: (records) => suspects.merge(records, timers.now()),
    log: log.child('peers'),
  });
  const callers = new CallerTask({
    address: settings.listen.callers,
    keyMayHaveRun: (key) => keys.mayHaveRun(key, timers.wall()),
    state,
    timers,
    bodies,
    runner,
    sync,
    metrics: entryMetrics,
    log: log.child('callers'),
    drainNoticeMs: deps.drainNoticeMs,
  });
  const housekeeping = new HousekeepingTask({
    timers,
    keys,
    gate,
    suspects,
    budget,
    state,
    rpc,
    httpClient,
  });
  const tasks = [housekeeping, admin, sync, peers, callers];
  return { bootId, state, callers, peers, admin, tasks };
}
