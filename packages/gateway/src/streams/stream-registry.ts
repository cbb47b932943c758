/**
 * Knows which software version began a stream, so that it goes on only at targets of that version.
 *
 * The gateway that delivers the first event notes the version. While a service has several versions it
 * also tells a few others, chosen by the id, which a gateway asks when a caller takes a stream up there.
 * With a single version nothing is sent: the version follows from the targets that served lately.
 */
import {
  ANY_VERSION,
  RouteKind,
  StreamVersions,
  rendezvousOrder,
  scopeOfVersion,
  type EarlierTargets,
  type GatewayRecord,
  type RandomSource,
  type StreamBegin,
  type StreamSource,
  type VersionCheck,
  type VersionScope,
} from '@marjoramcart/core';
import type { Logger, TimerService } from '@marjoramcart/runtime';
import { match } from 'ts-pattern';
import type { Call } from '../exchange/call.js';
import type { GossipTask } from '../peers/gossip-task.js';
import type { StreamRow, StreamUpdate } from '../peers/stream-update.js';
import type { GatewaySettings } from '../settings.js';
import type { GatewayState } from '../state/gateway-state.js';
import type { TargetEntry } from '../state/target-entry.js';

/** Gateways of the own region, and of each other region, that are told of a stream. */
const LOCAL_HOLDERS = 2;
const REMOTE_HOLDERS = 1;
/** Gateways that have run for the longest time, which are asked as well. */
const ASKED_ELDERS = 2;
/** Two round trips between distant regions. */
const ASK_TIMEOUT_MS = 350;
const READ_AGAIN_MS = 1000;
/** Streams that are found within this time are told together. */
const TELL_DELAY_MS = 20;
const MAX_ROWS = 24;
const MAX_UNPROVED = 1000;
const MAX_FOUND = 1000;
const MAX_FIRST_QUESTION = 2 ** 48;
/** Streams with longer ids are not noted, as an update has to fit into a datagram. */
const MAX_ID_LENGTH = 200;
/** A request may have waited this long on its way since its caller set its deadline. */
const TRANSIT_MS = 1000;
/** Callers that name a longer deadline are not believed. */
const MAX_DEADLINE_MS = 60_000;
/** For this time after the start, runs that targets report tell of streams that others began. */
const LEARNING_MS = 3000;
/** When streams found at targets are told again, as more gateways are known then; ms after the start. */
const TELL_AGAIN_MS = [1000, 2000, 3000];
/** Lifetime of the cached answer whether a service has several versions. */
const MIXED_LIFETIME_MS = 200;

/** How the version of a stream became known. */
const Origin = {
  /** Another gateway, which forwarded the request. */
  Forwarded: 'forwarded',
  /** It was noted when the stream began. */
  Noted: 'noted',
  /** No other version served lately. */
  OnlyOne: 'only-one',
  /** Another gateway was asked. */
  Asked: 'asked',
  Unknown: 'unknown',
} as const;
type Origin = (typeof Origin)[keyof typeof Origin];

interface Question {
  /** Number of gateways that have not answered. */
  open: number;
  /** Versions that gateways concluded from the targets that they know. */
  readonly concluded: Set<string>;
  readonly resolve: (version: string | undefined) => void;
}

interface UnprovedStream {
  readonly begin: StreamBegin;
  readonly check: () => VersionCheck;
  readonly prove: () => Promise<void>;
  /** Gateway that forwarded the request. */
  readonly forwardedBy: string | undefined;
}

interface FoundVersion {
  readonly version: string | undefined;
  readonly origin: Origin;
}

export interface StreamRegistryDeps {
  readonly settings: Pick<GatewaySettings, 'node' | 'region'>;
  readonly state: GatewayState;
  readonly gossip: Pick<GossipTask, 'table' | 'sendStreamUpdate'>;
  /** Reads what the source tells about targets of earlier times. */
  readonly readEarlier: () => Promise<EarlierTargets | undefined>;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly log: Logger;
}

export class StreamRegistry {
  private readonly streams = new StreamVersions();

  private readonly startedAt: number;

  /** Streams that were found at targets since the start. */
  private found: StreamRow[] = [];

