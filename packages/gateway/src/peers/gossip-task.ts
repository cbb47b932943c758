/**
 * Task that exchanges records and updates with other gateways over UDP.
 *
 * Each tick (250 ms) a gateway sends one message to a gateway of its region and one to a gateway of
 * another region, both chosen at random, and every fourth tick one to a seed or a lost gateway. A
 * message has the sender's own record, the load of a region and up to `MAX_BEATS` beats, about 0.8 KB.
 * A gateway asks the sender for the records of processes that it does not know. Changes of targets,
 * reports and signals go to all gateways of the region at once. None of this grows with the fleet,
 * except for the number of recipients of a change, which is that of the region.
 */
import {
  GatewayPhase,
  GatewayRoster,
  GatewayTable,
  SMALL_REGION_MAX_GATEWAYS,
  beatOf,
  processIdOf,
  sampleItems,
  BeatResult,
  type GatewayBeat,
  type GatewayRecord,
  type HostUsageRow,
  type KnownGateway,
  type PeerWork,
  type QuotaMessage,
  type RandomSource,
  type ReachSign,
  type RegionSummary,
  type RelayedRecord,
  type SuspectRow,
} from '@marjoramcart/core';
import type { Logger, Task, TimerService, Unsubscribe } from '@marjoramcart/runtime';
import { decodeQuotaMessage, encodeQuotaMessage } from '../quota/quota-message.js';
import type { GatewaySettings } from '../settings.js';
import type { DemandRow } from '../sharing/packed-demand.js';
import { UdpPort, type DatagramPort } from './datagram-port.js';
import { decodeFleetUpdate, encodeFleetUpdate, type FleetUpdate } from './fleet-update.js';
import { decodeGossip, encodeGossip, type GossipMessage } from './gossip-message.js';
import { decodeNotification, type Notification } from './notification.js';
import { MembershipLog } from './membership-log.js';
import { NO_SIGNALS, type SignalRows } from './signal-rows.js';
import { decodeStreamUpdate, encodeStreamUpdate, type StreamUpdate } from './stream-update.js';
import { decodeSuspects, encodeSuspects } from './suspect-rows.js';
import { decodeTargetUpdate, encodeTargetUpdate, type TargetUpdate } from './target-update.js';

/** Which signals of targets a message contains, of each kind. */
export interface SignalLimits {
  /** The latest ones to become known. */
  readonly max: number;
  /** Leaves out those that have been known for longer, ms. */
  readonly maxKnownMs: number;
}

interface MessageSize {
  readonly beats: number;
  /** Records of gateways chosen at random. */
  readonly records: number;
  /** Whether the members of the roster are sent to a gateway of the region. */
  readonly roster: boolean;
  /** Signals of targets that are sent to a gateway of the region. */
  readonly signals: SignalLimits;
}

