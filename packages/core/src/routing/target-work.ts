/** What one gateway knows of the work and the health of a target. */
import type { Prompt } from './prompt.js';

/** A request that was sent to the target and has no first byte yet. */
interface PendingWork {
  readonly tokens: number;
  readonly priority: number;
  readonly sentAt: number;
  readonly expectedMs: number;
}

/** Work that another gateway has at a target. */
export interface PeerWork {
  readonly requests: number;
  readonly pendingTokens: number;
}

interface DatedPeerWork extends PeerWork {
  readonly at: number;
}

/** Reports of other gateways are ignored after this time. */
const PEER_WORK_LIFETIME_MS = 2000;
const PACE_WEIGHT = 0.1;
const MIN_PACE = 0.6;
const MAX_PACE = 8;
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
  private readonly pending = new Map<string, PendingWork>();

  private readonly running = new Set<string>();

  private readonly peers = new Map<string, DatedPeerWork>();

  /** Parts of prompts that this process sent here, least recently used first. */
  private readonly cached = new Map<string, number>();

  private cachedTokens = 0;

  /** Measured over expected time to the first byte. */
  private pace = 1;

  private failure = 0;

  private failureAt = 0;

  private lastByteAt = 0;

  private lastFirstByteAt = 0;

  private avoidMs = 0;

  private avoidUntil = 0;

  constructor(private readonly cacheCapacityTokens: number) {}

  /** Requests of this process at the target. */
  get ownRequests(): number {
    return this.running.size;
  }

  /** Prompt tokens of this process that wait at the target. */
  get ownPendingTokens(): number {
    return [...this.pending.values()].reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Requests of all gateways at the target. */
  requests(now: number): number {
    return this.running.size + this.fresh(now).reduce((sum, { requests }) => sum + requests, 0);
  }

  /**
   * Prompt tokens that are still to be read and are at least as urgent as `priority`. Of the
   * request that waits longest, what the target read meanwhile is left out.
   *
   * @param tokensPerMs how fast the target reads
   */
  pendingTokens(now: number, tokensPerMs: number, priority = Infinity): number {
    const ahead = [...this.pending.values()].filter((work) => work.priority <= priority);
    const own = ahead.reduce((sum, { tokens }) => sum + tokens, 0);
    const [oldest] = ahead;
    const readingMs = oldest ? now - Math.max(oldest.sentAt, this.lastFirstByteAt) : 0;
    const read = Math.min(oldest?.tokens ?? 0, readingMs * tokensPerMs);
    return own - read + this.fresh(now).reduce((sum, { pendingTokens }) => sum + pendingTokens, 0);
  }

  /** Factor on expected times. */
  get slowness(): number {
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

  /** Whether the target has sent nothing for a while though requests are overdue. */
  isSilent(now: number): boolean {
    if (this.running.size === 0) return false;
    const [oldest] = this.pending.values();
    const overdueAt = oldest ? oldest.sentAt + 2 * oldest.expectedMs + SILENCE_MS : Infinity;
    return now >= overdueAt && now - this.lastByteAt > SILENCE_MS;
  }

  /** Prompt tokens that the target has to read, as far as this process knows its cache. */
  uncachedTokens(prompt: Prompt, assumeShared: boolean): number {
    const { parts, promptTokens } = prompt;
    const firstCold = parts.findIndex(({ id }) => !this.cached.has(id));
    const known = firstCold < 0 ? parts.length : firstCold;
    const warmParts = assumeShared ? Math.max(known, parts.length - 1) : known;
    const warm = parts.slice(0, warmParts).reduce((sum, { tokens }) => sum + tokens, 0);
    return Math.max(0, promptTokens - warm);
  }

  onSend(
    id: string,
    work: Omit<PendingWork, 'sentAt'>,
    prompt: Prompt | undefined,
    now: number,
  ): void {
    if (this.running.size === 0) this.lastByteAt = now;
    this.pending.set(id, { ...work, sentAt: now });
    this.running.add(id);
    prompt?.parts.forEach((part) => this.remember(part.id, part.tokens));
  }

  onFirstByte(id: string, now: number): void {
    const work = this.pending.get(id);
    this.pending.delete(id);
    this.lastFirstByteAt = now;
    this.onByte(now);
    if (!work) return;
    const ratio = (now - work.sentAt) / Math.max(1, work.expectedMs);
    const pace = this.pace * (1 - PACE_WEIGHT) + this.pace * ratio * PACE_WEIGHT;
    this.pace = Math.min(MAX_PACE, Math.max(MIN_PACE, pace));
  }

  onByte(now: number): void {
    this.lastByteAt = now;
    this.avoidMs = 0;
    this.avoidUntil = 0;
  }

  onEnd(id: string): void {
    this.pending.delete(id);
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

  learnPeer(node: string, work: PeerWork, now: number): void {
    this.peers.set(node, { ...work, at: now });
  }

  /** The target restarted: its cache is empty. */
  forgetCache(): void {
    this.cached.clear();
    this.cachedTokens = 0;
  }

  private remember(id: string, tokens: number): void {
    this.cachedTokens -= this.cached.get(id) ?? 0;
    this.cached.delete(id);
    this.cached.set(id, tokens);
    this.cachedTokens += tokens;
    while (this.cachedTokens > this.cacheCapacityTokens) {
      const [oldest] = this.cached;
      if (!oldest) return;
      this.cached.delete(oldest[0]);
      this.cachedTokens -= oldest[1];
    }
  }

  private fresh(now: number): DatedPeerWork[] {
    return [...this.peers.values()].filter(({ at }) => now - at < PEER_WORK_LIFETIME_MS);
  }
}
