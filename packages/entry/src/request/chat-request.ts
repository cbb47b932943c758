/** Parses chat completions and builds the request body for the engine. */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import { ResultCodes, type ModelServiceConfig, type RoutedRequest } from '@marjoramcart/core';
import { rejected, type Rejection } from './call.js';
import { isShallow } from './json-depth.js';

const PREFIX_CHARACTERS = 2048;
const PREFIX_HEX_DIGITS = 16;
const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_MAX_TOKENS = 512;

const contentSchema = z.union([
  z.string(),
  z.null(),
  z.array(z.looseObject({ text: z.string().optional() })),
]);
const chatSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string(), content: contentSchema.optional() })).min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().optional(),
});
export type ChatRequest = z.output<typeof chatSchema>;

export interface ParsedChat {
  readonly kind: 'parsed';
  readonly chat: ChatRequest;
}

/** Parses and checks the body of a chat completion. */
export function parseChat(body: Buffer): ParsedChat | Rejection {
  if (!isShallow(body)) return rejected(ResultCodes.JsonTooDeep);
  const json = parseJson(body);
  if (json === undefined) return rejected(ResultCodes.MalformedJson);
  const result = chatSchema.safeParse(json);
  if (result.success) return { kind: 'parsed', chat: result.data };
  const [issue] = result.error.issues;
  const detail = issue ? `${issue.path.join('.')}: ${issue.message}` : undefined;
  return rejected(ResultCodes.InvalidRequest, { detail });
}

/** Body for the engine, which knows models and adapters but no services. */
export function engineBody(
  chat: ChatRequest,
  config: ModelServiceConfig,
  priority: number,
): Buffer {
  return Buffer.from(JSON.stringify({ ...chat, model: config.adapter ?? config.model, priority }));
}

/** Properties of a chat completion that routing depends on. */
export function routedChat(service: string, chat: ChatRequest, bodyBytes: number): RoutedRequest {
  const text = chat.messages.map(({ content }) => textOf(content)).join('');
  const prefix = createHash('sha256')
    .update(text.slice(0, PREFIX_CHARACTERS))
    .digest('hex')
    .slice(0, PREFIX_HEX_DIGITS);
  return {
    service,
    prefix,
    promptTokens: Math.ceil(text.length / CHARACTERS_PER_TOKEN),
    maxTokens: chat.max_tokens ?? DEFAULT_MAX_TOKENS,
    bodyBytes,
  };
}

function textOf(content: z.output<typeof contentSchema> | undefined): string {
  if (typeof content === 'string') return content;
  return (content ?? []).map(({ text }) => text ?? '').join('');
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