const TICK_MS = 250;
/** Number of ticks between messages to a seed or a lost gateway, which end a partition. */
const SEED_EVERY_TICKS = 4;
/** Range of the random first tick; larger than the number of gateways in a fleet. */
const MAX_FIRST_TICK = 1000;
/** Records that a gateway asks for at once, and that fit into one message. */
const MAX_WANTED = 48;
const MAX_RECORDS = 12;
/** Beats of other gateways in a message. */
const MAX_BEATS = 92;
/** Recent changes of the reach of other gateways in a message, and earlier ones. */
const MAX_RECENT_REACH_SIGNS = 32;
const MAX_EARLIER_REACH_SIGNS = 4;
/** Age up to which gateways are told to those that are discovering; ages above can't be sent. */
const MAX_DISCOVERY_AGE_MS = 6300;
/** Expected number of beats in the response to a message that asks for a part of the gateways. */
const PART_BEATS = 96;
/** Limit of beats of the own region in a message within it, which leaves room for other regions. */
const MAX_LOCAL_BEATS = 64;
const USUAL_SIZE: MessageSize = {
  beats: MAX_BEATS,
  records: 0,
  roster: false,
  signals: { max: 8, maxKnownMs: 10_000 },
};
/** Size of the response to a gateway that is new, or that is still discovering others. */
const DISCOVERY_SIZE: MessageSize = {
  beats: MAX_BEATS,
  records: MAX_RECORDS,
  roster: true,
  signals: { max: 64, maxKnownMs: Infinity },
};
/** Content of a message to a gateway of the region with another roster. */
const ROSTER_SIZE: MessageSize = {
  beats: 0,
  records: 0,
  roster: true,
  signals: { max: 0, maxKnownMs: 0 },
};
/** A message that only asks for records, or contains only these. */
const RECORDS_SIZE: MessageSize = {
  beats: 0,
  records: 0,
  roster: false,
  signals: { max: 0, maxKnownMs: 0 },
};
/** A gateway that is silent for longer is asked directly whether it lives, before it counts as lost. */
const SILENCE_MS = 5500;
const MAX_PROBES_PER_TICK = 4;
/** From this silence on it is asked twice per tick, since single datagrams may be lost. */
const LONG_SILENCE_MS = 6000;
/** Records that a gateway sends on request per tick, which limits the load on seeds at a start. */
const MAX_RECORDS_PER_TICK = 480;
/** A gateway asks for others until it has discovered none for this time, ms. */
const DISCOVERY_MS = 1500;
/** Messages per tick to gateways of the own region, and to others, while discovering. */
const DISCOVERY_MESSAGES = 3;
/** A record is not asked for again within this time, ms. */
const WANTED_AGAIN_MS = 400;
/** Age up to which the load of other regions is relayed, and share of messages with that of one. */
const MAX_SUMMARY_AGE_MS = 2000;
const SUMMARY_SHARE = 0.5;
/** Limit of gateways of other regions that get an immediate message, chosen at random. */
const MAX_REMOTE_RECIPIENTS = 64;
/** Hosts in a message to another region whose use is told. */
const MAX_USAGE_ROWS = 2;
/** A prompt with less prefill time than this per gateway of the region is not announced. */
const MIN_ANNOUNCED_PREFILL_MS = 15;
const RTT_WEIGHT = 0.2;
const DEFAULT_RTT_MS = 160;

/** State that the gateway sends about itself with each message. */
export interface LocalState {
  readonly phase: GatewayPhase;
  readonly configVersion: number;
  readonly revision: number;
  readonly era: number;
  /** Whether the gateway reaches no target of its region. */
  readonly cutOff: boolean;
  readonly regionWork: RegionSummary['work'];
  readonly targetWork: () => Readonly<Record<string, PeerWork>>;
  readonly suspects: readonly SuspectRow[];
  /** What targets of the region said about themselves. */
  readonly signals: (limits: SignalLimits) => SignalRows;
  /** Requests of this gateway's callers by route, of at most `max` hosts. */
  readonly usage: (max: number) => readonly HostUsageRow[];
  /** Demand of this gateway's callers for a service that is short. */
  readonly demands: () => readonly DemandRow[];
}

interface PeerLists {
  readonly alive: readonly GatewayRecord[];
  readonly local: readonly GatewayRecord[];
  readonly remote: readonly GatewayRecord[];
}

export interface GossipListener {
  /** A gateway of the local region sent the load that it puts on targets. */
  onTargetWork(node: string, work: Readonly<Record<string, PeerWork>>): void;
  /** A gateway of the local region sent an update about a target. */
  onTargetUpdate(update: TargetUpdate): void;
  /** A gateway of the local region that watches the source sent an update. */
  onFleetUpdate(update: FleetUpdate): void;
  /** A gateway sent what it knows about prompt segments that may crash targets. */
  onSuspects(rows: readonly SuspectRow[]): void;
  /** A gateway of the local region sent what targets said about themselves. */
  onSignals(rows: SignalRows, node: string): void;
  /** A gateway of another region sent which routes its callers use. */
  onUsage(region: string, rows: readonly HostUsageRow[]): void;
  /** A gateway of the local region sent the demand of its callers. */
  onDemands(node: string, rows: readonly DemandRow[]): void;
  /** A gateway sent or asked for the software versions of streams. */
  onStreamUpdate(update: StreamUpdate, ip: string): void;
  /** A gateway sent a message about the limits of customers. */
  onQuotaMessage(message: QuotaMessage, ip: string): void;
  /** The record of a gateway changed. */
  onRecord(record: GatewayRecord): void;
}

