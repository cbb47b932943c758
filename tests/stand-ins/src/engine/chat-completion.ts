/**
 * Responses of the stand-in engine. They are a function of the request, so that a caller can check
 * that a response is complete.
 */
import { createHash } from 'node:crypto';
import { markerOf } from '../common/run-log.js';

const CHARS_PER_TOKEN = 4;
const PREFIX_CHARS = 2048;
const DIGEST_HEX_CHARS = 16;
const DEFAULT_MAX_TOKENS = 32;

export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** Body of a chat completion request; only the fields that the stand-in reads. */
export interface ChatRequest {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly max_tokens?: number;
  readonly stream?: boolean;
  readonly priority?: number;
}

export function promptText(req: Pick<ChatRequest, 'messages'>): string {
  return req.messages.map(({ content }) => String(content)).join('');
}

export function promptTokens(prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARS_PER_TOKEN));
}

/** Digest of the prompt's prefix, as in docs/interfaces.md. */
export function prefixDigest(prompt: string): string {
  return createHash('sha256')
    .update(prompt.slice(0, PREFIX_CHARS))
    .digest('hex')
    .slice(0, DIGEST_HEX_CHARS);
}

/**
 * Tokens of the response to a request; the first one contains the prompt's marker.
 *
 * @example responseTokens({ model: 'm', messages: [{ role: 'user', content: 'marker:a' }] })[0]
 */
export function responseTokens(req: ChatRequest): string[] {
  const prompt = promptText(req);
  const digest = createHash('sha256').update(prompt).digest('hex');
  return Array.from({ length: req.max_tokens ?? DEFAULT_MAX_TOKENS }, (_, n) =>
    n === 0 ? `answer:${markerOf(prompt)}` : ` ${digest.slice(n % 60, (n % 60) + 4)}`,
  );
}

/** Generated text of the complete response to `req`. */
export function expectedResponseText(req: ChatRequest): string {
  return responseTokens(req).join('');
}
