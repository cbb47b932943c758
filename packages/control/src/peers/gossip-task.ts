/** Gossip between control daemons, and fetches of what a peer holds in a newer version. */
import {
  MembershipTiming,
  isSummaryPublisher,
  isSuspectVisible,
  seededRandom,
  summarizeEntries,
  summarizeServices,
  type GossipParams,
  type GossipResult,
  type OriginUpdate,
  type RandomSource,
} from '@marjoramcart/core';
import type { Logger, RpcClient, Task } from '@marjoramcart/runtime';
import type { ControlMetrics } from '../control-metrics.js';
import type { ChangeSource, ControlState } from '../control-state.js';
import type { PeerFetcher } from '../config/config-task.js';
import { controlsInOtherDomains } from './controls-elsewhere.js';
import { DrainingAnnouncer, hasDrainingEntry } from './draining-news.js';
import { GossipPacker } from './gossip-packing.js';
import { NewestVersionFetcher } from './newest-fetch.js';
import { PeerClient } from './peer-fetches.js';
import { pickRandom } from './pick-random.js';
import { applyProbeResults } from './take-opinions.js';

/**
 * Peers of the own failure domain that one daemon contacts each second. What must be known at once
 * is announced to all peers, so one is enough for the load figures.
 */
const FAN_OUT = 1;
const REMOTE_CANDIDATES = 3;
/**
 * Own changes of more heartbeats ago have most likely reached a peer through others. A peer that
 * lacks them ignores the update and asks for them in its next exchange.
 */
const UNSOLICITED_HEARTBEATS = 3;
const RPC_TIMEOUT_MS = 1000;

export interface GossipTaskOptions {
  readonly state: ControlState;
  readonly rpc: Pick<RpcClient, 'call' | 'close'>;
  readonly seeds: readonly string[];
  readonly seed: number;
  readonly metrics: ControlMetrics;
  readonly log: Logger;
}

export class GossipTask implements Task, PeerFetcher {
  readonly name = 'gossip';

  private readonly random: RandomSource;

  /** Own heartbeat that each peer is known to hold. */
  private readonly heartbeatKnownBy = new Map<string, number>();

  /** Whether this daemon publishes the summary of its failure domain. */
  private isPublisher = false;

  private readonly packer: GossipPacker;

  private readonly drainingAnnouncer: DrainingAnnouncer;

  private readonly configFetcher: NewestVersionFetcher;

  private readonly vmsFetcher: NewestVersionFetcher;

  private unsubscribe: (() => void)[] = [];

  constructor(private readonly options: GossipTaskOptions) {
    this.packer = new GossipPacker(options.state);
    this.random = seededRandom(options.seed);
    this.drainingAnnouncer = new DrainingAnnouncer({
      state: options.state,
      random: this.random,
      peerAddresses: () => this.liveAddresses(),
      buildMessage: (...args) => this.buildMessage(...args),
      send: (address, params) => {
        void this.exchange(address, params);
      },
    });
    const { config, vms, timers } = options.state;
    const fetches = new PeerClient({ ...options, log: options.log.child('gossip') });
    const now = (): number => timers.now();
    this.configFetcher = new NewestVersionFetcher({
      currentVersion: () => config.revision,
      fetch: (address, source) => fetches.fetchConfig(address, source),
      now,
    });
    this.vmsFetcher = new NewestVersionFetcher({
      currentVersion: () => vms.current.version,
      fetch: (address, source) => fetches.fetchVms(address, source),
      now,
    });
    options.state.onChange((source) => this.announceChange(source));
  }

  start(): Promise<void> {
    const { timers } = this.options.state;
    this.unsubscribe = [
      timers.every(MembershipTiming.GossipIntervalMs, () => this.round()),
      timers.every(MembershipTiming.RemoteGossipIntervalMs, () => this.remoteRound()),
      timers.onPause(() => this.round()),
    ];
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.unsubscribe.forEach((fn) => fn());
    this.options.rpc.close();
    return Promise.resolve();
  }

  /** One round within the failure domain. */
  round(): void {
    const { state } = this.options;
    this.tick();
    const unknown = pickRandom(this.random, this.unknownAddresses(), 1);
    const known = pickRandom(this.random, this.liveAddresses(), FAN_OUT);
    [...known, ...unknown].forEach((address, index) => {
      void this.exchange(address, this.buildMessage(address, true, index === 0));
    });
    if (state.vms.current.version === 0) void this.fetchFromPeers();
  }

