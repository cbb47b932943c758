/**
 * Collects evidence about prompt segments and requests that crash targets, exchanges it with the other
 * gateways and decides which requests are refused for it.
 */
import { createHash } from 'node:crypto';
import {
  CrashSuspects,
  SegmentShares,
  isSegmentKey,
  rendezvousOrder,
  requestKey,
  type CrashVerdict,
  type SuspectRow,
  type TargetRecord,
} from '@marjoramcart/core';
import type { ConnectionProbe, Logger, TimerService } from '@marjoramcart/runtime';
import type { Call } from '../exchange/call.js';

/** Limit of requests of one target that are considered when it dies. */
const MAX_WITNESSES = 128;
/** Limit of rows that are sent to the other gateways for one death. */
const MAX_ANNOUNCED_ROWS = 256;
/** Within this time after a loss, the start time of a target that accepts connections again is known. */
const START_KNOWN_MS = 1000;
const MAX_SEGMENTS = 16;
/** Longer segment ids are not tracked, which bounds the memory. */
const MAX_SEGMENT_ID_LENGTH = 128;
/** Rows in a regular message to another gateway. */
const MAX_GOSSIPED_ROWS = 8;
/** Characters of the digest in the key of a request; 96 bits. */
const DIGEST_CHARS = 16;

/** The parts of a call that identify it when it comes again. */
type TrackedCall = Pick<Call, 'head' | 'body'>;

/** A request whose connection broke before its answer was complete, without its body; monotonic ms. */
interface LostRequest {
  readonly id: string;
  /** When the first byte of the answer arrived; undefined if none did. */
  readonly firstByteAt: number | undefined;
  readonly content: string;
  readonly keys: readonly string[];
  readonly sentAt: number;
  readonly lostAt: number;
}

export interface CrashWatchDeps {
  readonly node: string;
  readonly timers: TimerService;
  readonly log: Logger;
  /** Names of the other live gateways of all regions. */
  readonly otherGateways: () => readonly string[];
  readonly probe: (address: string) => Promise<ConnectionProbe>;
  /** Latest known start time of a target, Unix ms; undefined if it is no longer listed. */
  readonly startOf: (target: string) => number | undefined;
  /** Whether a target is about to end by itself. */
  readonly isLeaving: (target: TargetRecord) => boolean;
  /** Whether the gateway has lost its own links to targets that other gateways reach. */
  readonly hasLostLinks: () => Promise<boolean>;
  readonly announce: (rows: readonly SuspectRow[]) => void;
}

export class CrashWatch {
  private readonly shares = new SegmentShares();

  private readonly suspects = new CrashSuspects((key) => this.shares.isCommon(key));

  /** Requests whose connections broke, by target, until the target is probed. */
  private readonly unconfirmed = new Map<string, LostRequest[]>();

  private readonly digests = new WeakMap<TrackedCall, string>();

  constructor(private readonly deps: CrashWatchDeps) {}

  /**
   * Handles the loss of a connection before the answer to a request was complete.
   *
   * @param sentAt when the request was sent, monotonic ms
   * @param firstByteAt when the first byte of the answer arrived; undefined if none did
   */
  onLost(target: TargetRecord, call: TrackedCall, sentAt: number, firstByteAt?: number): void {
    if (this.deps.isLeaving(target)) return;
    const lost = {
      id: call.head.id,
      firstByteAt,
      content: this.contentOf(call),
      keys: this.allKeys(call),
      sentAt,
      lostAt: this.deps.timers.now(),
    };
    const waiting = this.unconfirmed.get(target.id);
    if (waiting) {
      if (waiting.length < MAX_WITNESSES) waiting.push(lost);
      return;
    }
    this.unconfirmed.set(target.id, [lost]);
    void this.confirm(target);
  }

  /** Handles a request that was answered from the beginning to the end. */
  onAnswered(call: TrackedCall): void {
    const keys = this.trackedKeys(call);
    if (keys.length === 0) return;
    const now = this.deps.timers.now();
    this.onCleared(call, this.suspects.onAnswered(keys, now, now));
  }

  private onCleared({ head }: TrackedCall, rows: readonly SuspectRow[]): void {
    if (rows.length === 0) return;
    this.deps.log.info('suspects of crashes cleared', { id: head.id, suspects: keysOf(rows) });
    this.deps.announce(rows);
  }

  /** Handles a request whose target goes on writing the answer. `firstByteAt` is monotonic ms. */
  onSurvived(call: TrackedCall, firstByteAt: number): void {
    if (this.suspects.size === 0) return;
    const { timers } = this.deps;
    const keys = this.trackedKeys(call);
    this.onCleared(call, this.suspects.onSurvived(keys, firstByteAt, timers.now()));
  }

  /** Handles a request that has arrived. */
  onRequest({ head, route }: Pick<Call, 'head' | 'route'>): void {
    const segments = sharedSegments(head);
    if (segments.length > 0) this.shares.add(route.name, segments);
  }

