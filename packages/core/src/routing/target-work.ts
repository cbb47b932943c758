/** What one gateway knows of the work and the health of a target. */
import { KvMemoryUsage } from './memory-use.js';
import { PrefillQueue, type QueuedPrompt } from './prefill-queue.js';
import { PromptCache } from './prompt-cache.js';
import type { Prompt } from './prompt.js';

/** A request as it is sent. */
export interface SentWork {
  /** Time for reading its prompt, ms; 0 for plain services. */
  readonly prefillMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Expected time to the first byte, ms. */
  readonly expectedMs: number;
}

/** A request that has no first byte yet. */
interface PendingRequest {
  readonly sentAt: number;
  readonly expectedMs: number;
}

/** Work that another gateway has at a target. */
export interface PeerWork {
  readonly requests: number;
  /** KV memory of its requests, tokens. */
  readonly memoryTokens: number;
}

/** A large prompt that another gateway sent to a target. */
export type PeerPrompt = Pick<QueuedPrompt, 'id' | 'workMs' | 'priority'> & {
  /** Parts that the target holds once the prompt is read. */
  readonly parts: Prompt['segments'];
};

/** What a target says of its load. */
export interface LoadReport {
  /** Requests that run or wait there, of all gateways. */
  readonly requests: number;
  /** KV memory that can't yield, tokens; absent when it is not told. */
  readonly memoryTokens?: number;
}

interface DatedWork extends PeerWork {
  readonly at: number;
}

/** Reports of other gateways are ignored after this time. */
const PEER_WORK_LIFETIME_MS = 2000;
/** A report of the target goes before the counts of other gateways for this time. */
const REPORT_LIFETIME_MS = 1500;
const PACE_WEIGHT = 0.1;
const MIN_PACE = 0.3;
const MAX_PACE = 8;
/** A single measurement counts for this much at most, as unknown work also delays a first byte. */
const MAX_PACE_STEP = 2.5;
const MIN_PACE_STEP = 0.4;
const FAILURE_WEIGHT = 0.2;
/** After this time a failure counts half, so that a target that was avoided is tried again. */
const FAILURE_HALF_LIFE_MS = 2000;
/** A target with requests in flight that sends nothing for this long is taken for silent. */
const SILENCE_MS = 1200;
/** A target that can't be reached is avoided, twice as long each time. */
const FIRST_AVOID_MS = 1000;
const MAX_AVOID_MS = 4000;

/** Work and health of one target, as this process sees it. */
export class TargetWork {
  readonly prompts = new PrefillQueue();

  private readonly cache: PromptCache;

  private readonly pending = new Map<string, PendingRequest>();

  /** Requests in flight, with their prompts. */
  private readonly running = new Map<string, Prompt | undefined>();

  private readonly memory = new KvMemoryUsage();

  private readonly peers = new Map<string, DatedWork>();

  /** Work of other gateways by the last report of the target. */
  private reported: DatedWork | undefined;

  /** Measured over expected time to the first byte. */
  private pace = 1;

  private failure = 0;

  private failureAt = 0;

  private lastByteAt = 0;

  private avoidMs = 0;

  private avoidUntil = 0;

  /** @param memoryCapacityTokens tokens that running requests and cached parts share */
  constructor(readonly memoryCapacityTokens: number) {
    this.cache = new PromptCache(memoryCapacityTokens);
  }

  /** Work of this process at the target. */
  get localWork(): PeerWork {
    return { requests: this.running.size, memoryTokens: this.memory.tokens };
  }

  /** KV memory of the requests of all gateways, tokens. */
  memoryTokens(now: number): number {
    return this.memory.tokens + this.ofOthers(now).memoryTokens;
  }

  /** Requests of all gateways at the target. */
  requests(now: number): number {
    return this.running.size + this.ofOthers(now).requests;
  }

  /** Age of the target's last report, ms. */
  reportAgeMs(now: number): number | undefined {
    return this.reported && now - this.reported.at;
  }

  /** Factor on expected times. */
  get latencyFactor(): number {
    return this.pace;
  }

