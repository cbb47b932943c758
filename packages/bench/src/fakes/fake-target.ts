/** Timing of an engine with continuous batching, or of a plain service. */
import type { TargetState } from '@marjoramcart/core';
import type { VirtualClock } from './virtual-clock.js';

/** Timing of an engine; plain services use `concurrency` alone. */
export const EngineTiming = {
  Concurrency: 32,
  PlainConcurrency: 16,
  PrefillTokensPerMs: 8,
  /** Time of a decode step, and its growth with each request of the batch. */
  StepMs: 18,
  StepMsPerRequest: 0.9,
  /** Decode is slower while a prefill runs in the same batch. */
  PrefillSlowdown: 1.4,
  TokensPerChunk: 16,
  /** Prefixes that fit in the cache. */
  CachedPrefixes: 20,
} as const;

/** What a target runs, and what its caller hears. */
export interface Job {
  readonly prefix?: string;
  readonly prefixTokens: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Time of a plain call; 0 for model calls. */
  readonly plainMs: number;
  readonly priority: number;
  onFirstToken(): void;
  /** `stepMs` is the time between these tokens. */
  onTokens(count: number, stepMs: number): void;
  onEnd(): void;
  /** The target died. */
  onTargetFailure(): void;
}

export interface CacheEvent {
  readonly kind: 'stored' | 'evicted';
  readonly prefix: string;
}

export class FakeTarget {
  alive = true;

  diedAt = Infinity;

  acceleratorMs = 0;

  prefixHits = 0;

  prefixLookups = 0;

  /** Cache events that no report has carried yet. */
  events: CacheEvent[] = [];

  private readonly running = new Set<Job>();

  private queue: Job[] = [];

  private readonly cache = new Set<string>();

  private prefillFreeAt = 0;

  constructor(
    readonly vm: string,
    readonly plain: boolean,
    private readonly clock: VirtualClock,
  ) {}

  get concurrency(): number {
    return this.plain ? EngineTiming.PlainConcurrency : EngineTiming.Concurrency;
  }

  /** False when the connection is refused. */
  enqueue(job: Job): boolean {
    if (!this.alive) return false;
    this.queue.push(job);
    this.startQueuedJobs();
    return true;
  }

  kill(): void {
    this.alive = false;
    this.diedAt = this.clock.now;
    const broken = [...this.running, ...this.queue];
    this.running.clear();
    this.queue = [];
    broken.forEach((job) => job.onTargetFailure());
  }

  /** Load report as of now. */
  report(sequence: number): TargetState {
    const prefillWaitMs = Math.max(0, this.prefillFreeAt - this.clock.now);
    const slotWaitMs = this.queue.length * 150 + (this.running.size >= this.concurrency ? 100 : 0);
    return {
      vm: this.vm,
      address: this.vm,
      kind: this.plain ? 'plain' : 'engine',
      services: [this.plain ? 'plain' : 'model'],
      leaving: false,
      healthy: this.alive,
      running: this.running.size,
      queued: this.queue.length,
      waitMs: this.plain ? this.queue.length * 2 : prefillWaitMs + slotWaitMs,
      concurrency: this.concurrency,
      reportAgeMs: 0,
      sequence,
    };
  }

  private startQueuedJobs(): void {
    while (this.running.size < this.concurrency && this.queue.length > 0) {
      const highest = Math.max(...this.queue.map(({ priority }) => priority));
      const [job] = this.queue.splice(
        this.queue.findIndex(({ priority }) => priority === highest),
        1,
      );
      if (job) this.startJob(job);
    }
  }

  private startJob(job: Job): void {
    this.running.add(job);
    if (this.plain) {
      this.runAfter(job, job.plainMs, () => {
        job.onFirstToken();
        this.finishJob(job);
      });
      return;
    }
    const hit = job.prefix !== undefined && this.touchCache(job.prefix);
    const tokens = job.promptTokens - (hit ? job.prefixTokens : 0);
    const prefillMs = tokens / EngineTiming.PrefillTokensPerMs;
    this.acceleratorMs += prefillMs;
    this.prefillFreeAt = Math.max(this.clock.now, this.prefillFreeAt) + prefillMs;
    this.runAfter(job, this.prefillFreeAt - this.clock.now, () => {
      job.onFirstToken();
      this.decode(job, job.outputTokens - 1);
    });
  }

  private decode(job: Job, tokens: number): void {
    if (tokens <= 0) {
      this.finishJob(job);
      return;
    }
    const slowdown = this.prefillFreeAt > this.clock.now ? EngineTiming.PrefillSlowdown : 1;
    const stepMs =
      slowdown * (EngineTiming.StepMs + EngineTiming.StepMsPerRequest * this.running.size);
    const count = Math.min(tokens, EngineTiming.TokensPerChunk);
    this.acceleratorMs += (count * stepMs) / this.running.size;
    this.runAfter(job, count * stepMs, () => {
      job.onTokens(count, stepMs);
      this.decode(job, tokens - count);
    });
  }

  private runAfter(job: Job, delayMs: number, action: () => void): void {
    this.clock.after(delayMs, () => {
      if (this.running.has(job)) action();
    });
  }

  private finishJob(job: Job): void {
    this.running.delete(job);
    this.startQueuedJobs();
    job.onEnd();
  }

  /** True when the prefix is cached; it is the newest in the cache afterwards. */
  private touchCache(prefix: string): boolean {
    const hit = this.cache.delete(prefix);
    this.cache.add(prefix);
    this.prefixLookups += 1;
    this.prefixHits += hit ? 1 : 0;
    if (hit) return true;
    this.events.push({ kind: 'stored', prefix });
    const oldest = this.cache.values().next().value;
    if (this.cache.size > EngineTiming.CachedPrefixes && oldest !== undefined) {
      this.cache.delete(oldest);
      this.events.push({ kind: 'evicted', prefix: oldest });
    }
    return false;
  }
}
