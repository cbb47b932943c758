/**
 * Estimates the KV memory that running requests use at a target. When it is full, new requests wait
 * and running ones are preempted and recomputed. Segments shared by several requests count once.
 */
import { sharedPrefixTokens, type Prompt } from './prompt.js';

interface SharedSegment {
  readonly tokens: number;
  readonly requests: number;
}

export class KvMemoryUsage {
  private readonly shared = new Map<string, SharedSegment>();

  private used = 0;

  /** Tokens that can't be evicted. */
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
      const segment = this.shared.get(id);
      if (!segment) return;
      if (segment.requests > 1) this.shared.set(id, { ...segment, requests: segment.requests - 1 });
      else {
        this.shared.delete(id);
        this.used -= segment.tokens;
      }
    });
  }
}

/**
 * Tokens that only this request needs by the end of its response.
 *
 * @example unsharedTokens({ segments: [{ id: 'a', tokens: 500 }, { id: 'b', tokens: 20 }], ... }) // 60
 */
export function unsharedTokens(prompt: Prompt): number {
  return prompt.promptTokens - sharedPrefixTokens(prompt) + prompt.expectedOutputTokens;
}

/** A target counts as full above this share of its KV memory. */
const FULL_SHARE = 0.9;

/**
 * Expected wait for memory, ms.
 *
 * @param usedTokens tokens in use
 * @param neededTokens tokens that the new request needs
 * @param holdMs time for which a request occupies its memory
 * @example memoryWaitMs(400_000, 10_000, 430_000, 3000) // 172
 */
export function memoryWaitMs(
  usedTokens: number,
  neededTokens: number,
  capacityTokens: number,
  holdMs: number,
): number {
  const missingTokens = usedTokens + neededTokens - capacityTokens * FULL_SHARE;
  return missingTokens <= 0 ? 0 : (missingTokens / Math.max(usedTokens, missingTokens)) * holdMs;
}
