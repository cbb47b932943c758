/** Tracks the load and the health of a target as seen by one gateway. */
import { KvMemoryUsage } from './kv-memory-usage.js';
import { PrefillQueue, type QueuedPrompt } from './prefill-queue.js';
import { PromptCache } from './prompt-cache.js';
import type { Prompt } from './prompt.js';
import {
  MAX_SPEED_FACTOR,
  TargetSpeed,
  type SpeedBaseline,
  type SpeedFactors,
} from './target-speed.js';

/** Expected cost of a request that is sent. */
export interface SentWork {
  /** Prefill time of its prompt, ms; 0 for plain services. */
  readonly prefillMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Expected time to the first byte, ms. */
  readonly expectedMs: number;
  /** Part of it that is spent waiting for other work, ms. */
  readonly waitMs?: number;
  /** The rest of it at a target of usual speed, ms. */
  readonly serviceMs?: number;
  /** Factor on times at the target that was assumed. */
  readonly speedFactor?: number;
}

/** A request whose first byte has not arrived yet. */
interface PendingRequest {
  readonly sentAt: number;
  readonly expectedMs: number;
  readonly waitMs: number;
  readonly serviceMs: number;
}

/** Requests of one gateway at a target. */
export interface PeerWork {
  readonly requests: number;
  /** KV memory of these requests, tokens. */
  readonly memoryTokens: number;
}

/** A large prompt that another gateway sent to a target. */
export type PeerPrompt = Pick<QueuedPrompt, 'id' | 'workMs' | 'priority'> & {
  /** Segments that are cached at the target after the prefill. */
  readonly segments: Prompt['segments'];
};

/** Load report of a target. */
export interface LoadReport {
  /** Running and queued requests of all gateways. */
  readonly requests: number;
  /** Those of them that wait; absent if not reported. */
  readonly waiting?: number;
  /** Mean time between two events of the target's streams, ms; absent if not known. */
  readonly paceMs?: number;
  /** KV memory that can't be evicted, tokens; absent if not reported. */
  readonly memoryTokens?: number;
  /** Start time of the target, Unix ms; absent if not reported. */
  readonly bornAt?: number;
  /** How long work takes there now by its own word, percent of the usual time; not checked. */
  readonly slowness?: number;
  /** Factor on times at the target relative to others of its service, by another gateway. */
  readonly speedFactor?: number;
}

interface TimestampedWork extends PeerWork {
  readonly at: number;
  /** Waiting requests. */
  readonly waiting?: number;
}

interface TimestampedPace {
  readonly paceMs: number;
  readonly at: number;
}

/** Counts received from other gateways expire after this time. */
const PEER_WORK_LIFETIME_MS = 2000;
/** For this time a report of the target takes precedence over the counts of other gateways. */
const REPORT_LIFETIME_MS = 1500;
/** Of the expected wait, this may be exceeded before a request counts as delayed by the target. */
const WAIT_TOLERANCE = 1.5;
/** The most by which requests without a first byte raise the factor on times. */
const MAX_OVERDUE_FACTOR = 4;
/** A request that takes this many times as long hangs, for example on a connection that was cut silently. */
const HANGING_FACTOR = MAX_SPEED_FACTOR * 1.5;
const LATENCY_SAMPLE_WEIGHT = 0.1;
const MIN_LATENCY_RATIO = 0.3;
const MAX_LATENCY_RATIO = 8;
/** Limits on the ratio of one sample, since unknown work also delays a first byte. */
const MAX_LATENCY_RATIO_SAMPLE = 2.5;
const MIN_LATENCY_RATIO_SAMPLE = 0.4;
const FAILURE_SAMPLE_WEIGHT = 0.2;
/** The failure rate halves in this time, so that an avoided target is tried again. */
const FAILURE_HALF_LIFE_MS = 2000;
/** A target with overdue requests that sends nothing for this long counts as unresponsive. */
const UNRESPONSIVE_MS = 1200;
/** Exponential backoff for unreachable targets; the delay doubles each time. */
const MIN_BACKOFF_MS = 1000;
const MAX_BACKOFF_MS = 4000;

/** Load and health of one target, as seen by this process. */
export class TargetWork {
  readonly prefillQueue = new PrefillQueue();

  readonly speed = new TargetSpeed();

  private readonly cache: PromptCache;

  private readonly awaitingFirstByte = new Map<string, PendingRequest>();

  /** Requests in flight, with their prompts. */
  private readonly inFlight = new Map<string, Prompt | undefined>();

  private readonly memory = new KvMemoryUsage();

  private readonly peers = new Map<string, TimestampedWork>();

  /** Requests of other gateways, derived from the last report of the target. */
  private reported: TimestampedWork | undefined;

  private pace: TimestampedPace | undefined;

  /** Smoothed ratio of the measured to the expected time to the first byte. */
  private latencyRatio = 1;