  onSend(call: TrackedCall): void {
    this.suspects.onSend(this.trackedKeys(call), this.deps.timers.now());
  }

  /** Why a request is refused; undefined when it may run. */
  verdict(call: TrackedCall): CrashVerdict | undefined {
    if (this.suspects.size === 0) return undefined;
    return this.suspects.verdict(
      this.trackedKeys(call),
      (key) => this.isTrialGateway(key),
      this.deps.timers.now(),
    );
  }

  merge(rows: readonly SuspectRow[]): void {
    this.suspects.merge(rows, this.deps.timers.now());
  }

  /** Rows for a regular message to another gateway. */
  rows(): SuspectRow[] {
    return this.suspects.rows(MAX_GOSSIPED_ROWS, this.deps.timers.now());
  }

  private async confirm(target: TargetRecord): Promise<void> {
    const { probe, hasLostLinks, timers } = this.deps;
    const result = await probe(target.address);
    const isOwnLoss = result === 'refused' && (await hasLostLinks());
    const requests = this.unconfirmed.get(target.id) ?? [];
    this.unconfirmed.delete(target.id);
    if (result === 'refused' && !isOwnLoss) this.onDeath(target, requests);
    // A connection can also be lost on the way, or be reset by a target that goes on.
    else timers.after(START_KNOWN_MS, () => this.checkStart(target, requests));
  }

  /** Finds a target that died and was back before it was probed. */
  private checkStart(target: TargetRecord, requests: readonly LostRequest[]): void {
    const startedAt = this.deps.startOf(target.id) ?? 0;
    if (target.bornAt !== 0 && startedAt > target.bornAt) this.onDeath(target, requests);
  }

  private onDeath(target: TargetRecord, requests: readonly LostRequest[]): void {
    const { timers, log, announce } = this.deps;
    const incarnation = `${target.id} ${target.bornAt}`;
    const now = timers.now();
    const rows = requests.flatMap(({ content, keys, sentAt, firstByteAt, lostAt }) => {
      const wroteMs = firstByteAt === undefined ? {} : { wroteMs: lostAt - firstByteAt };
      const times = { ageMs: now - lostAt, ranMs: lostAt - sentAt, ...wroteMs };
      return this.suspects.onDeath(incarnation, content, keys, now, times);
    });
    const byKey = new Map([...rows].sort(byTimeOfWriting).map((row) => [row.key, row]));
    log.info('target died before it answered requests', {
      target: target.id,
      ids: requests.map(({ id }) => id),
      began: requests.filter(({ firstByteAt }) => firstByteAt !== undefined).length,
      suspects: byKey.size,
    });
    announce([...byKey.values()].slice(0, MAX_ANNOUNCED_ROWS));
  }

  /** Whether this gateway is the one of the fleet that tries a refused key again. */
  private isTrialGateway(key: string): boolean {
    const { node, otherGateways } = this.deps;
    return rendezvousOrder(key, [node, ...otherGateways()])[0] === node;
  }

  private allKeys(call: TrackedCall): string[] {
    return this.keysOf(call, () => true);
  }

  /** Keys of a call; its own only if it may be a suspect, so that large bodies are rarely digested. */
  private trackedKeys(call: TrackedCall): string[] {
    return this.keysOf(call, (prefix) => this.suspects.hasPrefix(prefix));
  }

  private keysOf(call: TrackedCall, isTracked: (prefix: string) => boolean): string[] {
    const { head, body } = call;
    const own = requestKey(head.path, body.length, () => this.digestOf(call), isTracked);
    return [...sharedSegments(head), ...(own === undefined ? [] : [own])];
  }

  /** Identifies a request that comes again, under another id, as one witness against its segments. */
  private contentOf(call: TrackedCall): string {
    return `${this.digestOf(call)} ${call.head.prompt?.segments.at(-1)?.id ?? ''}`;
  }

  private digestOf(call: TrackedCall): string {
    const digest = this.digests.get(call) ?? digestOfRequest(call);
    this.digests.set(call, digest);
    return digest;
  }
}

function digestOfRequest({ head, body }: TrackedCall): string {
  return createHash('sha256')
    .update(JSON.stringify([head.method, head.host, head.path]))
    .update(body)
    .digest('base64url')
    .slice(0, DIGEST_CHARS);
}

/** Ids of the segments that a request may share with others: all but the last. */
function sharedSegments({ prompt }: Call['head']): string[] {
  return (prompt?.segments ?? [])
    .slice(0, -1)
    .slice(0, MAX_SEGMENTS)
    .map(({ id }) => id)
    .filter((id) => id.length <= MAX_SEGMENT_ID_LENGTH && isSegmentKey(id));
}

/** Orders rows of one death each, the longest time of writing first. */
function byTimeOfWriting(a: SuspectRow, b: SuspectRow): number {
  return (b.deaths[0]?.wroteMs ?? 0) - (a.deaths[0]?.wroteMs ?? 0);
}

function keysOf(rows: readonly SuspectRow[]): string[] {
  return rows.map(({ key }) => key);
}
