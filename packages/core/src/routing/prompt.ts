/** The prompt of a request, as far as routing depends on it. */

/** A part of a prompt. Requests that begin with the same parts share their KV cache. */
export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}

export interface Prompt {
  /** In order; the last part belongs to the request or its session alone. */
  readonly segments: readonly PromptSegment[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** What the caller expects, or half of the maximum. */
  readonly expectedOutputTokens: number;
}

/**
 * Identifies the longest beginning that requests share, for the choice of a place.
 *
 * @example sharedPartOf({ parts: [{ id: 'a', tokens: 500 }, { id: 'b', tokens: 20 }], ... }) // 'a'
 */
export function sharedPrefixOf({ segments: parts }: Prompt): string | undefined {
  return (parts.at(-2) ?? parts[0])?.id;
}

/**
 * Tokens of the parts that requests share.
 *
 * @example sharedTokensOf({ parts: [{ id: 'a', tokens: 500 }, { id: 'b', tokens: 20 }], ... }) // 500
 */
export function sharedPrefixTokens({ segments: parts }: Prompt): number {
  return parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
}