export class GossipTask implements Task {
  readonly name = 'gossip';

  readonly table: GatewayTable;

  /** Gateways of the local region. */
  readonly roster: GatewayRoster;

  private readonly bootAt: number;

  private readonly processId: number;

  private heartbeat = 0;

  /** How often this gateway lost its targets or reached them again; odd while it is cut off. */
  private reachChanges = 0;

  /** Starts at a random value, so that gateways that start together ask different seeds. */
  private ticks: number;

  private unsubscribe: Unsubscribe = () => undefined;

  private readonly rttMs = new Map<string, number>();

  /** Sender's clock and local time of receipt of the last message from each gateway. */
  private readonly lastFrom = new Map<string, { sentAt: number; at: number }>();

  private bytesSent = 0;

  private rosterCompleted = false;

  private readonly membershipLog: MembershipLog;

  /** When the record of each process was last asked for, monotonic ms. */
  private readonly wantedAt = new Map<number, number>();

  private recordsSentInTick = 0;

  /** Number of messages that asked for a part of the gateways. */
  private pulls = 0;

  private peerLists: PeerLists = { alive: [], local: [], remote: [] };

  /** When a gateway was last discovered, monotonic ms. */
  private discoveredAt: number;

  private seedIps: readonly string[];

  constructor(
    private readonly settings: GatewaySettings,
    private readonly timers: TimerService,
    private readonly random: RandomSource,
    private readonly log: Logger,
    private readonly localState: () => LocalState,
    private readonly listener: GossipListener,
    private readonly port: DatagramPort = new UdpPort(
      settings.ip,
      settings.gossipPort,
      (err) => log.debug('socket error', { err }),
      log,
    ),
  ) {
    this.table = new GatewayTable(settings.node);
    this.roster = new GatewayRoster(settings.node, timers.now());
    if (settings.seedIps.every((ip) => ip === settings.ip)) this.roster.onContact();
    this.seedIps = settings.seedIps;
    this.discoveredAt = timers.now();
    this.membershipLog = new MembershipLog(log);
    this.bootAt = Math.round(timers.wall());
    this.processId = processIdOf({ node: settings.node, bootAt: this.bootAt });
    this.ticks = Math.floor(random.next() * MAX_FIRST_TICK);
  }

  /** Total size of the messages sent since the start, bytes. */
  get traffic(): number {
    return this.bytesSent;
  }

  async start(): Promise<void> {
    await this.port.open((datagram, ip) => this.receive(datagram, ip));
    this.seedIps.forEach((ip) => this.send(ip));
    this.unsubscribe = this.timers.every(TICK_MS, () => this.tick());
  }

  stop(): Promise<void> {
    this.unsubscribe();
    return this.port.close();
  }

  /** Replaces the seeds and sends a message to each. */
  setSeeds(seedIps: readonly string[]): void {
    this.seedIps = seedIps;
    seedIps.forEach((ip) => this.send(ip));
  }

  /** Sends the local state to other gateways at once, for example when this one starts to drain. */
  announce(): void {
    this.recipientsOfAll().forEach((record) => this.send(record.ip, record, RECORDS_SIZE));
  }

  /** Sends an update about a target to the other gateways of the region. */
  announceTarget(update: TargetUpdate): void {
    const peers = this.regionPeers();
    const isShortPrompt =
      update.kind === 'prompt' && update.prompt.workMs < peers.length * MIN_ANNOUNCED_PREFILL_MS;
    if (peers.length === 0 || isShortPrompt) return;
    this.sendToRegion(encodeTargetUpdate(update));
  }

  /** Sends an update about targets to one gateway of the region. */
  sendTargetUpdate(update: TargetUpdate, node: string): void {
    const peer = this.table.get(node);
    if (peer) this.sendDatagram(encodeTargetUpdate(update), peer.ip);
  }

