/**
 * Load pattern: many long streams at once. Running requests share a target's KV memory; when it is
 * full, new ones wait and running ones are put back and read again. Parts that several requests
 * share are held once.
 */
import { sharedPrefixTokens, type Prompt } from './prompt.js';

interface HeldPart {
  readonly tokens: number;
  readonly requests: number;
}

export class KvMemoryUsage {
  private readonly shared = new Map<string, HeldPart>();

  private used = 0;

  /** Tokens that can't yield. */
  get tokens(): number {
    return this.used;
  }

  add(prompt: Prompt): void {
    this.used += unsharedTokens(prompt);
    prompt.segments.slice(0, -1).forEach(({ id, tokens }) => {
      const requests = this.shared.get(id)?.requests ?? 0;
      if (requests === 0) this.used += tokens;
      this.shared.set(id, { tokens, requests: requests + 1 });
    });
  }

  remove(prompt: Prompt): void {
    this.used -= unsharedTokens(prompt);
    prompt.segments.slice(0, -1).forEach(({ id }) => {
      const held = this.shared.get(id);
      if (!held) return;
      if (held.requests > 1) this.shared.set(id, { ...held, requests: held.requests - 1 });
      else {
        this.shared.delete(id);
        this.used -= held.tokens;
      }
    });
  }
}

/**
 * Tokens that a request alone needs by the end of its answer.
 *
 * @example privateTokens({ parts: [{ id: 'a', tokens: 500 }, { id: 'b', tokens: 20 }], ... }) // 60
 */
export function unsharedTokens(prompt: Prompt): number {
  return prompt.promptTokens - sharedPrefixTokens(prompt) + prompt.expectedOutputTokens;
}

/** Above this part of its memory a target is taken to be full. */
const FULL_PART = 0.9;

/**
 * Expected wait for memory, ms.
 *
 * @param usedTokens tokens in use
 * @param neededTokens tokens that a further request needs
 * @param holdMs time for which a request holds its memory
 * @example memoryWaitMs(400_000, 10_000, 430_000, 3000) // 172
 */
export function memoryWaitMs(
  usedTokens: number,
  neededTokens: number,
  capacityTokens: number,
  holdMs: number,
): number {
  const missing = usedTokens + neededTokens - capacityTokens * FULL_PART;
  return missing <= 0 ? 0 : (missing / Math.max(usedTokens, missing)) * holdMs;
}
