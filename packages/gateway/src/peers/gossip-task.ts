/** Task that exchanges records with other gateways over UDP. */
import dgram from 'node:dgram';
import {
  GatewayPhase,
  GatewayTable,
  SMALL_REGION_MAX_GATEWAYS,
  type GatewayRecord,
  type GatewayHeartbeat,
  type PeerWork,
  type RandomSource,
  type RegionWork,
} from '@marjoramcart/core';
import type { Logger, Task, TimerService, Unsubscribe } from '@marjoramcart/runtime';
import type { GatewaySettings } from '../settings.js';
import { decodeFleetUpdate, encodeFleetUpdate, type FleetUpdate } from './fleet-news.js';
import { decodeGossip, encodeGossip, type GossipMessage } from './gossip-message.js';
import { decodeNotification, type Notification } from './notification.js';
import { decodeTargetUpdate, encodeTargetUpdate, type TargetUpdate } from './target-news.js';

const TICK_MS = 250;
/** Every how many ticks a gateway of another region gets a message. */
const AWAY_EVERY = 2;
/** Every how many ticks a seed or a lost gateway gets a message, which heals partitions. */
const SEED_EVERY = 4;
/** More than the gateways of a fleet. */
const MAX_FIRST_TICK = 1000;
/** Whole records and beats of others in a message. */
const USUAL_NEWS = { records: 1, beats: 24 } as const;
/** A gateway that was not heard of lately has to learn of the others first. */
const NEWS_FOR_NEWCOMER = { records: 6, beats: 0 } as const;
/** News that all gateways need at once goes to at most this many of them. */
const MAX_ANNOUNCED = 64;
/** A prompt that takes less time than this for each gateway of the region is not announced. */
const MIN_ANNOUNCED_MS = 15;
const RTT_WEIGHT = 0.2;
const DEFAULT_RTT_MS = 160;

/** What the gateway tells about itself with each message. */
export interface LocalState {
  readonly phase: GatewayPhase;
  readonly configVersion: number;
  readonly revision: number;
  readonly regionWork: Readonly<Record<string, RegionWork>>;
  readonly targetWork: Readonly<Record<string, PeerWork>>;
}

interface NewsSize {
  readonly records: number;
  readonly beats: number;
}

export interface GossipListener {
  /** A gateway of the own region told its work at targets. */
  onTargetWork(node: string, work: Readonly<Record<string, PeerWork>>): void;
  /** A gateway of the own region tells something about a target. */
  onTargetUpdate(news: TargetUpdate): void;
  /** A gateway of the own region that watches the source tells its news. */
  onFleetUpdate(news: FleetUpdate): void;
  /** A record changed. */
  onRecord(record: GatewayRecord): void;
}

export class GossipTask implements Task {
  readonly name = 'gossip';

  readonly table: GatewayTable;

  private readonly socket = dgram.createSocket('udp4');

  private readonly bootAt: number;

  private beat = 0;

  /** Starts at random, so that gateways that start together don't all write to the same one. */
  private ticks: number;

  private unsubscribe: Unsubscribe = () => undefined;

  private readonly rttMs = new Map<string, number>();

  /** Clock of the sender and own time of the last message from each gateway. */
  private readonly lastFrom = new Map<string, { sentAt: number; at: number }>();

  private bytesSent = 0;

  /** Gateways that were alive at the last tick. */
  private noted: ReadonlySet<string> = new Set();

  private seedIps: readonly string[];

  constructor(
    private readonly settings: GatewaySettings,
    private readonly timers: TimerService,
    private readonly random: RandomSource,
    private readonly log: Logger,
    private readonly news: () => LocalState,
    private readonly listener: GossipListener,
  ) {
    this.table = new GatewayTable(settings.node);
    this.seedIps = settings.seedIps;
    this.bootAt = Math.round(timers.wall());
    this.ticks = Math.floor(random.next() * MAX_FIRST_TICK);
  }

  /** Bytes of all messages sent since the start. */
  get traffic(): number {
    return this.bytesSent;
  }