  private figureTold = false;

  private smoothedFailureRate = 0;

  private failureRateUpdatedAt = 0;

  private lastByteAt = 0;

  private lastSentAt = 0;

  private backoffMs = 0;

  private avoidUntil = 0;

  /** @param memoryCapacityTokens KV memory shared by running requests and cached segments, tokens */
  constructor(readonly memoryCapacityTokens: number) {
    this.cache = new PromptCache(memoryCapacityTokens);
  }

  /** Requests of this process at the target. */
  get localWork(): PeerWork {
    return { requests: this.inFlight.size, memoryTokens: this.memory.tokens };
  }

  /** KV memory of the requests of all gateways, tokens. */
  memoryTokens(now: number): number {
    return this.memory.tokens + this.workOfOthers(now).memoryTokens;
  }

  /** Requests of all gateways at the target. */
  requests(now: number): number {
    return this.inFlight.size + this.workOfOthers(now).requests;
  }

  /** Waiting requests of other gateways by a recent report of the target; 0 without one. */
  waitingOfOthers(now: number): number {
    const { reported } = this;
    if (!reported || now - reported.at >= REPORT_LIFETIME_MS) return 0;
    return reported.waiting ?? 0;
  }

  /** Mean time between two events of the target's streams, ms; undefined without a recent report. */
  paceMs(now: number): number | undefined {
    const { pace } = this;
    return pace && now - pace.at < REPORT_LIFETIME_MS ? pace.paceMs : undefined;
  }

  /** Age of the target's last report, ms. */
  reportAgeMs(now: number): number | undefined {
    return this.reported && now - this.reported.at;
  }

  /** Factor on expected times where targets are not told apart by their speeds. */
  get latencyFactor(): number {
    return this.latencyRatio;
  }

  /** Whether the target has ever told how long work takes there. */
  get tellsSpeed(): boolean {
    return this.figureTold;
  }

  /**
   * Factors on expected times at the target, relative to its service and to the median of its targets.
   *
   * @example work.speedFactors(USUAL_BASELINE, now).absolute // 1
   */
  speedFactors(baseline: SpeedBaseline, now: number): SpeedFactors {
    const { absolute, relative } = this.speed.factors(baseline, now);
    const overdue = Math.min(this.overdueFactor(now), absolute * MAX_OVERDUE_FACTOR);
    if (overdue <= absolute) return { absolute, relative };
    return {
      absolute: Math.min(MAX_SPEED_FACTOR, overdue),
      relative: Math.min(MAX_SPEED_FACTOR, (relative * overdue) / absolute),
    };
  }

  /** Time since this process last sent a request to the target, ms. */
  idleMs(now: number): number {
    return now - this.lastSentAt;
  }

  /** Smoothed share of the recent requests that failed, 0 to 1. */
  failureRate(now: number): number {
    return (
      this.smoothedFailureRate * 0.5 ** ((now - this.failureRateUpdatedAt) / FAILURE_HALF_LIFE_MS)
    );
  }

  /** When the target may be tried again after it was unreachable, monotonic ms. */
  get avoidedUntil(): number {
    return this.avoidUntil;
  }

  /** Whether the target has sent anything recently. */
  isAlive(now: number): boolean {
    return now - this.lastByteAt < UNRESPONSIVE_MS;
  }

  /** Whether the target has sent nothing for a while though requests are overdue. */
  isUnresponsive(now: number): boolean {
    if (this.inFlight.size === 0) return false;
    const [oldest] = this.awaitingFirstByte.values();
    const overdueAt = oldest ? oldest.sentAt + 2 * oldest.expectedMs + UNRESPONSIVE_MS : Infinity;
    return now >= overdueAt && now - this.lastByteAt > UNRESPONSIVE_MS;
  }

  /** Length of the prompt's prefix that is expected to be cached at the target, tokens. */
  cachedTokens(prompt: Prompt): number {
    return this.cache.cachedTokens(prompt);
  }

  onSend(
    id: string,
    { prefillMs, priority, expectedMs, waitMs = 0, serviceMs, speedFactor = 1 }: SentWork,
    prompt: Prompt | undefined,
    now: number,
  ): void {
    if (this.inFlight.size === 0) this.lastByteAt = now;
    this.lastSentAt = now;
    const pending = { sentAt: now, expectedMs, waitMs, serviceMs: serviceMs ?? expectedMs };
    this.awaitingFirstByte.set(id, pending);
    this.inFlight.set(id, prompt);
    if (!prompt) return;
    this.memory.add(prompt);
    const workMs = prefillMs * speedFactor;
    this.prefillQueue.add({ id, workMs, priority, sentAt: now, local: true });
    this.cache.add(prompt.segments);
  }