  /** Sends new evidence about prompt segments to other gateways; gossip spreads it to the rest. */
  announceSuspects(rows: readonly SuspectRow[]): void {
    const recipients = this.recipientsOfAll();
    encodeSuspects(rows).forEach((datagram) =>
      recipients.forEach(({ ip }) => this.sendDatagram(datagram, ip)),
    );
  }

  /** Sends changes that were read from the source to the other gateways of the region. */
  announceFleet(update: FleetUpdate): void {
    this.sendToRegion(encodeFleetUpdate(update));
  }

  /** Sends an update about streams to one gateway. */
  sendStreamUpdate(update: StreamUpdate, ip: string): void {
    this.sendDatagram(encodeStreamUpdate(update), ip);
  }

  /** Sends a message about the limits of customers to one gateway. */
  sendQuotaMessage(message: QuotaMessage, ip: string): void {
    this.sendDatagram(encodeQuotaMessage(message), ip);
  }

  private sendToRegion(datagram: Buffer): void {
    this.regionPeers().forEach(({ ip }) => this.sendDatagram(datagram, ip));
  }

  /** All gateways of the region, and some of the others. */
  private recipientsOfAll(): GatewayRecord[] {
    const remote = this.remotePeers();
    const share = MAX_REMOTE_RECIPIENTS / Math.max(MAX_REMOTE_RECIPIENTS, remote.length);
    return [...this.regionPeers(), ...remote.filter(() => this.random.next() < share)];
  }

  /** Measured round-trip time to a gateway, ms. */
  roundTripMs(node: string): number {
    return this.rttMs.get(node) ?? DEFAULT_RTT_MS;
  }

  private tick(): void {
    const now = this.timers.now();
    this.ticks += 1;
    this.recordsSentInTick = 0;
    const alive = this.table.alive(now);
    this.membershipLog.check(alive, (node) => this.table.ageMs(node, now));
    this.roster.expire(now);
    this.logRosterCompletion(now);
    const messages = this.isDiscovering(now) ? DISCOVERY_MESSAGES : 1;
    this.sendToSome(this.regionPeers(), messages);
    this.sendToSome(this.remotePeers(), messages);
    this.probeSilent(now);
    if (alive.length === 0 || this.ticks % SEED_EVERY_TICKS === 0) this.sendToLostOrSeed(now);
  }

  /** Asks gateways that may seem lost just because their beats were. */
  private probeSilent(now: number): void {
    this.table
      .silent(SILENCE_MS, now)
      .slice(0, MAX_PROBES_PER_TICK)
      .flatMap((record) =>
        this.table.ageMs(record.node, now) >= LONG_SILENCE_MS ? [record, record] : [record],
      )
      .forEach((record) =>
        this.send(record.ip, record, RECORDS_SIZE, { wanted: [processIdOf(record)] }),
      );
  }

  private logRosterCompletion(now: number): void {
    if (this.rosterCompleted || !this.roster.isComplete(now)) return;
    this.rosterCompleted = true;
    this.log.info('roster of the region is complete', { gateways: this.roster.size });
  }

  /** Live gateways of the local region, without this one. */
  regionPeers(): readonly GatewayRecord[] {
    return this.peers().local;
  }

  private remotePeers(): readonly GatewayRecord[] {
    return this.peers().remote;
  }

  /** Live gateways by region; the lists are used until the table has other ones. */
  private peers(): PeerLists {
    const alive = this.table.alive(this.timers.now());
    if (this.peerLists.alive !== alive) {
      const isLocal = ({ region }: GatewayRecord): boolean => region === this.settings.region;
      const remote = alive.filter((record) => !isLocal(record));
      this.peerLists = { alive, local: alive.filter(isLocal), remote };
    }
    return this.peerLists;
  }

