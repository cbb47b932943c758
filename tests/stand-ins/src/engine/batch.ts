/**
 * Continuous batching: each step decodes one token for every prefilled request and prefills one chunk
 * of one other request.
 */
import type { Generation } from './generation.js';

export interface BatchSettings {
  token_ms: number;
  prefill_tokens_per_s: number;
  concurrency: number;
}

const PREFILL_CHUNK_TOKENS = 512;

export class Batch {
  private queue: Generation[] = [];

  private running: Generation[] = [];

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param onPrefilled called when the prompt of a request has been prefilled
   * @param onEnd called when a request is complete or cancelled
   */
  constructor(
    private readonly settings: BatchSettings,
    private readonly onPrefilled: (generation: Generation) => void,
    private readonly onEnd: (generation: Generation) => void,
  ) {}

  get runningCount(): number {
    return this.running.length;
  }

  get queuedCount(): number {
    return this.queue.length;
  }

  /** Expected time until a new request gets its first token, without its own prefill, in ms. */
  get waitMs(): number {
    const prefillTokens = [...this.running, ...this.queue].reduce(
      (sum, g) => sum + g.remainingPrefillTokens,
      0,
    );
    const free = this.running.length < this.settings.concurrency;
    const shortest = Math.min(...this.running.map(({ remainingTokens }) => remainingTokens));
    const slotMs = free ? 0 : shortest * this.settings.token_ms * (1 + this.queue.length);
    return Math.round(this.prefillMs(prefillTokens) + slotMs);
  }

  add(generation: Generation): void {
    this.queue = [...this.queue, generation].sort((a, b) => b.priority - a.priority);
    this.schedule();
  }

  cancel(generation: Generation): void {
    generation.cancel();
    this.removeEnded();
  }

  private prefillMs(tokens: number): number {
    return (tokens / this.settings.prefill_tokens_per_s) * 1000;
  }

  private schedule(): void {
    if (this.timer !== undefined) return;
    const free = Math.max(0, this.settings.concurrency - this.running.length);
    this.running.push(...this.queue.splice(0, free));
    if (this.running.length === 0) return;
    const decoding = this.running.filter(
      ({ remainingPrefillTokens }) => remainingPrefillTokens === 0,
    );
    const prefilling = this.running.find(
      ({ remainingPrefillTokens }) => remainingPrefillTokens > 0,
    );
    const chunkTokens = Math.min(prefilling?.remainingPrefillTokens ?? 0, PREFILL_CHUNK_TOKENS);
    const decodeMs = decoding.length > 0 ? this.settings.token_ms : 0;
    this.timer = setTimeout(
      () => {
        this.timer = undefined;
        decoding
          .filter(({ cancelled }) => !cancelled)
          .forEach((generation) => generation.produceToken());
        if (prefilling && !prefilling.cancelled) this.prefill(prefilling, chunkTokens);
        this.removeEnded();
        this.schedule();
      },
      decodeMs + this.prefillMs(chunkTokens),
    );
  }

  private prefill(generation: Generation, tokens: number): void {
    Object.assign(generation, {
      remainingPrefillTokens: generation.remainingPrefillTokens - tokens,
    });
    if (generation.remainingPrefillTokens > 0) return;
    this.onPrefilled(generation);
    generation.produceToken();
  }

  private removeEnded(): void {
    const ended = [...this.running, ...this.queue].filter((g) => g.done || g.cancelled);
    this.running = this.running.filter((g) => !ended.includes(g));
    this.queue = this.queue.filter((g) => !ended.includes(g));
    ended.forEach((generation) => this.onEnd(generation));
  }
}
