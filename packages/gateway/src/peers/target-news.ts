/** What a gateway tells the others of its region about a target at once, without waiting for gossip. */
import type { PeerPrompt } from '@marjoramcart/core';
import { encodeNotification, type Notification } from './notification.js';

const METHOD = 'target.news';

export type TargetNews =
  /** A prompt was sent there that takes long to read. */
  | { readonly kind: 'prompt'; readonly target: string; readonly prompt: PeerPrompt }
  /** The target can't be reached. */
  | { readonly kind: 'unreachable'; readonly target: string };

interface NewsParams {
  readonly t: string;
  /** Id, time for reading in ms, priority, parts that it leaves in the cache. */
  readonly p?: readonly [string, number, number, readonly (readonly [string, number])[]];
}

/** Encodes news into a datagram. */
export function encodeTargetNews(news: TargetNews): Buffer {
  const params: NewsParams =
    news.kind === 'prompt' ? { t: news.target, p: toRow(news.prompt) } : { t: news.target };
  return encodeNotification(METHOD, params);
}

/**
 * Decodes a notification.
 *
 * @returns undefined when it is of another kind
 * @throws TypeError when its parameters are malformed
 */
export function decodeTargetNews({ method, params }: Notification): TargetNews | undefined {
  if (method !== METHOD) return undefined;
  const { t: target, p } = params as NewsParams;
  if (!p) return { kind: 'unreachable', target };
  const [id, workMs, priority, rows] = p;
  const parts = rows.map(([part, tokens]) => ({ id: part, tokens }));
  return { kind: 'prompt', target, prompt: { id, workMs, priority, parts } };
}

function toRow({ id, workMs, priority, parts }: PeerPrompt): NonNullable<NewsParams['p']> {
  return [id, Math.round(workMs), priority, parts.map((part) => [part.id, part.tokens])];
}