  /** One exchange with a control daemon of another failure domain. */
  remoteRound(): void {
    const { state } = this.options;
    const controls = controlsInOtherDomains(state);
    // Of a few random domains, the one with the oldest summary, so that none expires by bad luck.
    const nowMs = state.timers.now();
    const [domain] = pickRandom(this.random, [...controls.keys()], REMOTE_CANDIDATES).sort(
      (a, b) => state.summaries.ageOf(b, nowMs) - state.summaries.ageOf(a, nowMs),
    );
    const [control] = pickRandom(this.random, controls.get(domain ?? '') ?? [], 1);
    if (control) {
      void this.exchange(
        control.address,
        this.buildMessage(control.address, false, true, control.region),
      );
    }
  }

  /** Tells all live peers of the failure domain at once that there is something new. */
  announceChange(source: ChangeSource): void {
    // A peer that learnt of it in the failure domain leaves the announcement to the first one.
    if (source === 'own-domain') return;
    this.pushToAddresses(this.liveAddresses());
  }

  /** Tells some peers of the failure domain at once what this daemon observed. */
  pushTo(bootIds: ReadonlySet<string>): void {
    const live = this.options.state.members.liveControls(this.options.state.timers.now());
    const told = live.filter(({ bootId }) => bootIds.has(bootId));
    this.pushToAddresses(told.map(({ peerAddress }) => peerAddress));
  }

  /** Answers `gossip.exchange`. */
  handleExchange(message: GossipParams): GossipResult {
    const { state } = this.options;
    const nowMs = state.timers.now();
    const params = this.packer.unpack(message);
    const { from, heartbeats } = params;
    const own = from.failureDomain === state.self.failureDomain;
    this.applyMessage(params);
    const result = {
      ...this.commonFields(),
      ...(own && { origins: heartbeats ? state.members.updatesSince(heartbeats) : [] }),
      summaries: params.summaryVersions
        ? state.summaries.updatesSince(params.summaryVersions, nowMs)
        : [],
      suspects: state.suspects.recordsForMessage(from.region, state.cfg, nowMs),
    };
    return this.packer.pack(result, from.peerAddress);
  }

  /** Cold start: takes the newest configuration and list that any seed or peer has. */
  async fetchFromPeers(): Promise<void> {
    const addresses = new Set([
      ...this.options.seeds,
      ...this.unknownAddresses(),
      ...this.liveAddresses(),
    ]);
    addresses.delete(this.options.state.self.peerAddress);
    // The answers tell who holds what; only one of the holders is then asked for it.
    const params = {
      ...this.commonFields(),
      heartbeats: {},
      summaryVersions: this.options.state.summaries.versions(),
      summaries: [],
      suspects: [],
    };
    await Promise.allSettled([...addresses].map((address) => this.exchange(address, params)));
    await Promise.all([this.configFetcher.settled(), this.vmsFetcher.settled()]);
  }

  private pushToAddresses(addresses: readonly string[]): void {
    this.tick();
    addresses.forEach((address) => {
      void this.exchange(address, this.buildMessage(address, true, false));
    });
  }

  private async exchange(address: string, params: GossipParams): Promise<void> {
    const { rpc, metrics, state } = this.options;
    const message = this.packer.pack(params, address);
    const result = await rpc.call(address, 'gossip.exchange', message, RPC_TIMEOUT_MS);
    if (result.kind === 'error') {
      metrics.gossip.inc({ result: result.error.kind });
      this.heartbeatKnownBy.delete(address);
      return;
    }
    metrics.gossip.inc({ result: 'ok' });
    this.applyMessage(this.packer.unpack(result.value));
    this.recordSent(address, params, state.self.bootId);
  }

  private recordSent(address: string, params: GossipParams, self: string): void {
    const sent = params.origins?.find(({ bootId }) => bootId === self);
    if (sent) this.heartbeatKnownBy.set(address, sent.heartbeat);
  }