  async start(): Promise<void> {
    this.socket.on('message', (datagram, { address }) => this.receive(datagram, address));
    this.socket.on('error', (err) => this.log.warn('socket error', { err }));
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(this.settings.gossipPort, this.settings.ip, () => {
        this.socket.off('error', reject);
        resolve();
      });
    });
    this.seedIps.forEach((ip) => this.send(ip));
    this.unsubscribe = this.timers.every(TICK_MS, () => this.tick());
  }

  stop(): Promise<void> {
    this.unsubscribe();
    return new Promise((resolve) => {
      this.socket.close(() => resolve());
    });
  }

  /** Takes other gateways to begin with. */
  setSeeds(seedIps: readonly string[]): void {
    this.seedIps = seedIps;
    seedIps.forEach((ip) => this.send(ip));
  }

  /** Tells all gateways at once, for example that this one drains. */
  announce(): void {
    this.table
      .alive(this.timers.now())
      .slice(0, MAX_ANNOUNCED)
      .forEach((record) => this.send(record.ip, record));
  }

  /** Tells the other gateways of the region something about a target. */
  announceTarget(news: TargetUpdate): void {
    const near = this.near();
    const isSmall = news.kind === 'prompt' && news.prompt.workMs < near.length * MIN_ANNOUNCED_MS;
    if (near.length === 0 || isSmall) return;
    this.sendNear(encodeTargetUpdate(news));
  }

  /** Tells the other gateways of the region what this one read from the source. */
  announceFleet(news: FleetUpdate): void {
    this.sendNear(encodeFleetUpdate(news));
  }

  private sendNear(datagram: Buffer): void {
    this.near()
      .slice(0, MAX_ANNOUNCED)
      .forEach(({ ip }) => this.sendDatagram(datagram, ip));
  }

  /** Measured round trip to a gateway, ms. */
  roundTripMs(node: string): number {
    return this.rttMs.get(node) ?? DEFAULT_RTT_MS;
  }

  private tick(): void {
    const now = this.timers.now();
    this.ticks += 1;
    const alive = this.table.alive(now);
    this.noteAlive(alive, now);
    const near = this.near();
    const away = alive.filter(({ region }) => region !== this.settings.region);
    this.sendToOneOf(near, this.ticks);
    if (this.ticks % AWAY_EVERY === 0) this.sendToOneOf(away, this.ticks / AWAY_EVERY);
    if (alive.length === 0 || this.ticks % SEED_EVERY === 0) this.knock(now);
  }

  /** Logs which gateways were lost or regained since the last tick. */
  private noteAlive(alive: readonly GatewayRecord[], now: number): void {
    const nodes = new Set(alive.map(({ node }) => node));
    [...this.noted]
      .filter((node) => !nodes.has(node))
      .forEach((node) => {
        const silentMs = Math.round(this.table.ageMs(node, now));
        this.log.warn('gateway lost', { node, silent_ms: silentMs, alive: nodes.size });
      });
    alive
      .filter(({ node }) => !this.noted.has(node))
      .forEach(({ node, region, phase }) => {
        this.log.info('gateway heard', { node, region, phase, alive: nodes.size });
      });
    this.noted = nodes;
  }

  /** Live gateways of the own region, this one not included. */
  near(): GatewayRecord[] {
    const { region } = this.settings;
    return this.table.alive(this.timers.now()).filter((record) => record.region === region);
  }

  /** Writes to a seed or a gateway that was lost, in turn. */
  private knock(now: number): void {
    const alive = new Set(this.table.alive(now).map(({ ip }) => ip));
    const lost = this.table.lost(now).map(({ ip }) => ip);
    const unheard = [...new Set([...this.seedIps, ...lost])].filter(
      (ip) => ip !== this.settings.ip && !alive.has(ip),
    );
    const ip = unheard[this.ticks % Math.max(1, unheard.length)];
    if (ip !== undefined) this.send(ip);
  }

  private sendToOneOf(records: readonly GatewayRecord[], turn: number): void {
    const record = records[Math.floor(turn) % Math.max(1, records.length)];
    if (record) this.send(record.ip, record);
  }

  private send(ip: string, to?: GatewayRecord, { records, beats }: NewsSize = USUAL_NEWS): void {
    const now = this.timers.now();
    this.beat += 1;
    const { node, region, failureDomain } = this.settings;
    const { targetWork, ...news } = this.news();
    const last = to ? this.lastFrom.get(to.node) : undefined;
    const known = this.table.shuffledRecent(to?.node ?? '', this.random, now);
    // In larger regions the reports of targets tell more than the counts of gateways.
    const tellsWork = to?.region === region && this.near().length < SMALL_REGION_MAX_GATEWAYS;
    const datagram = encodeGossip({
      from: {
        node,
        bootAt: this.bootAt,
        heartbeat: this.beat,
        region,
        failureDomain,
        ip: this.settings.ip,
        ...news,
      },
      others: known.slice(0, records),
      heartbeats: known.slice(records, records + beats),
      targetWork: tellsWork ? targetWork : {},
      sentAt: Math.round(now),
      ...(last ? { echo: { sentAt: last.sentAt, heldMs: Math.round(now - last.at) } } : {}),
    });
    this.sendDatagram(datagram, ip);
  }

  private sendDatagram(datagram: Buffer, ip: string): void {
    this.bytesSent += datagram.length;
    this.socket.send(datagram, this.settings.gossipPort, ip, (err) => {
      if (err) this.log.debug('message not sent', { ip, err });
    });
  }

  private receive(datagram: Buffer, address: string): void {
    try {
      const notification = decodeNotification(datagram);
      if (!this.dispatch(notification)) {
        this.log.warn('unknown message dropped', { from: address, method: notification.method });
      }
    } catch (err) {
      this.log.warn('unreadable message dropped', { from: address, bytes: datagram.length, err });
    }
  }

  /** False when no part knows the message. */
  private dispatch(notification: Notification): boolean {
    const targetNews = decodeTargetUpdate(notification);
    if (targetNews) this.listener.onTargetUpdate(targetNews);
    const fleetNews = decodeFleetUpdate(notification);
    if (fleetNews) this.listener.onFleetUpdate(fleetNews);
    const message = decodeGossip(notification);
    if (message) this.take(message);
    return [targetNews, fleetNews, message].some((known) => known !== undefined);
  }

  private take(message: GossipMessage): void {
    const now = this.timers.now();
    const { from } = message;
    if (from.node === this.settings.node) return;
    const isNew = !this.table.get(from.node) || this.table.ageMs(from.node, now) > TICK_MS * 8;
    this.lastFrom.set(from.node, { sentAt: message.sentAt, at: now });
    if (message.echo) this.measure(from.node, now - message.echo.sentAt - message.echo.heldMs);
    [from, ...message.others].forEach((record) => {
      this.learn(record, () => this.table.mergeRecord(record, now));
    });
    message.heartbeats.forEach((beat) => this.learn(beat, () => this.table.mergeHeartbeat(beat, now)));
    if (from.region === this.settings.region) {
      this.listener.onTargetWork(from.node, message.targetWork);
    }
    if (isNew) this.send(from.ip, from, NEWS_FOR_NEWCOMER);
  }

  /** @param takes puts the news into the table; false when they are not new */
  private learn({ node, bootAt, phase }: GatewayHeartbeat, takes: () => boolean): void {
    const before = this.table.get(node);
    if (!takes()) return;
    const record = this.table.get(node);
    if (!record) return;
    if (before?.phase !== phase || before.bootAt !== bootAt) {
      const { region } = record;
      this.log.info('gateway changed', { node, phase, before: before?.phase, region });
    }
    this.listener.onRecord(record);
  }

  private measure(node: string, rttMs: number): void {
    if (rttMs < 0) return;
    const before = this.rttMs.get(node);
    this.rttMs.set(node, before === undefined ? rttMs : before + (rttMs - before) * RTT_WEIGHT);
  }
}