  /** Streams of targets that may have started again before they ran them, by service and id. */
  private readonly unproved = new Map<string, UnprovedStream>();

  /** Rows that are about to be told, by the address of the gateway. */
  private readonly pending = new Map<string, StreamRow[]>();

  private readonly questions = new Map<number, Question>();

  private lastQuestion: number;

  /** The read of earlier targets that is in progress. */
  private readingEarlier: Promise<void> | undefined;

  /** Longest time for which callers of each service wait, ms. */
  private readonly longestWaitMs = new Map<string, number>();

  /** Services with several versions, whose streams have been told. */
  private readonly toldServices = new Set<string>();

  private readonly mixed = new Map<string, { readonly isMixed: boolean; readonly at: number }>();

  constructor(private readonly deps: StreamRegistryDeps) {
    this.startedAt = deps.timers.now();
    // Answers to the process before, which are held up, must not answer a question of this one.
    this.lastQuestion = Math.floor(deps.random.next() * MAX_FIRST_QUESTION);
    TELL_AGAIN_MS.forEach((ms) => deps.timers.after(ms, () => this.tell(this.found)));
  }

  /**
   * Which targets may run a call: any, unless it goes on with a stream.
   *
   * @example await registry.scopeOf(call) // { kind: 'only', version: 'v2' }
   */
  async scopeOf(call: Call): Promise<VersionScope> {
    if (call.facts.kind !== RouteKind.Stream) return ANY_VERSION;
    this.noteWait(call);
    if (call.head.resumeAfter === undefined) return ANY_VERSION;
    const startedAt = this.deps.timers.now();
    const found = await this.find(call);
    this.deps.log.info('stream taken up', {
      id: call.head.id,
      resumes: call.head.resumes,
      last_event: call.head.resumeAfter,
      version: found.version,
      origin: found.origin,
      from: call.forwardedBy,
      ms: Math.round(this.deps.timers.now() - startedAt),
    });
    return scopeOfVersion(found.version);
  }

  /** Notes that a version delivered the first event of a call, or goes on with its stream. */
  onDelivered(
    { head, service, forwardedBy }: Call,
    { version, check, prove = () => Promise.resolve() }: StreamSource,
  ): void {
    const begin = { id: beginIdOf(head), service, version };
    if (begin.id.length > MAX_ID_LENGTH) return;
    // The gateway that the caller is connected to tells the others.
    const isOwn = forwardedBy === undefined;
    if (!check) {
      if (version !== undefined) this.note(begin, isOwn);
      return;
    }
    // What wrote the first event decides.
    if (this.unproved.has(keyOf(begin))) return;
    this.unproved.set(keyOf(begin), { begin, check, prove, forwardedBy });
    const [oldest] = this.unproved.keys();
    if (this.unproved.size > MAX_UNPROVED && oldest !== undefined) this.unproved.delete(oldest);
    if (this.isMixed(service)) void this.proveNow(begin);
  }

  /** Asks the target of a stream for its start, and notes what it tells. */
  private async proveNow(begin: StreamBegin): Promise<void> {
    await this.unproved.get(keyOf(begin))?.prove();
    this.settle(begin);
  }

  /**
   * Handles a stream that goes on although its target is known to have started again. It may come from
   * the new start, whose version is another one.
   */
  onReplaced({ head, service, forwardedBy }: Call, target: string): void {
    if (!this.isMixed(service) || head.id.length > MAX_ID_LENGTH) return;
    const begin = { id: beginIdOf(head), service, version: undefined };
    this.note(begin, true);
    // The gateway that forwarded the request would go on with the version that it was told.
    this.tellForwarder(begin, forwardedBy);
    this.deps.log.info('target of a stream has started again', { id: head.id, target });
  }

  /** Whether it was found after its begin that the version of a stream is not known. */
  isUncertain({ head, service }: Call): boolean {
    const begin = this.streams.get(service, beginIdOf(head));
    return begin !== undefined && begin.version === undefined;
  }

  private note(begin: StreamBegin, isOwn: boolean): void {
    this.streams.add(begin, this.deps.timers.now());
    if (!isOwn || !this.isMixed(begin.service)) return;
    this.tell([{ ...begin, ageMs: 0 }]);
    // The caller may take the stream up from its first event on, and this gateway may have ended by then.
    this.flush();
  }