  /** Takes what a message brings and fetches what its sender holds in a newer version. */
  private applyMessage(message: GossipParams): void {
    const { state } = this.options;
    const nowMs = state.timers.now();
    const { from, origins = [] } = message;
    const own = from.failureDomain === state.self.failureDomain;
    if (own) applyProbeResults(state.targets, state.members.merge(origins, nowMs), nowMs);
    state.summaries.merge(message.summaries, nowMs);
    if (own && hasDrainingEntry(origins)) this.publish();
    this.drainingAnnouncer.announce(own, this.isPublisher);
    const { cfg } = state;
    // Checked on both sides, since the sender may have another configuration.
    const allowed = message.suspects.filter(
      (record) => cfg && isSuspectVisible(cfg, record, state.self.region),
    );
    state.suspects.merge(allowed, nowMs);
    state.config.observeRevision(message.revision);
    if (message.rejected) state.config.reject(message.rejected);
    const source = own ? 'own-domain' : 'other-domain';
    this.configFetcher.offer(from.peerAddress, message.revision, source);
    this.vmsFetcher.offer(from.peerAddress, message.vmListVersion, source);
  }

  private tick(): void {
    const { state } = this.options;
    const nowMs = state.timers.now();
    state.members.tick(state.config.revision, nowMs);
    this.publish();
    this.drainingAnnouncer.announce(true, this.isPublisher);
  }

  /** Publishes the summary of the failure domain if that is this daemon's duty. */
  private publish(): void {
    const { state } = this.options;
    const nowMs = state.timers.now();
    const { failureDomain, bootId } = state.self;
    this.isPublisher = isSummaryPublisher(failureDomain, bootId, state.liveControlIds());
    if (!this.isPublisher) return;
    const services = Object.keys(state.cfg?.services ?? {});
    state.summaries.publish(
      summarizeServices(services, state.targetStates()),
      summarizeEntries(state.processes().filter(({ load }) => load)),
      { nowMs, wallMs: state.timers.wall() },
    );
  }

  /** Own changes for a peer; all of them if it may not know this daemon. */
  private localUpdate(address: string): OriginUpdate {
    const { members, self } = this.options.state;
    const sent = this.heartbeatKnownBy.get(address);
    if (!this.packer.hasSameMembers(address)) return members.localUpdate(sent);
    const recent = (members.heartbeats()[self.bootId] ?? 0) - UNSOLICITED_HEARTBEATS;
    return members.localUpdate(Math.max(sent ?? 0, recent));
  }

  private commonFields(): Pick<GossipParams, 'from' | 'revision' | 'rejected' | 'vmListVersion'> {
    const { state } = this.options;
    const { rejected } = state.config;
    return {
      from: state.self,
      revision: state.config.revision,
      ...(rejected && { rejected }),
      vmListVersion: state.vms.current.version,
    };
  }

  private buildMessage(
    address: string,
    own: boolean,
    withSummaries: boolean,
    region = this.options.state.self.region,
  ): GossipParams {
    const { state } = this.options;
    const nowMs = state.timers.now();
    return {
      ...this.commonFields(),
      ...(own && {
        heartbeats: state.members.heartbeats(),
        origins: [this.localUpdate(address)],
      }),
      ...(withSummaries && { summaryVersions: state.summaries.versions() }),
      // Within the failure domain only its publisher has news about it.
      summaries:
        own && !this.isPublisher
          ? []
          : state.summaries.localUpdate({ nowMs, wallMs: state.timers.wall() }),
      suspects: state.suspects.recordsForMessage(region, state.cfg, nowMs),
    };
  }

  private liveAddresses(): string[] {
    const { state } = this.options;
    return state.members
      .liveControls(state.timers.now())
      .filter(({ bootId }) => bootId !== state.self.bootId)
      .map(({ peerAddress }) => peerAddress);
  }

  /** Addresses of the own failure domain at which no live daemon is known. */
  private unknownAddresses(): string[] {
    const { state, seeds } = this.options;
    const known = new Set([...this.liveAddresses(), state.self.peerAddress]);
    const listed = state.vms.vmsOf(state.self.failureDomain, 'entry').map(({ address }) => address);
    const others = state.vms.current.version === 0 ? seeds : [];
    return [...new Set([...listed, ...others])].filter((address) => !known.has(address));
  }
}
