/** Validates a caller's HTTP request and converts it into a call. */
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
import { type BodyAllocation, type TimerService, readRequestBody } from '@marjoramcart/runtime';
import { rejected, type Call, type Rejection } from '../request/call.js';
import { engineBody, parseChat, routedChat } from '../request/chat-request.js';
import type { EntryState } from '../state/entry-state.js';
import { checkResidency, commonModelRegions, customerRegions, findService } from './identity.js';

export const CHAT_PATH = '/v1/chat/completions';
const SERVICE_HEADER = 'marjoramcart-service';
const SERVICE_HEADER_ADVICE =
  `Name the service in the ${SERVICE_HEADER} header, or use an entry of the list. ` +
  'This region is not allowed for all model services of the customer.';
const SERVICE_PATH = /^\/svc\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const MAX_DEADLINE_MS = 3_600_000;
const BYTES_PER_KB = 1024;
const MAX_BODY_BYTES = 4096 * BYTES_PER_KB;
/** For rejections after the residency check, when the body has not been read completely. */
const DRAIN_BODY = { close: true, mayDrainBody: true } as const;

export type ParseResult =
  | { readonly kind: 'call'; readonly call: Call }
  | Rejection
  /** The caller disconnected before its request was complete. */
  | { readonly kind: 'aborted' };

export interface ParserDeps {
  readonly state: EntryState;
  readonly timers: TimerService;
}

/** An authenticated request whose body has not been read yet. */
interface ParserInput {
  readonly req: IncomingMessage;
  readonly config: ConfigView;
  readonly customer: CustomerConfig;
  readonly arrivedAt: number;
  /** Memory for the body, which the caller of the parser releases; absent if it is not limited. */
  readonly allocation: BodyAllocation | undefined;
  /** Called when all checks that need no body have passed. */
  readonly onBodyWanted: () => void;
}

/**
 * Parses a chat completion. The body names the service, but it may only be read in a region that
 * the service allows. Unless a header names the service, the local region must therefore be allowed
 * for all model services of the customer.
 */
export async function parseChatCall(deps: ParserDeps, input: ParserInput): Promise<ParseResult> {
  const { config, customer } = input;
  const { self, view } = deps.state;
  const residencyError =
    checkResidency(customerRegions(config, customer), self, config, view) ??
    (input.req.headers[SERVICE_HEADER] === undefined
      ? checkResidency(
          commonModelRegions(config, customer),
          self,
          config,
          view,
          SERVICE_HEADER_ADVICE,
        )
      : checkNamedService(deps, input));
  if (residencyError) return residencyError;
  const body = await readBody(deps, input, MAX_BODY_BYTES);
  if (body.kind !== 'body') return body;
  const parsed = parseChat(body.body);
  if (parsed.kind === 'rejected') return parsed;
  const { chat } = parsed;
  const found = findService(config, customer, chat.model, 'model');
  if (found.kind === 'rejected') return found;
  const { service } = found;
  const serviceResidencyError = checkResidency(
    allowedRegions(config, customer, service),
    self,
    config,
    view,
  );
  if (serviceResidencyError) return serviceResidencyError;
  if (service.kind !== 'model') return rejected(ResultCodes.UnknownService);
  if (body.body.length > service.max_body_kb * BYTES_PER_KB)
    return rejected(ResultCodes.BodyTooLarge);
  const priority = config.classes[customer.class]?.priority ?? 0;
  return makeCall(deps, input, {
    service: chat.model,
    config: service,
    method: 'POST',
    path: CHAT_PATH,
    digestContent: body.body,
    body: engineBody(chat, service, priority),
    contentType: 'application/json',
    stream: chat.stream === true,
    repeatable: service.repeatable,
    routed: routedChat(chat.model, chat, body.body.length),
  });
}