  /** Sends a message to the next seed or lost gateway, in turn. */
  private sendToLostOrSeed(now: number): void {
    const alive = new Set(this.table.alive(now).map(({ ip }) => ip));
    const lost = this.table.lost(now).map(({ ip }) => ip);
    const unreachable = [...new Set([...this.seedIps, ...lost])].filter(
      (ip) => ip !== this.settings.ip && !alive.has(ip),
    );
    const ip = unreachable[this.ticks % Math.max(1, unreachable.length)];
    if (ip !== undefined) this.send(ip);
  }

  /** Chosen at random: by turns, gateways with similar lists would stay in step and choose the same. */
  private sendToSome(records: readonly GatewayRecord[], count: number): void {
    sampleItems(records, count, this.random).forEach((record) => this.send(record.ip, record));
  }

  private send(
    ip: string,
    to?: GatewayRecord,
    { beats, records, roster, signals }: MessageSize = USUAL_SIZE,
    content: Partial<Pick<GossipMessage, 'others' | 'wanted' | 'beats'>> = {},
  ): void {
    const now = this.timers.now();
    this.heartbeat += 1;
    const { node, region, failureDomain } = this.settings;
    const {
      targetWork,
      suspects,
      signals: signalRows,
      regionWork,
      usage,
      demands,
      ...state
    } = this.localState();
    if (state.cutOff !== (this.reachChanges % 2 === 1)) this.reachChanges += 1;
    const last = to ? this.lastFrom.get(to.node) : undefined;
    const toRegion = to?.region === region;
    const datagram = encodeGossip({
      from: {
        node,
        bootAt: this.bootAt,
        heartbeat: this.heartbeat,
        region,
        failureDomain,
        ip: this.settings.ip,
        ...state,
        reachChanges: this.reachChanges,
      },
      others: this.recordsFor(records, now),
      wanted: [],
      beats: this.beatsFor(to, beats, now),
      reach: beats > 0 ? this.reachSigns(now) : [],
      ...content,
      ...this.nextPull(beats > 0 && records === 0, now),
      // The gateways of the region know its load themselves.
      work: toRegion ? {} : regionWork,
      summaries: toRegion && beats > 0 ? this.summariesFor(now) : [],
      targetWork: toRegion && this.isSmallRegion() ? targetWork() : {},
      ...(toRegion ? { roster: this.roster.summary(now) } : {}),
      rosterMembers: toRegion && roster ? this.roster.members(now) : [],
      suspects,
      signals: toRegion ? signalRows(signals) : NO_SIGNALS,
      usage: to && !toRegion && beats > 0 ? usage(MAX_USAGE_ROWS) : [],
      demands: toRegion && beats > 0 && records === 0 ? demands() : [],
      sentAt: Math.round(now),
      ...(last ? { echo: { sentAt: last.sentAt, heldMs: Math.round(now - last.at) } } : {}),
    });
    this.sendDatagram(datagram, ip);
  }

  /** In larger regions, load reports of the targets are more accurate than the gateways' own counts. */
  private isSmallRegion(): boolean {
    return this.regionPeers().length < SMALL_REGION_MAX_GATEWAYS;
  }

  /** Mostly gateways of the own region, since the other regions tell of theirs in the same way. */
  private beatsFor(to: GatewayRecord | undefined, max: number, now: number): GatewayBeat[] {
    if (max === 0) return [];
    const { region } = this.settings;
    const recent = this.table.recent(now).filter(({ record }) => record.node !== to?.node);
    const own = recent.filter(({ record }) => record.region === region);
    const others = recent.filter(({ record }) => record.region !== region);
    const maxOwn = to?.region === region ? Math.min(max, MAX_LOCAL_BEATS) : max;
    const first = sampleItems(own, maxOwn, this.random);
    return [...first, ...sampleItems(others, max - first.length, this.random)].map((known) =>
      beatOf(known, now),
    );
  }

  private reachSigns(now: number): readonly ReachSign[] {
    return this.table.reachSigns(MAX_RECENT_REACH_SIGNS, MAX_EARLIER_REACH_SIGNS, this.random, now);
  }

