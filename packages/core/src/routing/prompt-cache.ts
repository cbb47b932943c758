/** Estimates which prompt segments a target's KV cache holds, with LRU eviction. */
import type { Prompt } from './prompt.js';

export class PromptCache {
  /** Tokens by segment id, least recently used first. */
  private readonly segments = new Map<string, number>();

  private tokens = 0;

  constructor(private readonly capacityTokens: number) {}

  /** Number of tokens in the cached prefix of a prompt. */
  cachedTokens({ segments }: Prompt): number {
    const firstUncached = segments.findIndex(({ id }) => !this.segments.has(id));
    const cached = firstUncached < 0 ? segments : segments.slice(0, firstUncached);
    return cached.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Records that the target has prefilled these segments. */
  add(segments: Prompt['segments']): void {
    segments.forEach(({ id, tokens }) => this.addSegment(id, tokens));
  }

  private addSegment(id: string, tokens: number): void {
    this.tokens += tokens - (this.segments.get(id) ?? 0);
    this.segments.delete(id);
    this.segments.set(id, tokens);
    while (this.tokens > this.capacityTokens) {
      const [oldest] = this.segments;
      if (!oldest) return;
      this.segments.delete(oldest[0]);
      this.tokens -= oldest[1];
    }
  }
}