  /** Notes a stream of a target of which it is known since whether it had started again. */
  private settle(begin: Pick<StreamBegin, 'service' | 'id'>): void {
    const key = keyOf(begin);
    const stream = this.unproved.get(key);
    const check = stream?.check();
    if (!stream || check?.kind !== 'settled') return;
    this.unproved.delete(key);
    // With one version, that is its version although its start is not known.
    if (check.version === undefined) return;
    const proved = { ...stream.begin, version: check.version };
    // The gateway that the caller is connected to may not have learned it.
    this.note(proved, true);
    this.tellForwarder(proved, stream.forwardedBy);
  }

  private tellForwarder(begin: StreamBegin, forwardedBy: string | undefined): void {
    const { gossip } = this.deps;
    const forwarder = forwardedBy === undefined ? undefined : gossip.table.get(forwardedBy);
    if (!forwarder) return;
    gossip.sendStreamUpdate({ kind: 'begun', streams: [{ ...begin, ageMs: 0 }] }, forwarder.ip);
  }

  /** Source of a stream whose version the gateway that it was forwarded to has not proved yet. */
  forwardedSource({ head, service }: Call): StreamSource {
    const id = beginIdOf(head);
    const check = (): VersionCheck => {
      const begin = this.streams.get(service, id);
      return begin ? { kind: 'settled', version: begin.version } : { kind: 'pending' };
    };
    const ageMs = this.longestWaitOf(service) + TRANSIT_MS;
    const only = this.deps.state.onlyVersionWithin(service, ageMs);
    return { version: only, check };
  }

  /** Whether runs that targets report are of use to this gateway. */
  get isLearning(): boolean {
    return this.deps.timers.now() - this.startedAt < LEARNING_MS;
  }

  /** Notes which streams a target runs that other gateways began, before all of them ended. */
  onRuns({ record }: TargetEntry, ids: readonly string[]): void {
    const { service, softwareVersion: version } = record;
    if (version === undefined) return;
    const rows = ids
      .filter((id) => id.length <= MAX_ID_LENGTH && !this.streams.get(service, id))
      .map((id) => ({ id, service, version, ageMs: 0 }));
    rows.forEach((row) => this.streams.add(row, this.deps.timers.now()));
    if (rows.length === 0) return;
    this.found = [...this.found, ...rows].slice(-MAX_FOUND);
    this.tell(rows);
    this.deps.log.info('streams found at a target', { target: record.id, streams: rows.length });
  }

  /** Tells what was noted when a service gets a second version, and forgets what is over. */
  check(): void {
    const now = this.deps.timers.now();
    [...this.unproved.values()].forEach(({ begin }) => this.settle(begin));
    this.streams.expire(now);
    this.mixed.clear();
    [...this.longestWaitMs.keys()].forEach((service) => {
      if (!this.isMixed(service)) this.toldServices.delete(service);
      else if (!this.toldServices.has(service)) this.tellAll(service, now);
    });
  }

  private tellAll(service: string, now: number): void {
    this.toldServices.add(service);
    const maxAgeMs = this.longestWaitOf(service) + TRANSIT_MS;
    const rows = this.streams.of(service, now).filter(({ ageMs }) => ageMs <= maxAgeMs);
    this.tell(rows);
    // The streams of a gateway that ends now would be taken up without their version.
    this.flush();
    const unproved = [...this.unproved.values()].filter(({ begin }) => begin.service === service);
    unproved.forEach(({ begin }) => {
      void this.proveNow(begin);
    });
    this.deps.log.info('service may have several software versions', {
      service,
      streams: rows.length,
      unproved: unproved.length || undefined,
    });
  }