  private recordsFor(count: number, now: number): RelayedRecord[] {
    if (count === 0) return [];
    return sampleItems(this.table.recent(now, MAX_DISCOVERY_AGE_MS), count, this.random).map(
      (known) => relayed(known, now),
    );
  }

  private isDiscovering(now: number): boolean {
    return now - this.discoveredAt < DISCOVERY_MS;
  }

  private nextPull(mayPull: boolean, now: number): Pick<GossipMessage, 'pull'> {
    if (!mayPull || !this.isDiscovering(now)) return {};
    this.pulls += 1;
    return { pull: this.pulls };
  }

  /** Beats of one part of all gateways; parts with successive numbers cover all of them. */
  private beatsOfPart(part: number, now: number): GatewayBeat[] {
    const known = this.table.recent(now, MAX_DISCOVERY_AGE_MS);
    const parts = Math.max(1, Math.ceil(known.length / PART_BEATS));
    return known
      .filter(({ processId }) => processId % parts === part % parts)
      .map((gateway) => beatOf(gateway, now));
  }

  private summariesFor(now: number): RegionSummary[] {
    const count = this.random.next() < SUMMARY_SHARE ? 1 : 0;
    return sampleItems(this.table.recentSummaries(MAX_SUMMARY_AGE_MS, now), count, this.random);
  }

  private sendDatagram(datagram: Buffer, ip: string): void {
    this.bytesSent += datagram.length;
    this.port.send(datagram, ip);
  }

  private receive(datagram: Buffer, address: string): void {
    try {
      const notification = decodeNotification(datagram);
      if (!this.dispatch(notification, address)) {
        this.log.warn('unknown message dropped', { from: address, method: notification.method });
      }
    } catch (err) {
      this.log.warn('unreadable message dropped', { from: address, bytes: datagram.length, err });
    }
  }

  /** Passes a message to its handler; returns false when its method is unknown. */
  private dispatch(notification: Notification, address: string): boolean {
    const targetUpdate = decodeTargetUpdate(notification);
    if (targetUpdate) this.listener.onTargetUpdate(targetUpdate);
    const fleetUpdate = decodeFleetUpdate(notification);
    if (fleetUpdate) this.listener.onFleetUpdate(fleetUpdate);
    const streamUpdate = decodeStreamUpdate(notification);
    if (streamUpdate) this.listener.onStreamUpdate(streamUpdate, address);
    const suspects = decodeSuspects(notification);
    if (suspects) this.listener.onSuspects(suspects);
    const quota = decodeQuotaMessage(notification);
    if (quota) this.listener.onQuotaMessage(quota, address);
    const message = decodeGossip(notification);
    if (message) this.handleGossip(message);
    return [targetUpdate, fleetUpdate, streamUpdate, suspects, quota, message].some(
      (decoded) => decoded !== undefined,
    );
  }

  private handleGossip(message: GossipMessage): void {
    const now = this.timers.now();
    const { from } = message;
    if (from.node === this.settings.node) return;
    const isNew =
      this.table.get(from.node)?.bootAt !== from.bootAt || !this.table.isAlive(from.node, now);
    this.roster.onContact();
    this.lastFrom.set(from.node, { sentAt: message.sentAt, at: now });
    if (message.echo)
      this.recordRoundTrip(from.node, now - message.echo.sentAt - message.echo.heldMs);
    const transitMs = this.roundTripMs(from.node) / 2;
    this.mergeRecord({ record: from, ageMs: 0 }, now);
    message.others.forEach(({ record, ageMs }) =>
      this.mergeRecord({ record, ageMs: ageMs + transitMs }, now),
    );
    this.mergeLoads(message, now);
    const unknown = message.beats
      .map((beat) => ({ ...beat, ageMs: beat.ageMs + transitMs }))
      .filter((beat) => this.table.mergeBeat(beat, now) === BeatResult.Unknown)
      .map(({ processId }) => processId);
    message.reach.forEach((sign) => this.table.mergeReach(sign, now));
    this.listener.onSuspects(message.suspects);
    const inRegion = from.region === this.settings.region;
    if (inRegion && this.isSmallRegion()) {
      this.listener.onTargetWork(from.node, message.targetWork);
    }
    if (inRegion) {
      this.listener.onSignals(message.signals, from.node);
      this.listener.onDemands(from.node, message.demands);
    } else this.listener.onUsage(from.region, message.usage);
    const rostersDiffer = inRegion && this.mergeRoster(message, now);
    this.sendRecords(message.wanted, from, now);
    const wanted = this.selectWanted(unknown, now);
    if (message.pull !== undefined) {
      const beats = this.beatsOfPart(message.pull, now);
      this.send(from.ip, from, DISCOVERY_SIZE, { wanted, beats });
    } else if (isNew) this.send(from.ip, from, DISCOVERY_SIZE, { wanted });
    else if (rostersDiffer) this.send(from.ip, from, ROSTER_SIZE, { wanted });
    else if (wanted.length > 0) this.send(from.ip, from, RECORDS_SIZE, { wanted });
  }

