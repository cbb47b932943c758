/** Turns a caller's HTTP request into a call, checking one thing after the other. */
import { createHash, randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import {
  ResultCodes,
  allowedRegions,
  keyPrefix,
  parseIdempotencyKey,
  type ConfigView,
  type CustomerConfig,
  type IdempotencyKey,
  type OperationConfig,
  type ServiceConfig,
} from '@marjoramcart/core';
import { type TimerService, readRequestBody } from '@marjoramcart/runtime';
import { rejected, type Call, type Rejection } from '../request/call.js';
import { engineBody, parseChat, routedChat } from '../request/chat-request.js';
import type { EntryState } from '../state/entry-state.js';
import { checkResidency, commonModelRegions, customerRegions, findService } from './identity.js';

export const CHAT_PATH = '/v1/chat/completions';
const SERVICE_HEADER = 'marjoramcart-service';
const NAME_SERVICE =
  `Name the service in the ${SERVICE_HEADER} header, or use an entry of the list. ` +
  'This region is not allowed for all model services of the customer.';
const SERVICE_PATH = /^\/svc\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const MAX_DEADLINE_MS = 3_600_000;
const BYTES_PER_KB = 1024;
const MAX_BODY_BYTES = 4096 * BYTES_PER_KB;
/** For rejections after the residency check and before the end of the body. */
const DRAIN_BODY = { close: true, mayDrainBody: true } as const;

export type ParseResult =
  | { readonly kind: 'call'; readonly call: Call }
  | Rejection
  /** The caller left before its request was complete. */
  | { readonly kind: 'aborted' };

export interface ParserDeps {
  readonly state: EntryState;
  readonly timers: TimerService;
}

interface Head {
  readonly req: IncomingMessage;
  readonly config: ConfigView;
  readonly customer: CustomerConfig;
  readonly arrivedAt: number;
  /** Called when all checks that need no body have passed. */
  readonly onBodyWanted: () => void;
}

/**
 * Parses a chat completion. The service is in the body, which may only be read where the service
 * allows it. Without the header that names the service, the region must be allowed for all.
 */
export async function parseChatCall(deps: ParserDeps, head: Head): Promise<ParseResult> {
  const { config, customer } = head;
  const { self, view } = deps.state;
  const refusal =
    checkResidency(customerRegions(config, customer), self, config, view) ??
    (head.req.headers[SERVICE_HEADER] === undefined
      ? checkResidency(commonModelRegions(config, customer), self, config, view, NAME_SERVICE)
      : checkNamedService(deps, head));
  if (refusal) return refusal;
  const body = await readBody(deps, head, MAX_BODY_BYTES);
  if (body.kind !== 'body') return body;
  const parsed = parseChat(body.body);
  if (parsed.kind === 'rejected') return parsed;
  const { chat } = parsed;
  const found = findService(config, customer, chat.model, 'model');
  if (found.kind === 'rejected') return found;
  const { service } = found;
  const residency = checkResidency(allowedRegions(config, customer, service), self, config, view);
  if (residency) return residency;
  if (service.kind !== 'model') return rejected(ResultCodes.UnknownService);
  if (body.body.length > service.max_body_kb * BYTES_PER_KB)
    return rejected(ResultCodes.BodyTooLarge);
  const priority = config.classes[customer.class]?.priority ?? 0;
  return makeCall(deps, head, {
    service: chat.model,
    config: service,
    method: 'POST',
    path: CHAT_PATH,
    received: body.body,
    body: engineBody(chat, service, priority),
    contentType: 'application/json',
    stream: chat.stream === true,
    repeatable: service.repeatable,
    routed: routedChat(chat.model, chat, body.body.length),
  });
}

/** Parses a call of a plain service. */
export async function parsePlainCall(deps: ParserDeps, head: Head): Promise<ParseResult> {
  const { config, customer, req } = head;
  const { self, view } = deps.state;
  const [, name = '', path = '/', query = ''] = SERVICE_PATH.exec(req.url ?? '') ?? [];
  const found = findService(config, customer, name, 'plain');
  if (found.kind === 'rejected') return found;
  const { service } = found;
  const residency = checkResidency(allowedRegions(config, customer, service), self, config, view);
  if (residency) return residency;
  if (service.kind !== 'plain') return rejected(ResultCodes.UnknownService);
  const operations = service.operations.filter((operation) => matchesPath(operation, path));
  if (operations.length === 0) return rejected(ResultCodes.NoSuchPath, DRAIN_BODY);
  const operation = operations.find(({ method }) => method === req.method);
  if (!operation) return rejected(ResultCodes.MethodNotAllowed, DRAIN_BODY);
  const early = checkKey(deps, head, operation.repeatable);
  if (early.kind === 'rejected') return early;
  const body = await readBody(deps, head, service.max_body_kb * BYTES_PER_KB);
  if (body.kind !== 'body') return body;
  const contentType = req.headers['content-type'];
  return makeCall(deps, head, {
    service: name,
    config: service,
    method: operation.method,
    path: path + query,
    received: Buffer.concat([Buffer.from(`${operation.method} ${path}${query}\n`), body.body]),
    body: body.body,
    contentType,
    stream: false,
    repeatable: operation.repeatable,
    routed: { service: name, promptTokens: 0, maxTokens: 0, bodyBytes: body.body.length },
  });
}

/**
 * SHA-256 over customer, service and body: the name of a suspect.
 *
 * @example requestDigest('c1', 'chat', Buffer.from('{}'))
 */
export function requestDigest(customer: string, service: string, body: Buffer): string {
  return createHash('sha256').update(`${customer}\n${service}\n`).update(body).digest('hex');
}

interface CallParts extends Pick<
  Call,
  | 'service'
  | 'config'
  | 'method'
  | 'path'
  | 'body'
  | 'contentType'
  | 'stream'
  | 'repeatable'
  | 'routed'
> {
  readonly config: ServiceConfig;
  /** Body as received, for the digest. */
  readonly received: Buffer;
}

function makeCall(deps: ParserDeps, head: Head, parts: CallParts): ParseResult {
  const { received, ...rest } = parts;
  const deadline = deadlineMs(head.req, parts.config);
  if (deadline === undefined) return rejected(ResultCodes.InvalidDeadline);
  const key = checkKey(deps, head, parts.repeatable);
  if (key.kind === 'rejected') return key;
  return {
    kind: 'call',
    call: {
      ...rest,
      id: randomUUID(),
      customer: head.customer,
      key: key.key,
      digest: requestDigest(head.customer.id, parts.service, received),
      arrivedAt: head.arrivedAt,
      deadlineAt: head.arrivedAt + deadline,
      visited: [],
    },
  };
}

/** Checks the service that the header names, before the body is read. */
function checkNamedService(deps: ParserDeps, head: Head): Rejection | undefined {
  const name = String(head.req.headers[SERVICE_HEADER]);
  const found = findService(head.config, head.customer, name, 'model');
  if (found.kind === 'rejected') return { ...found, close: true };
  const allowed = allowedRegions(head.config, head.customer, found.service);
  return checkResidency(allowed, deps.state.self, head.config, deps.state.view);
}

function checkKey(
  deps: ParserDeps,
  { req }: Head,
  repeatable: boolean,
): { readonly kind: 'key'; readonly key: IdempotencyKey | undefined } | Rejection {
  const text = req.headers['idempotency-key'];
  if (text === undefined) {
    if (repeatable) return { kind: 'key', key: undefined };
    const prefix = keyPrefix(deps.state.self.bootId);
    return rejected(ResultCodes.KeyRequired, { fields: { key_prefix: prefix }, ...DRAIN_BODY });
  }
  const key = typeof text === 'string' ? parseIdempotencyKey(text) : undefined;
  return key ? { kind: 'key', key } : rejected(ResultCodes.KeyMalformed, DRAIN_BODY);
}

function deadlineMs(req: IncomingMessage, config: ServiceConfig): number | undefined {
  const text = req.headers['marjoramcart-deadline-ms'];
  if (text === undefined) return config.deadline;
  const value = typeof text === 'string' && /^\d{1,9}$/.test(text) ? Number(text) : 0;
  return value > 0 && value <= MAX_DEADLINE_MS ? value : undefined;
}

function matchesPath({ path }: OperationConfig, actual: string): boolean {
  return path.endsWith('*') ? actual.startsWith(path.slice(0, -1)) : actual === path;
}

async function readBody(
  { timers }: ParserDeps,
  { req, onBodyWanted }: Head,
  maxBytes: number,
): Promise<{ readonly kind: 'body'; readonly body: Buffer } | Rejection | { kind: 'aborted' }> {
  onBodyWanted();
  const result = await readRequestBody(req, maxBytes, timers);
  switch (result.kind) {
    case 'complete':
      return { kind: 'body', body: result.body };
    case 'too-large':
      return rejected(ResultCodes.BodyTooLarge, DRAIN_BODY);
    case 'too-slow':
      return rejected(ResultCodes.SenderTooSlow, { close: true });
    default:
      return { kind: 'aborted' };
  }
}
