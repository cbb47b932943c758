/**
 * Gossip between control daemons. Also fetches the configuration and the list of VMs from a peer that
 * has a newer version.
 */
import {
  MembershipTiming,
  isSuspectVisible,
  seededRandom,
  type GossipParams,
  type GossipResult,
  type OriginUpdate,
  type RandomSource,
} from '@marjoramcart/core';
import type { Logger, RpcClient, Task } from '@marjoramcart/runtime';
import type { ControlMetrics } from '../control-metrics.js';
import type { ChangeSource, ControlState } from '../control-state.js';
import type { PeerFetcher } from '../config/config-task.js';
import { controlsInOtherDomains } from './controls-in-other-domains.js';
import { DrainingAnnouncer, hasDrainingEntry } from './draining-announcer.js';
import { GossipPacker } from './gossip-packer.js';
import { NewestVersionFetcher } from './newest-version-fetcher.js';
import { PeerClient } from './peer-client.js';
import { pickRandom } from './pick-random.js';
import { applyProbeResults } from './apply-probe-results.js';
import { SummaryPublisher } from './summary-publisher.js';

/**
 * Live peers of the local failure domain that one daemon contacts per round. Urgent changes are sent
 * to all peers at once, so one is enough for the load figures.
 */
const PEERS_PER_ROUND = 1;
const REMOTE_DOMAIN_CANDIDATES = 3;
/**
 * Local changes of this many heartbeats are sent without a request. Older ones have most likely
 * reached a peer through others; a peer that lacks them ignores the update and requests them in its
 * next exchange.
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

  /** Latest local heartbeat that each peer is known to have, by address. */
  private readonly heartbeatKnownBy = new Map<string, number>();

  private readonly publisher: SummaryPublisher;

  private readonly packer: GossipPacker;

  private readonly drainingAnnouncer: DrainingAnnouncer;

  private readonly configFetcher: NewestVersionFetcher;

  private readonly vmsFetcher: NewestVersionFetcher;

  private unsubscribe: (() => void)[] = [];

  constructor(private readonly options: GossipTaskOptions) {
    this.packer = new GossipPacker(options.state);
    this.publisher = new SummaryPublisher(options.state);
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
    const peerClient = new PeerClient({ ...options, log: options.log.child('gossip') });
    const now = (): number => timers.now();
    this.configFetcher = new NewestVersionFetcher({
      currentVersion: () => config.revision,
      fetch: (address, source) => peerClient.fetchConfig(address, source),
      now,
    });
    this.vmsFetcher = new NewestVersionFetcher({
      currentVersion: () => vms.current.version,
      fetch: (address, source) => peerClient.fetchVms(address, source),
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

  /** Runs one gossip round within the failure domain. */
  round(): void {
    const { state } = this.options;
    this.updateLocalState();
    const unknown = pickRandom(this.random, this.unknownAddresses(), 1);
    const known = pickRandom(this.random, this.liveAddresses(), PEERS_PER_ROUND);
    const [first] = [...known, ...unknown];
    known.forEach((address) => {
      void this.exchange(address, this.buildMessage(address, true, address === first));
    });
    unknown.forEach((address) => {
      const message = this.buildMessage(address, true, address === first);
      // A seed may be in a region that must not know the local suspects.
      void this.exchange(address, { ...message, suspects: [] });
    });
    if (state.vms.current.version === 0) void this.fetchFromPeers();
  }

  /** Starts one exchange with a control daemon of another failure domain. */
  remoteRound(): void {
    const { state } = this.options;
    const controls = controlsInOtherDomains(state);
    // Of a few random domains, picks the one with the oldest summary, so that none expires by chance.
    const nowMs = state.timers.now();
    const [domain] = pickRandom(this.random, [...controls.keys()], REMOTE_DOMAIN_CANDIDATES).sort(
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

  /** Sends local changes to all live peers of the failure domain at once. */
  announceChange(source: ChangeSource): void {
    // A change received within the failure domain was already announced by its first receiver.
    if (source === 'own-domain') return;
    this.pushToAddresses(this.liveAddresses());
  }

  /** Sends local changes at once to those peers of the failure domain that are in `bootIds`. */
  pushTo(bootIds: ReadonlySet<string>): void {
    const live = this.options.state.members.liveControls(this.options.state.timers.now());
    const recipients = live.filter(({ bootId }) => bootIds.has(bootId));
    this.pushToAddresses(recipients.map(({ peerAddress }) => peerAddress));
  }

  /** Handles `gossip.exchange`: applies the message and returns what the sender lacks. */
  handleExchange(message: GossipParams): GossipResult {
    const { state } = this.options;
    const nowMs = state.timers.now();
    const params = this.packer.unpack(message);
    const { from, heartbeats } = params;
    const isLocal = from.failureDomain === state.self.failureDomain;
    this.applyMessage(params);
    const result = {
      ...this.commonFields(),
      ...(isLocal && { origins: heartbeats ? state.members.updatesSince(heartbeats) : [] }),
      summaries: params.summaryVersions
        ? state.summaries.updatesSince(params.summaryVersions, nowMs)
        : [],
      suspects: state.suspects.recordsForMessage(from.region, state.cfg, nowMs),
    };
    return this.packer.pack(result, from.peerAddress);
  }

  /** Fetches the newest configuration and list of VMs that any seed or peer has. */
  async fetchFromPeers(): Promise<void> {
    const addresses = new Set([
      ...this.options.seeds,
      ...this.unknownAddresses(),
      ...this.liveAddresses(),
    ]);
    addresses.delete(this.options.state.self.peerAddress);
    // The responses contain the versions; one peer with the newest version is then asked for it.
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
    this.updateLocalState();
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

  /** Merges a message into the state and starts fetches if the sender has newer versions. */
  private applyMessage(message: GossipParams): void {
    const { state } = this.options;
    const nowMs = state.timers.now();
    const { from, origins = [] } = message;
    const isLocal = from.failureDomain === state.self.failureDomain;
    if (isLocal) applyProbeResults(state.targets, state.members.merge(origins, nowMs), nowMs);
    state.summaries.merge(message.summaries, nowMs);
    if (isLocal && hasDrainingEntry(origins)) this.publisher.publish();
    this.drainingAnnouncer.announce(isLocal, this.publisher.isPublisher);
    const { cfg } = state;
    // Checked on both sides, since the sender may have another configuration.
    const allowed = message.suspects.filter(
      (record) => cfg && isSuspectVisible(cfg, record, state.self.region),
    );
    state.suspects.merge(allowed, nowMs);
    state.config.observeRevision(message.revision);
    if (message.rejected) state.config.reject(message.rejected);
    const source = isLocal ? 'own-domain' : 'other-domain';
    this.configFetcher.offer(from.peerAddress, message.revision, source);
    this.vmsFetcher.offer(from.peerAddress, message.vmListVersion, source);
  }

  /** Starts the next heartbeat and publishes what changed in the failure domain. */
  private updateLocalState(): void {
    const { state } = this.options;
    const nowMs = state.timers.now();
    state.members.tick(state.config.revision, nowMs);
    this.publisher.publish();
    this.drainingAnnouncer.announce(true, this.publisher.isPublisher);
  }

  /** Local changes for a peer; all of them if the peer may not know this daemon. */
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
    isLocal: boolean,
    withSummaries: boolean,
    region = this.options.state.self.region,
  ): GossipParams {
    const { state } = this.options;
    const nowMs = state.timers.now();
    return {
      ...this.commonFields(),
      ...(isLocal && {
        heartbeats: state.members.heartbeats(),
        origins: [this.localUpdate(address)],
      }),
      ...(withSummaries && { summaryVersions: state.summaries.versions() }),
      // Within the failure domain only its publisher has updates of its summary.
      summaries:
        isLocal && !this.publisher.isPublisher
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

  /** Addresses of the local failure domain at which no live daemon is known. */
  private unknownAddresses(): string[] {
    const { state, seeds } = this.options;
    const known = new Set([...this.liveAddresses(), state.self.peerAddress]);
    const listed = state.vms.vmsOf(state.self.failureDomain, 'entry').map(({ address }) => address);
    const others = state.vms.current.version === 0 ? seeds : [];
    return [...new Set([...listed, ...others])].filter((address) => !known.has(address));
  }
}
