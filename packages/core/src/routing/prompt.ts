/** The properties of a request's prompt that routing depends on. */

/** A segment of a prompt. Requests that start with the same segments share their KV cache. */
export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}

export interface Prompt {
  /** In order; the last segment is specific to the request or its session. */
  readonly segments: readonly PromptSegment[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** As announced by the caller, otherwise half of the maximum. */
  readonly expectedOutputTokens: number;
}

/**
 * Id of the last segment of the longest shared prefix, used as the key for affinity.
 *
 * @example sharedPrefixOf({ segments: [{ id: 'a', tokens: 500 }, { id: 'b', tokens: 20 }], ... }) // 'a'
 */
export function sharedPrefixOf({ segments }: Prompt): string | undefined {
  return (segments.at(-2) ?? segments[0])?.id;
}

/**
 * Number of tokens in the segments that requests share.
 *
 * @example sharedPrefixTokens({ segments: [{ id: 'a', tokens: 500 }, { id: 'b', tokens: 20 }], ... }) // 500
 */
export function sharedPrefixTokens({ segments }: Prompt): number {
  return segments.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
}
