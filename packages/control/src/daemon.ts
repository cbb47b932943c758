/** Creates the tasks of the control daemon and connects them. */
import type { ProcessRef } from '@marjoramcart/core';
import {
  AdminTask,
  Kernel,
  MessageAuthenticator,
  Metrics,
  RpcClient,
  RpcServer,
  makeBootId,
  type ControlSettings,
  type Logger,
  type Task,
} from '@marjoramcart/runtime';
import { ConfigTask } from './config/config-task.js';
import { createControlMetrics, type ControlMetrics } from './control-metrics.js';
import { ControlState } from './control-state.js';
import { OrderTask } from './orders/order-task.js';
import { GossipTask } from './peers/gossip-task.js';
import { PeerTask } from './peers/peer-task.js';
import { PlatformClient } from './platform/platform-client.js';
import { ProbeTask } from './probes/probe-task.js';
import { TargetClient } from './probes/target-client.js';
import { statusOf } from './status.js';

/** A control daemon and the components that tests and the main program use. */
export interface ControlDaemon {
  readonly kernel: Kernel;
  readonly state: ControlState;
  readonly peers: PeerTask;
  readonly admin: AdminTask;
}

/**
 * Creates a control daemon; `kernel.run()` starts it.
 *
 * @example await createControlDaemon(settings, log).kernel.run()
 */
export function createControlDaemon(settings: ControlSettings, log: Logger): ControlDaemon {
  const { vm, region } = settings;
  const registry = new Metrics({ vm, region, failure_domain: settings.failure_domain });
  const kernel = new Kernel({ log, metrics: registry });
  const { timers } = kernel;
  const metrics = createControlMetrics(registry);
  const self = processRef(settings, makeBootId(timers.wall()));
  const state = new ControlState(self, timers);
  const auth = new MessageAuthenticator(settings.fleet_secret, () => timers.wall());
  const rpc = new RpcClient(auth, self.bootId, settings.dial_map, settings.compress_messages);
  const server = new RpcServer(auth, log.child('rpc'));
  const countBytes = (bytes: { sent: number; received: number }): void => {
    metrics.bytes.inc({ direction: 'sent' }, bytes.sent);
    metrics.bytes.inc({ direction: 'received' }, bytes.received);
  };
  const platform = new PlatformClient(
    settings.platform,
    (kind) => metrics.platformCalls.inc({ kind }),
    countBytes,
  );
  const gossip = new GossipTask({
    state,
    rpc,
    seeds: settings.seeds,
    seed: Math.floor(timers.wall()) % 2 ** 31,
    metrics,
    log,
  });
  const config = new ConfigTask({ state, platform, peers: gossip, metrics, log });
  const client = new TargetClient(settings.dial_map, countBytes);
  const probes = new ProbeTask({
    state,
    client,
    metrics,
    log,
    onTransition: () => gossip.announceChange('platform'),
    onFirstFailure: (probers) => gossip.pushTo(probers),
  });
  const orders = new OrderTask({ state, client, metrics, log });
  const peers = new PeerTask({
    state,
    gossip,
    server,
    probeNow: (vms) => {
      void probes.probeAll(vms);
    },
    address: settings.listen.peers,
    log,
  });
  const refresh = metricsRefresher(state, metrics, rpc, server);
  const { admin: address } = settings.listen;
  const admin = new AdminTask({
    address,
    metrics: registry,
    log: log.child('admin'),
    readiness: () => ({
      ready: state.coldStartComplete,
      status: state.coldStartComplete ? 'ready' : 'no_configuration',
      revision: state.config.revision,
    }),
    status: () => statusOf(state),
    refresh,
  });
  timers.onPause(({ durationMs }) => {
    metrics.pauses.inc();
    log.warn('process was paused', { durationMs: Math.round(durationMs) });
  });
  const tasks: Task[] = [
    admin,
    peers,
    gossip,
    config,
    probes,
    orders,
    platformClientTask(platform),
  ];
  tasks.forEach((task) => kernel.add(task));
  return { kernel, state, peers, admin };
}

function processRef(settings: ControlSettings, bootId: string): ProcessRef {
  return {
    bootId,
    role: 'control',
    vm: settings.vm,
    region: settings.region,
    failureDomain: settings.failure_domain,
    peerAddress: settings.listen.peers,
  };
}

/** Task that closes pending watches; it is added last, so that it is stopped first. */
function platformClientTask(platform: PlatformClient): Task {
  return {
    name: 'platform-client',
    start: () => Promise.resolve(),
    stop: () => {
      platform.close();
      return Promise.resolve();
    },
  };
}

function metricsRefresher(
  state: ControlState,
  metrics: ControlMetrics,
  rpc: RpcClient,
  server: RpcServer,
): () => void {
  const counted = { sent: 0, received: 0, localSent: 0, localReceived: 0 };
  return () => {
    const sent = rpc.traffic.sent + server.traffic.sent;
    const received = rpc.traffic.received + server.traffic.received;
    const { sent: localSent, received: localReceived } = server.localTraffic;
    metrics.bytes.inc({ direction: 'sent' }, sent - counted.sent);
    metrics.bytes.inc({ direction: 'received' }, received - counted.received);
    metrics.syncBytes.inc({ direction: 'sent' }, localSent - counted.localSent);
    metrics.syncBytes.inc({ direction: 'received' }, localReceived - counted.localReceived);
    Object.assign(counted, { sent, received, localSent, localReceived });
    const { config, vms, timers } = state;
    metrics.refused.set(server.refused);
    metrics.revision.set(config.revision);
    metrics.rejectedRevision.set(config.rejected?.revision ?? 0);
    metrics.vmListVersion.set(vms.current.version);
    metrics.isolated.set(state.isolated(timers.now()) ? 1 : 0);
    const states = state.targetStates();
    metrics.targets.set({ state: 'healthy' }, states.filter((t) => t.healthy).length);
    metrics.targets.set({ state: 'failed' }, states.filter((t) => !t.healthy).length);
    metrics.targets.set({ state: 'leaving' }, states.filter((t) => t.leaving).length);
  };
}