  /** @param ip address of the gateway that sent the update */
  onUpdate(update: StreamUpdate, ip: string): void {
    const now = this.deps.timers.now();
    match(update)
      .with({ kind: 'begun' }, ({ streams }) =>
        streams.forEach((row) => this.streams.add(row, now, row.ageMs)),
      )
      .with({ kind: 'ask' }, ({ number, id, service, ageMs }) => {
        const { version, origin } = this.knownVersion(service, id, ageMs);
        const noted = origin === Origin.Noted;
        const isSure = noted || !this.deps.state.mayMissTargets;
        this.deps.gossip.sendStreamUpdate(
          { kind: 'told', number, version: isSure ? version : undefined, noted },
          ip,
        );
      })
      .with({ kind: 'told' }, ({ number, version, noted }) => this.onTold(number, version, noted))
      .exhaustive();
  }

  /** Whether more than one version can have begun the present streams of a service. */
  isMixed(service: string): boolean {
    const now = this.deps.timers.now();
    const cached = this.mixed.get(service);
    return cached && now - cached.at < MIXED_LIFETIME_MS
      ? cached.isMixed
      : this.isMixedNow(service);
  }

  /** The same as of now, for a decision that must not be based on an earlier answer. */
  isMixedNow(service: string): boolean {
    const ageMs = this.longestWaitOf(service) + TRANSIT_MS;
    const isMixed = this.deps.state.onlyVersionWithin(service, ageMs) === undefined;
    this.mixed.set(service, { isMixed, at: this.deps.timers.now() });
    return isMixed;
  }

  private async find({ head, service, requiredVersion, facts }: Call): Promise<FoundVersion> {
    if (requiredVersion !== undefined) {
      return { version: requiredVersion, origin: Origin.Forwarded };
    }
    const ageMs = this.longestWaitOf(service) + TRANSIT_MS;
    const waitMs = Math.min(ASK_TIMEOUT_MS, facts.deadlineAt - this.deps.timers.now());
    const unproved = this.unprovedOf(service, head.resumes);
    if (unproved) await Promise.race([this.proveNow(unproved), this.delay(waitMs)]);
    const known = this.knownVersion(service, head.resumes, ageMs);
    const isSure =
      known.origin === Origin.Noted ||
      (known.origin === Origin.OnlyOne && !this.deps.state.mayMissTargets);
    if (isSure || head.resumes === undefined) return known;
    const version = await this.ask(head.resumes, service, ageMs, waitMs);
    if (version === undefined) {
      await this.readEarlier(service, ageMs, waitMs);
      return this.knownVersion(service, head.resumes, ageMs);
    }
    this.streams.add({ id: head.resumes, service, version }, this.deps.timers.now());
    return { version, origin: Origin.Asked };
  }

  /** A stream whose target has not told yet which start began it; undefined where that is of no use. */
  private unprovedOf(service: string, id: string | undefined): StreamBegin | undefined {
    if (id === undefined || !this.isMixed(service)) return undefined;
    return this.unproved.get(keyOf({ service, id }))?.begin;
  }