  /** Part of the last requests that failed, 0 to 1. */
  failureRate(now: number): number {
    return this.failure * 0.5 ** ((now - this.failureAt) / FAILURE_HALF_LIFE_MS);
  }

  /** When the target may be tried again after it could not be reached, monotonic ms. */
  get avoidedUntil(): number {
    return this.avoidUntil;
  }

  /** Whether the target has sent anything of late. */
  isAlive(now: number): boolean {
    return now - this.lastByteAt < SILENCE_MS;
  }

  /** Whether the target has sent nothing for a while though requests are overdue. */
  isUnresponsive(now: number): boolean {
    if (this.running.size === 0) return false;
    const [oldest] = this.pending.values();
    const overdueAt = oldest ? oldest.sentAt + 2 * oldest.expectedMs + SILENCE_MS : Infinity;
    return now >= overdueAt && now - this.lastByteAt > SILENCE_MS;
  }

  /** Tokens at the beginning of a prompt that the target holds, as far as this process knows. */
  cachedTokens(prompt: Prompt): number {
    return this.cache.cachedTokens(prompt);
  }

  onSend(
    id: string,
    { prefillMs: readMs, priority, expectedMs }: SentWork,
    prompt: Prompt | undefined,
    now: number,
  ): void {
    if (this.running.size === 0) this.lastByteAt = now;
    this.pending.set(id, { sentAt: now, expectedMs });
    this.running.set(id, prompt);
    if (!prompt) return;
    this.memory.add(prompt);
    const workMs = readMs * this.pace;
    this.prompts.add({ id, workMs, priority, sentAt: now, local: true });
    this.cache.add(prompt.segments);
  }

  onFirstByte(id: string, now: number): void {
    const work = this.pending.get(id);
    this.pending.delete(id);
    this.prompts.onFirstByte(id, now);
    this.onByte(now);
    if (!work) return;
    const ratio = (now - work.sentAt) / Math.max(1, work.expectedMs);
    const step = Math.min(MAX_PACE_STEP, Math.max(MIN_PACE_STEP, ratio));
    const pace = this.pace * (1 - PACE_WEIGHT + step * PACE_WEIGHT);
    this.pace = Math.min(MAX_PACE, Math.max(MIN_PACE, pace));
  }

  onByte(now: number): void {
    this.lastByteAt = now;
    this.avoidMs = 0;
    this.avoidUntil = 0;
  }

  onEnd(id: string, now: number): void {
    if (this.pending.delete(id)) this.prompts.remove(id, now);
    const prompt = this.running.get(id);
    if (prompt) this.memory.remove(prompt);
    this.running.delete(id);
  }

  /** Counts the outcome of a request for the failure rate. */
  onOutcome(failed: boolean, now: number): void {
    this.failure = this.failureRate(now) * (1 - FAILURE_WEIGHT) + (failed ? FAILURE_WEIGHT : 0);
    this.failureAt = now;
  }

  /** The target could not be reached or broke a connection. */
  onUnreachable(now: number): void {
    this.avoidMs = Math.min(MAX_AVOID_MS, Math.max(FIRST_AVOID_MS, this.avoidMs * 2));
    this.avoidUntil = now + this.avoidMs;
  }

  updatePeerWork(node: string, work: PeerWork, now: number): void {
    this.peers.set(node, { ...work, at: now });
  }

  /** The target tells its load; what is not of this process is of others. */
  updateLoadReport({ requests, memoryTokens }: LoadReport, now: number): void {
    const known = this.ofOthers(now);
    this.reported = {
      requests: Math.max(0, requests - this.running.size),
      memoryTokens:
        memoryTokens === undefined
          ? known.memoryTokens
          : Math.max(0, memoryTokens - this.memory.tokens),
      at: now,
    };
  }

  /** Another gateway sent a large prompt. */
  addPeerPrompt({ id, workMs, priority, parts }: PeerPrompt, now: number): void {
    this.prompts.add({ id, workMs, priority, sentAt: now, local: false });
    this.cache.add(parts);
  }

  /** Work of other gateways, by the target's report or by what they tell. */
  private ofOthers(now: number): PeerWork {
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