  /** Sends the records that another gateway lacks. */
  private sendRecords(wanted: readonly number[], to: GatewayRecord, now: number): void {
    const records = wanted
      .slice(0, Math.min(MAX_WANTED, MAX_RECORDS_PER_TICK - this.recordsSentInTick))
      .map((processId) => this.table.gatewayOf(processId))
      .filter((known) => known !== undefined)
      .map((known) => relayed(known, now));
    this.recordsSentInTick += records.length;
    // Each message has the record of its sender.
    if (wanted.includes(this.processId)) this.send(to.ip, to, RECORDS_SIZE);
    Array.from({ length: Math.ceil(records.length / MAX_RECORDS) }, (_, index) =>
      records.slice(index * MAX_RECORDS, (index + 1) * MAX_RECORDS),
    ).forEach((others) => this.send(to.ip, to, RECORDS_SIZE, { others }));
  }

  /** Chooses the records to ask for, so that several senders are not asked for the same ones. */
  private selectWanted(unknown: readonly number[], now: number): number[] {
    [...this.wantedAt]
      .filter(([, at]) => now - at >= WANTED_AGAIN_MS)
      .forEach(([processId]) => this.wantedAt.delete(processId));
    const wanted = unknown
      .filter((processId) => processId !== this.processId && !this.wantedAt.has(processId))
      .slice(0, MAX_WANTED);
    wanted.forEach((processId) => this.wantedAt.set(processId, now));
    return wanted;
  }

  private mergeLoads({ from, work, summaries }: GossipMessage, now: number): void {
    const transitMs = this.roundTripMs(from.node) / 2;
    if (Object.keys(work).length > 0) {
      this.table.mergeSummary({ region: from.region, work, ageMs: transitMs }, now);
    }
    summaries
      .filter(({ region }) => region !== this.settings.region)
      .forEach((summary) =>
        this.table.mergeSummary({ ...summary, ageMs: summary.ageMs + transitMs }, now),
      );
  }

  /** Returns whether the sender's roster differs from the local one. */
  private mergeRoster({ roster, rosterMembers }: GossipMessage, now: number): boolean {
    this.roster.merge(rosterMembers, now);
    return roster !== undefined && this.roster.onSummary(roster, now);
  }

  private mergeRecord({ record, ageMs }: RelayedRecord, now: number): void {
    const known = this.table.get(record.node);
    if (!this.table.mergeRecord(record, now, ageMs)) return;
    if (known?.bootAt !== record.bootAt) this.discoveredAt = now;
    if (record.region === this.settings.region) {
      this.roster.merge([{ node: record.node, ageMs: 0 }], now);
    }
    this.listener.onRecord(record);
  }

  private recordRoundTrip(node: string, rttMs: number): void {
    if (rttMs < 0) return;
    const before = this.rttMs.get(node);
    this.rttMs.set(node, before === undefined ? rttMs : before + (rttMs - before) * RTT_WEIGHT);
  }
}

function relayed({ record, lastHeartbeatAt }: KnownGateway, now: number): RelayedRecord {
  return { record, ageMs: now - lastHeartbeatAt };
}