  private delay(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.deps.timers.after(ms, resolve);
    });
  }

  /** Reads earlier targets if these may tell which version began a stream. */
  private async readEarlier(service: string, ageMs: number, waitMs: number): Promise<void> {
    const { state, readEarlier, timers } = this.deps;
    if (!state.needsEarlierTargets(service, ageMs)) return;
    this.readingEarlier ??= readEarlier().then((earlier) => {
      if (earlier) state.onEarlierTargets(earlier);
      // A source that does not answer is not asked by each request.
      timers.after(READ_AGAIN_MS, () => {
        this.readingEarlier = undefined;
      });
    });
    await Promise.race([this.readingEarlier, this.delay(waitMs)]);
  }

  private knownVersion(service: string, id: string | undefined, ageMs: number): FoundVersion {
    if (id !== undefined) this.settle({ service, id });
    const begin = id === undefined ? undefined : this.streams.get(service, id);
    if (begin) return { version: begin.version, origin: Origin.Noted };
    const version = this.deps.state.onlyVersionWithin(service, ageMs);
    return { version, origin: version === undefined ? Origin.Unknown : Origin.OnlyOne };
  }

  private noteWait({ head, service, route }: Call): void {
    const deadlineMs = Math.min(MAX_DEADLINE_MS, head.deadlineMs ?? 0);
    const waitMs = Math.max(this.longestWaitOf(service), route.timeoutMs, deadlineMs);
    this.longestWaitMs.set(service, waitMs);
  }

  private longestWaitOf(service: string): number {
    return this.longestWaitMs.get(service) ?? 0;
  }

  private tell(rows: readonly StreamRow[]): void {
    if (this.pending.size === 0) this.deps.timers.after(TELL_DELAY_MS, () => this.flush());
    rows.forEach((row) =>
      this.holdersOf(row.id).forEach(({ ip }) => {
        const queued = this.pending.get(ip);
        if (queued) queued.push(row);
        else this.pending.set(ip, [row]);
      }),
    );
  }

  private flush(): void {
    this.pending.forEach((rows, ip) =>
      Array.from({ length: Math.ceil(rows.length / MAX_ROWS) }, (_, index) =>
        rows.slice(index * MAX_ROWS, (index + 1) * MAX_ROWS),
      ).forEach((streams) => this.deps.gossip.sendStreamUpdate({ kind: 'begun', streams }, ip)),
    );
    this.pending.clear();
  }

  /** Other gateways that are told of a stream: those of all regions that come first for its id. */
  private holdersOf(id: string): GatewayRecord[] {
    const { settings, gossip, timers } = this.deps;
    const alive = gossip.table.alive(timers.now());
    const byNode = new Map(alive.map((record) => [record.node, record]));
    const regions = new Set([settings.region, ...alive.map(({ region }) => region)]);
    return [...regions].flatMap((region) => {
      const isLocal = region === settings.region;
      const nodes = alive.filter((record) => record.region === region).map(({ node }) => node);
      return rendezvousOrder(id, isLocal ? [...nodes, settings.node] : nodes)
        .slice(0, isLocal ? LOCAL_HOLDERS : REMOTE_HOLDERS)
        .map((node) => byNode.get(node))
        .filter((record) => record !== undefined);
    });
  }

  /** Gateways that have run for the longest time and know which versions served, of the region if possible. */
  private elders(): GatewayRecord[] {
    const { settings, gossip, timers } = this.deps;
    const alive = gossip.table.alive(timers.now());
    const local = alive.filter(({ region }) => region === settings.region);
    return [...(local.length > 0 ? local : alive)]
      .sort((a, b) => a.bootAt - b.bootAt)
      .slice(0, ASKED_ELDERS);
  }

  /** Asks other gateways; the first that knows the version decides. */
  private ask(
    id: string,
    service: string,
    ageMs: number,
    waitMs: number,
  ): Promise<string | undefined> {
    const ips = new Set([...this.holdersOf(id), ...this.elders()].map(({ ip }) => ip));
    if (ips.size === 0) return Promise.resolve(undefined);
    this.lastQuestion += 1;
    const number = this.lastQuestion;
    return new Promise((resolve) => {
      const stop = this.deps.timers.after(waitMs, () => this.closeConcluded(number));
      this.questions.set(number, {
        open: ips.size,
        concluded: new Set(),
        resolve: (version) => {
          stop();
          resolve(version);
        },
      });
      ips.forEach((ip) =>
        this.deps.gossip.sendStreamUpdate({ kind: 'ask', number, id, service, ageMs }, ip),
      );
    });
  }

  /** A version that was noted decides at once; one that was concluded only if no gateway has another. */
  private onTold(number: number, version: string | undefined, noted: boolean): void {
    const question = this.questions.get(number);
    if (!question) return;
    question.open -= 1;
    if (version !== undefined && !noted) question.concluded.add(version);
    if (noted) this.close(number, version);
    else if (question.open === 0) this.closeConcluded(number);
  }

  private closeConcluded(number: number): void {
    const [version, ...others] = this.questions.get(number)?.concluded ?? [];
    this.close(number, others.length === 0 ? version : undefined);
  }

  private close(number: number, version: string | undefined): void {
    const question = this.questions.get(number);
    this.questions.delete(number);
    question?.resolve(version);
  }
}

/** Request that began the stream of a request. */
function beginIdOf({ id, resumes, resumeAfter }: Call['head']): string {
  return (resumeAfter === undefined ? undefined : resumes) ?? id;
}

function keyOf({ service, id }: Pick<StreamBegin, 'service' | 'id'>): string {
  return `${service}\n${id}`;
}