  onFirstByte(id: string, now: number): void {
    const work = this.awaitingFirstByte.get(id);
    this.awaitingFirstByte.delete(id);
    this.prefillQueue.onFirstByte(id, now);
    this.onByte(now);
    if (!work) return;
    const ratio = (now - work.sentAt) / Math.max(1, work.expectedMs);
    const sample = Math.min(MAX_LATENCY_RATIO_SAMPLE, Math.max(MIN_LATENCY_RATIO_SAMPLE, ratio));
    const latencyRatio =
      this.latencyRatio * (1 - LATENCY_SAMPLE_WEIGHT + sample * LATENCY_SAMPLE_WEIGHT);
    this.latencyRatio = Math.min(MAX_LATENCY_RATIO, Math.max(MIN_LATENCY_RATIO, latencyRatio));
    this.speed.onTime({ ...work, measuredMs: now - work.sentAt }, now);
  }

  onByte(now: number): void {
    this.lastByteAt = now;
    this.onReachable();
  }

  /** Handles a sign that the target accepts connections. */
  onReachable(): void {
    this.backoffMs = 0;
    this.avoidUntil = 0;
  }

  onEnd(id: string, now: number): void {
    const pending = this.awaitingFirstByte.get(id);
    if (pending) {
      if (overdueFactorOf(pending, now) <= HANGING_FACTOR) {
        this.speed.onAborted({ ...pending, measuredMs: now - pending.sentAt }, now);
      }
      this.awaitingFirstByte.delete(id);
      this.prefillQueue.remove(id, now);
    }
    const prompt = this.inFlight.get(id);
    if (prompt) this.memory.remove(prompt);
    this.inFlight.delete(id);
  }

  /** Counts the outcome of a request for the failure rate. */
  onOutcome(failed: boolean, now: number): void {
    this.smoothedFailureRate =
      this.failureRate(now) * (1 - FAILURE_SAMPLE_WEIGHT) + (failed ? FAILURE_SAMPLE_WEIGHT : 0);
    this.failureRateUpdatedAt = now;
  }

  /** Handles a failed connection attempt or a broken connection. */
  onUnreachable(now: number): void {
    this.backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, this.backoffMs * 2));
    this.avoidUntil = now + this.backoffMs;
  }

  updatePeerWork(node: string, work: PeerWork, now: number): void {
    this.peers.set(node, { ...work, at: now });
  }

  /** Handles a load report; requests that this process did not send are those of other gateways. */
  updateLoadReport(report: LoadReport, now: number): void {
    const { requests, memoryTokens, waiting, paceMs, slowness, speedFactor } = report;
    if (slowness !== undefined) this.figureTold = true;
    this.speed.onFigure(slowness, now);
    if (speedFactor !== undefined) this.speed.onPeerFactor(speedFactor, now);
    const known = this.workOfOthers(now);
    if (paceMs !== undefined) this.pace = { paceMs, at: now };
    this.reported = {
      requests: Math.max(0, requests - this.inFlight.size),
      ...(waiting === undefined
        ? {}
        : { waiting: Math.max(0, waiting - this.awaitingFirstByte.size) }),
      memoryTokens:
        memoryTokens === undefined
          ? known.memoryTokens
          : Math.max(0, memoryTokens - this.memory.tokens),
      at: now,
    };
  }

  /** Handles the notification that another gateway sent a large prompt. */
  addPeerPrompt({ id, workMs, priority, segments }: PeerPrompt, now: number): void {
    this.prefillQueue.add({ id, workMs, priority, sentAt: now, local: false });
    this.cache.add(segments);
  }

  /**
   * Factor that the requests without a first byte have reached by now. The second oldest one counts, so
   * that a single request that is lost or long does not make the target look slow. Requests that have
   * taken far longer than at any slow target hang, which says nothing about its speed.
   */
  private overdueFactor(now: number): number {
    const factors = [...this.awaitingFirstByte.values()]
      .map((pending) => overdueFactorOf(pending, now))
      .filter((factor) => factor <= HANGING_FACTOR);
    return factors[1] ?? 0;
  }

  /** Requests of other gateways, from the target's report if recent, otherwise from their counts. */
  private workOfOthers(now: number): PeerWork {
    if (this.reported && now - this.reported.at < REPORT_LIFETIME_MS) return this.reported;
    return [...this.peers.values()]
      .filter(({ at }) => now - at < PEER_WORK_LIFETIME_MS)
      .reduce(
        (sum, { requests, memoryTokens }) => ({
          requests: sum.requests + requests,
          memoryTokens: sum.memoryTokens + memoryTokens,
        }),
        { requests: 0, memoryTokens: 0 },
      );
  }
}

function overdueFactorOf({ sentAt, waitMs, serviceMs }: PendingRequest, now: number): number {
  return (now - sentAt - waitMs * WAIT_TOLERANCE) / Math.max(1, serviceMs);
}
