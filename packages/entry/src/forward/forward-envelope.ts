/**
 * Metadata of a forwarded request, sent in one signed header. The signature covers the header, and
 * the header contains the digest of the body.
 */
import { z } from 'zod';
import { hashText } from '@marjoramcart/core';

export const FORWARD_PATH = '/forward';
export const FORWARD_HEADER = 'marjoramcart-forward';
/** Set on a response when the target died while running the request. */
export const TARGET_DIED_HEADER = 'marjoramcart-target-died';

const hopSchema = z.object({
  bootId: z.string(),
  failureDomain: z.string(),
  region: z.string(),
});

const envelopeSchema = z.object({
  id: z.string(),
  reason: z.enum(['key', 'load']),
  customer: z.string(),
  service: z.string(),
  method: z.string(),
  path: z.string(),
  contentType: z.string().optional(),
  stream: z.boolean(),
  repeatable: z.boolean(),
  key: z.string().optional(),
  prefix: z.string().optional(),
  promptTokens: z.number(),
  maxTokens: z.number(),
  /** Remaining time for the receiver in ms, less the link latency and a margin for the response. */
  deadlineMs: z.number(),
  digest: z.string(),
  bodyHash: z.string(),
  revision: z.number(),
  visited: z.array(hopSchema).min(1),
});

export type ForwardEnvelope = z.output<typeof envelopeSchema>;

/**
 * Encodes the value of the forward header.
 *
 * @example decodeEnvelope(encodeEnvelope(envelope))
 */
export function encodeEnvelope(envelope: ForwardEnvelope): string {
  return Buffer.from(JSON.stringify(envelope)).toString('base64url');
}

/** Decodes the forward header; undefined when it is malformed. */
export function decodeEnvelope(text: string): ForwardEnvelope | undefined {
  try {
    const json: unknown = JSON.parse(Buffer.from(text, 'base64url').toString('utf8'));
    const result = envelopeSchema.safeParse(json);
    return result.success ? result.data : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Computes the `bodyHash` field of an envelope.
 *
 * @example bodyHash(Buffer.from('{}')).length // 32
 */
export function bodyHash(body: Buffer): string {
  return hashText(body.toString('base64'));
}