/** Parses a call of a plain service. */
export async function parsePlainCall(deps: ParserDeps, input: ParserInput): Promise<ParseResult> {
  const { config, customer, req } = input;
  const { self, view } = deps.state;
  const [, name = '', path = '/', query = ''] = SERVICE_PATH.exec(req.url ?? '') ?? [];
  const found = findService(config, customer, name, 'plain');
  if (found.kind === 'rejected') return found;
  const { service } = found;
  const serviceResidencyError = checkResidency(
    allowedRegions(config, customer, service),
    self,
    config,
    view,
  );
  if (serviceResidencyError) return serviceResidencyError;
  if (service.kind !== 'plain') return rejected(ResultCodes.UnknownService);
  const operations = service.operations.filter((operation) => matchesPath(operation, path));
  if (operations.length === 0) return rejected(ResultCodes.NoSuchPath, DRAIN_BODY);
  const operation = operations.find(({ method }) => method === req.method);
  if (!operation) return rejected(ResultCodes.MethodNotAllowed, DRAIN_BODY);
  const keyCheck = checkKey(deps, input, operation.repeatable);
  if (keyCheck.kind === 'rejected') return keyCheck;
  const body = await readBody(deps, input, service.max_body_kb * BYTES_PER_KB);
  if (body.kind !== 'body') return body;
  const contentType = req.headers['content-type'];
  return makeCall(deps, input, {
    service: name,
    config: service,
    method: operation.method,
    path: path + query,
    digestContent: Buffer.concat([Buffer.from(`${operation.method} ${path}${query}\n`), body.body]),
    body: body.body,
    contentType,
    stream: false,
    repeatable: operation.repeatable,
    routed: { service: name, promptTokens: 0, maxTokens: 0, bodyBytes: body.body.length },
  });
}

/**
 * SHA-256 over customer, service and request content. It identifies a suspect request.
 *
 * @example requestDigest('c1', 'chat', Buffer.from('{}'))
 */
export function requestDigest(customer: string, service: string, content: Buffer): string {
  return createHash('sha256').update(`${customer}\n${service}\n`).update(content).digest('hex');
}

interface CallFields extends Pick<
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
  /** Body as received; for a plain call preceded by the method and the path with the query. */
  readonly digestContent: Buffer;
}

function makeCall(deps: ParserDeps, input: ParserInput, fields: CallFields): ParseResult {
  const { digestContent, ...rest } = fields;
  const deadline = deadlineMs(input.req, fields.config);
  if (deadline === undefined) return rejected(ResultCodes.InvalidDeadline);
  const key = checkKey(deps, input, fields.repeatable);
  if (key.kind === 'rejected') return key;
  return {
    kind: 'call',
    call: {
      ...rest,
      id: randomUUID(),
      customer: input.customer,
      key: key.key,
      digest: requestDigest(input.customer.id, fields.service, digestContent),
      arrivedAt: input.arrivedAt,
      deadlineAt: input.arrivedAt + deadline,
      visited: [],
    },
  };
}

/** Checks the service named in the header before the body is read. */
function checkNamedService(deps: ParserDeps, input: ParserInput): Rejection | undefined {
  const name = String(input.req.headers[SERVICE_HEADER]);
  const found = findService(input.config, input.customer, name, 'model');
  if (found.kind === 'rejected') return { ...found, close: true };
  const allowed = allowedRegions(input.config, input.customer, found.service);
  return checkResidency(allowed, deps.state.self, input.config, deps.state.view);
}

function checkKey(
  deps: ParserDeps,
  { req }: ParserInput,
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
  { req, allocation, onBodyWanted }: ParserInput,
  maxBytes: number,
): Promise<{ readonly kind: 'body'; readonly body: Buffer } | Rejection | { kind: 'aborted' }> {
  onBodyWanted();
  const result = await readRequestBody(req, maxBytes, timers, allocation);
  switch (result.kind) {
    case 'complete':
      return { kind: 'body', body: result.body };
    case 'too-large':
      return rejected(ResultCodes.BodyTooLarge, DRAIN_BODY);
    case 'too-slow':
      return rejected(ResultCodes.SenderTooSlow, { close: true });
    case 'no-memory':
      return rejected(ResultCodes.BodyMemoryFull, DRAIN_BODY);
    default:
      return { kind: 'aborted' };
  }
}
