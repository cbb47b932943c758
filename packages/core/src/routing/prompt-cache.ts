/** Parts of prompts that a target's KV cache is believed to hold; least recently used parts yield. */
import type { Prompt } from './prompt.js';

export class PromptCache {
  /** Tokens by part, least recently used first. */
  private readonly parts = new Map<string, number>();

  private tokens = 0;

  constructor(private readonly capacityTokens: number) {}

  /** Tokens at the beginning of a prompt that are cached. */
  cachedTokens({ segments: parts }: Prompt): number {
    const firstCold = parts.findIndex(({ id }) => !this.parts.has(id));
    const warm = firstCold < 0 ? parts : parts.slice(0, firstCold);
    return warm.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** The target read these parts. */
  add(parts: Prompt['segments']): void {
    parts.forEach(({ id, tokens }) => this.addPart(id, tokens));
  }

  private addPart(id: string, tokens: number): void {
    this.tokens += tokens - (this.parts.get(id) ?? 0);
    this.parts.delete(id);
    this.parts.set(id, tokens);
    while (this.tokens > this.capacityTokens) {
      const [oldest] = this.parts;
      if (!oldest) return;
      this.parts.delete(oldest[0]);
      this.tokens -= oldest[1];
    }
  }
}
